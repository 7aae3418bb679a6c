/* P1: orders to the platform by the zone's planner, and to an engine through the agent in its slot (G6).
 *
 * Any process may pause at any step, for any time. Responses of the store and the platform get lost, orders arrive
 * late or twice, the store refuses requests, processes crash. Neither receiver checks the fencing token; a receiver
 * that does accepts a subset of the orders accepted here. */

#define L 3     /* time to live of the lease */
#define M 1     /* safety margin of the lease */
#define D 2     /* maximum network delay of an order; longer than the margin */
#define END 10  /* the search ends at this time */
#define NEVER 99

byte now;
byte owner;         /* lease/planner/<zone>: holder + 1, 0 if the key does not exist */
byte expires;       /* when the store expires the key */
byte epoch;         /* epoch/planner/<zone>: highest epoch, never deleted */
byte killAt[1] = NEVER;
bool dead[1];
byte inFlight, inFlightEpoch, inFlightSince;  /* an order of the first holder in flight */
byte platformEpoch;
byte engineEpoch;
byte portHolder;    /* agent + 1 that has bound the slot's order port */

/* The platform receives an order: epochs never decrease. */
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

/* The first holder: it may renew the lease, send orders, pause, lose responses and crash. */
proctype Holder() {
    byte sent, authority = L - M, renewals = 2, orders = 2;
    do
    :: dead[0] || now >= authority -> break        /* LeaseHolder::tick */
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
            :: skip                                /* the response is lost */
            fi
        :: skip                                    /* the store refuses the renewal */
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

/* Acquires the lease after the store expired it. Its own expiry would be like that of the first holder. */
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
    :: atomic { orders > 0 && now >= ready -> orders--; receive(2) }   /* its orders arrive at once */
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

/* An agent receives orders of all epochs issued so far, in any order, and must reject outdated ones by itself. */
proctype Agent(byte me) {
    byte floor, order, left = 2;
#ifndef MUTANT_PORT        /* OrderPort::start: bind without address sharing; a paused process keeps the port */
    atomic { portHolder == 0 -> portHolder = me + 1 };
#endif
#ifndef MUTANT_FLOOR       /* OrderPort::readMinimumEpoch */
    floor = epoch;
#endif
    do
    :: left > 0 ->
        left--;
        atomic { if :: order = 1 :: epoch >= 2 -> order = 2 :: epoch >= 3 -> order = 3 fi };
#ifndef MUTANT_REFUSE      /* OrderPort::forwardOrder */
        if :: order < floor -> goto next :: else -> floor = order fi;
#endif
        /* may pause here for any time */
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
