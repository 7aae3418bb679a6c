/* Withdrawal of a key (design section 8, P5), in discrete time; one unit is a second. An entry polls a peer near
 * the store before its view reaches the age STALE, and refuses requests from that age on. The store may be down for
 * all, and each entry may be disconnected. Checked: an entry that has not received a withdrawal admits the key for
 * at most BOUND after the store accepted it, not counting the time that the store is down for all; `in force` is
 * reported only when it is true. */

#define ENTRIES 2             /* entry 0: far from the store; entry 1: the peer near the store */
#define STALE 3
#define BOUND 3
#define CLOCK 8

byte now = 0;
bool up = true;               /* the store is not down for all */
byte withdrawnAt = 255;       /* when the store accepted the withdrawal */
byte since = 255;             /* start of BOUND: the withdrawal, or the end of a later outage for all */
bool claimed = false;         /* the tool reported `in force` */

bool linked[ENTRIES];         /* the entry reaches the store */
bool peerLink = true;         /* entry 0 reaches entry 1 */
byte confirmed[ENTRIES];      /* when the view was last confirmed */
bool knows[ENTRIES];          /* the view holds the withdrawal */
bool streams[ENTRIES];        /* a stream with the key is open */
bool peerSaysDown = false;    /* inferStoreState(): StoreState::DownForAll */
byte judgedAt = 0;

inline refresh(e)
{
    confirmed[e] = now;
    if
    :: withdrawnAt != 255 -> knows[e] = true; streams[e] = false   /* EntryControl::revokeKey() */
    :: else -> skip
    fi
}

#define age(e) (now - confirmed[e])

/* FreshnessGuard::decide(). Entry 1 has no other peer near the store, so it can't confirm an outage and refuses. */
#ifndef MUTANT_REFUSE
#define refuses(e) (age(e) >= STALE && !(e == 0 && peerSaysDown && judgedAt == now))
#else
#define refuses(e) false
#endif

#define late(e) (withdrawnAt != 255 && !knows[e] && now - since > BOUND)

/* EntryControl::handleSubmit() and running streams */
inline admit(e)
{
    if
    :: !knows[e] && !refuses(e) -> assert(!late(e)); streams[e] = true
    :: else -> skip
    fi
}

active proctype Network()
{
    do
    :: d_step { now < CLOCK && !up -> up = true }
    :: d_step { now < CLOCK && up -> up = false }
    :: d_step { linked[0] = !linked[0] }
    :: d_step { linked[1] = !linked[1] }
    :: d_step { peerLink = !peerLink }
    od
}

active proctype Operator()
{
    d_step { up -> withdrawnAt = now; since = now }     /* keyWithdraw(): the store has the withdrawal */
    d_step {
        /* awaitConfirmation(): every live entry has confirmed the revision */
#ifndef MUTANT_CONFIRM
        knows[0] && knows[1] ->
#endif
        claimed = true
    }
}

/* A clock tick: each entry runs its expired timers, then the clock advances. */
active proctype Time()
{
    byte asked = 0;
    do
    :: now < CLOCK ->
        atomic {
            if
            :: !up && withdrawnAt != 255 -> since = now
            :: else -> skip
            fi;
            /* The view is confirmed as of the time of the request. */
            if
            :: up && linked[0] -> refresh(0)
            :: else -> skip
            fi;
            if
            :: up && linked[1] -> refresh(1)
            :: else -> skip
            fi;
#ifdef MUTANT_CONFIRM_AT_ARRIVAL
            /* A delayed response counts as fresh. */
            if
            :: !linked[0] -> confirmed[0] = now
            :: true -> skip
            fi;
#endif
            /* FreshnessWatch::pollPeers() */
            peerSaysDown = false;
            if
            :: age(0) >= STALE - 1 && peerLink ->
#ifndef MUTANT_PEER_EVIDENCE
                /* inferStoreState(): the peer's own calls fail, and its view has no newer change */
                peerSaysDown = (!up && !(knows[1] && !knows[0]));
#else
                peerSaysDown = true;
#endif
                judgedAt = now
            :: else -> skip
            fi;
            /* EntryControl::failOpenRequests() */
#ifndef MUTANT_END_STREAMS
            if :: refuses(0) -> streams[0] = false :: else -> skip fi;
            if :: refuses(1) -> streams[1] = false :: else -> skip fi;
#endif
            admit(0);
            admit(1);
            assert(!(streams[0] && late(0)) && !(streams[1] && late(1)));
            assert(!claimed || (!streams[0] && !streams[1] && knows[0] && knows[1]));
            now++
        }
    :: else -> break
    od
}

init {
    d_step { linked[0] = true; linked[1] = true }
}
