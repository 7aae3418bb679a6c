/* P1: orders to the platform by the zone's planner, and to an engine through the agent in its slot (G6).
 *
 * Any process may pause at any step: time passes freely between two steps. Answers of the store and of the
 * platform get lost, orders arrive late or twice, the store refuses, processes crash. Neither receiver checks the
 * fencing token; with the token checked a receiver accepts a subset of what is accepted here. */

#define L 3     /* lease time */
#define M 1     /* margin */
#define D 2     /* longest time of an order in the network; more than the margin */
#define END 10  /* the search ends at this time */
#define NEVER 99

byte now;
byte owner;         /* lease/planner/<zone>: holder + 1, 0 if the key does not exist */
byte expires;       /* when the store drops the key */
byte epoch;         /* epoch/planner/<zone>: highest epoch, never deleted */
byte killAt[1] = NEVER;
bool dead[1];
byte inFlight, inFlightEpoch, inFlightSince;  /* one order of the first holder in the network */
byte platformEpoch;
byte engineEpoch;
byte portHolder;    /* agent + 1 that is bound to the slot's order port */

/* What the platform sees: authority never goes back to an earlier holder. */
inline receive(e) {
    assert(e >= platformEpoch);
    platformEpoch = e;
}

proctype Network() {
    do
    :: atomic { inFlight -> receive(inFlightEpoch); inFlight = 0 }
    :: atomic { inFlight -> receive(inFlightEpoch) }        /* delivered twice */
    :: atomic { inFlight -> inFlight = 0 }                  /* lost */
    :: now >= END -> break
    od
}

proctype Time() {
    do
    :: atomic {
        now < END && !(inFlight && now >= inFlightSince + D) ->
        now++;
        if :: owner && now >= expires -> owner = 0 :: else fi;
#ifndef MUTANT_TIMER   /* GuardedSection::enter: the kernel kills a paused process */
        if :: killAt[0] <= now -> dead[0] = true; killAt[0] = NEVER :: else fi;
#endif
       }
    :: now >= END -> break
    od
}

/* The holder at the start: it may renew, order, pause, lose answers and crash. */
proctype Holder() {
    byte sent, authority = L - M, renewals = 2, orders = 2;
    do
    :: dead[0] || now >= authority -> break        /* LeaseHolder::timePassed */
    :: renewals > 0 && now < authority ->
        renewals--;
        sent = now;                                /* LeaseHolder::requestSent */
        if
        :: atomic { owner == 1 -> expires = now + L };
            if
            :: atomic { !dead[0] ->
#ifndef MUTANT_SENT_TIME
                authority = sent + L - M
#else
                authority = now + L - M
#endif
               }
            :: skip                                /* the answer is lost */
            fi
        :: skip                                    /* the store refuses */
        fi
    :: orders > 0 && now < authority ->            /* GuardedSection::enter checks the lease, */
        orders--;
        atomic {                                   /* then arms the kernel timer at an absolute time */
            killAt[0] = authority;
#ifndef MUTANT_TIMER
            if :: now >= authority -> dead[0] = true :: else fi
#endif
        };
        if
        :: atomic { !dead[0] && !inFlight -> inFlight = 1; inFlightEpoch = 1; inFlightSince = now }
        :: dead[0] || inFlight -> skip
        fi;
        killAt[0] = NEVER
    :: dead[0] = true; break                       /* crash */
    od
}

/* Takes the lease once the store dropped it; its own end is like that of the first holder. */
proctype Successor() {
    byte ready, orders = 2;
    atomic { !owner -> owner = 2; epoch = 2;
#ifndef MUTANT_WAIT        /* LeaseHolder: state Waiting */
        ready = now + L + M
#else
        ready = now
#endif
    };
    do
    :: atomic { orders > 0 && now >= ready -> orders--; receive(2) }   /* its orders take no time */
    :: orders == 0 || now >= END -> break
    od
}

/* Epochs are issued while agents run. */
proctype Issuer() {
    do
    :: epoch < 3 -> epoch++
    :: break
    od
}

/* An agent gets orders of any epoch issued so far, in any order: its own guards must be enough. */
proctype Agent(byte me) {
    byte floor, order, left = 2;
#ifndef MUTANT_PORT        /* OrderPort::start: bind without address sharing; a paused process keeps the port */
    atomic { portHolder == 0 -> portHolder = me + 1 };
#endif
#ifndef MUTANT_FLOOR       /* OrderPort::readFloor */
    floor = epoch;
#endif
    do
    :: left > 0 ->
        left--;
        atomic { if :: order = 1 :: epoch >= 2 -> order = 2 :: epoch >= 3 -> order = 3 fi };
#ifndef MUTANT_REFUSE      /* OrderPort::take */
        if :: order < floor -> goto next :: else -> floor = order fi;
#endif
        /* paused here for as long as it likes */
        atomic { order <= epoch -> assert(order >= engineEpoch); engineEpoch = order };
next:   skip
    :: atomic { portHolder = (portHolder == me + 1 -> 0 : portHolder); break }   /* crash: the kernel frees the port */
    od
}

init {
    atomic {
        if
        :: owner = 1; epoch = 1; expires = L; run Time(); run Network(); run Holder(); run Successor()
        :: epoch = 1; run Issuer(); run Agent(0); run Agent(1)
        fi
    }
}
