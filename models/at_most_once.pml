/* At-most-once calls (docs/design.md, P3): two agents of one service, one partition, one idempotency key.
 *
 * A caller sends the key up to MAXTRIES times, each time to any agent, since any entry may forward it. An agent may
 * pause at each step (all interleavings are explored) and may crash. Sending a write to the store, its effect or
 * refusal, and the arrival or loss of its response are separate steps; an unanswered write may take effect later.
 * The record holds a revision for compare-and-swap, the owner, and the state of the key.
 */
#define AGENTS 2
#define MAXTRIES 3
#define MAXREV 7

mtype = { NONE, INTENT, RESULT };
mtype = { IDLE, SENDING, WAITING, DOUBT, READY, CALLED };
mtype = { NOANSWER, NOTRUN, UNKNOWN, ANSWER };

typedef Record { byte rev; byte owner; mtype state; byte value };
Record store;
bool storeUp = true;

/* The write in flight of each agent. The store may execute it at any time after it was sent. */
typedef Write { bool sent; bool done; bool good; byte rev; mtype state; byte value };
Write wire[AGENTS];

byte executions;            /* executions by the service */
byte executedTry[4];        /* executions of each attempt of the caller */
mtype told[4] = NOANSWER;   /* response to each attempt of the caller */
byte tries;
byte firstAnswer;           /* value of the first response with a result */

inline tell(t, what) {
    /* An attempt gets one response only. */
    if
    :: told[t] == NOANSWER -> told[t] = what
    :: else
    fi
}

inline sendWrite(a, s, v) {
    wire[a].sent = true; wire[a].done = false; wire[a].good = false;
    wire[a].rev = rev; wire[a].state = s; wire[a].value = v
}

/* The store executes writes in any order, also after the sender has timed out. */
inline carryOut(w) {
    if
#ifndef MUTANT_NO_COMPARE
    /* StoreClient::transact with CompareModRevision in OncePartition::write */
    :: wire[w].rev != store.rev -> wire[w].good = false
    :: wire[w].rev == store.rev ->
#else
    :: true ->
#endif
        store.rev++; store.owner = w; store.state = wire[w].state;
        store.value = wire[w].value; wire[w].good = true
    fi;
    wire[w].done = true
}

active proctype Store() {
    end: do
    :: atomic { wire[0].sent && !wire[0].done && storeUp && store.rev < MAXREV -> carryOut(0) }
    :: atomic { wire[1].sent && !wire[1].done && storeUp && store.rev < MAXREV -> carryOut(1) }
    :: atomic { storeUp -> storeUp = false }
    :: atomic { !storeUp -> storeUp = true }
    od
}

proctype Agent(byte me) {
    byte rev, t, v;
    bool owned;
    mtype state = NONE;     /* state of the key in this agent's log */
    mtype phase = IDLE;
    bool abandoned;
    end: do
    /* A call arrives: the first one, a retry, or a duplicate delivery. */
    :: atomic { phase == IDLE && tries < MAXTRIES -> tries++; t = tries;
        if
        :: !storeUp -> tell(t, NOTRUN); t = 0
        :: storeUp && !owned ->
            /* OncePartition::claim: compare-and-swap on the record, which has the state written by the former owner. */
            if
            :: store.rev < MAXREV -> store.rev++; store.owner = me; rev = store.rev; owned = true;
                state = store.state; v = store.value
            :: else -> tell(t, NOTRUN); t = 0
            fi
        :: storeUp && owned
        fi;
        if
        :: t == 0
#ifndef MUTANT_RERUN_RESULT
        /* OnceLog::submit: returns the recorded answer. */
        :: t != 0 && state == RESULT ->
            tell(t, ANSWER); assert(firstAnswer == 0 || firstAnswer == v); firstAnswer = v; t = 0
#endif
#ifndef MUTANT_RERUN_INTENT
        /* OnceLog::submit: an intent without a result stays unresolved. */
        :: t != 0 && state == INTENT -> tell(t, UNKNOWN); t = 0
#endif
        :: t != 0 && (state == NONE
#ifdef MUTANT_RERUN_INTENT
            || state == INTENT
#endif
#ifdef MUTANT_RERUN_RESULT
            || state == RESULT
#endif
           ) ->
            sendWrite(me, INTENT, 0); abandoned = false;
#ifndef MUTANT_CALL_BEFORE_WRITE
            /* OnceLog::writeCommitted: the call is sent after the store confirmed the intent. */
            phase = WAITING
#else
            phase = READY; rev = store.rev + 1
#endif
        fi }
    /* The response to the write arrives. */
    :: atomic { (phase == WAITING || phase == DOUBT) && wire[me].done ->
        if
        :: wire[me].good -> rev++; wire[me].sent = false;
            if
            /* OnceLog::writeCommitted cancels an abandoned intent; its key may be executed later. */
            :: abandoned -> state = NONE; phase = IDLE
            :: !abandoned -> state = INTENT; phase = READY
            fi
        :: !wire[me].good -> wire[me].sent = false; owned = false; state = NONE; phase = IDLE;
            tell(t, NOTRUN)     /* OnceLog::fenced: the write can no longer take effect */
        fi }
    /* The response is lost or late. */
    :: atomic { phase == WAITING ->
#ifndef MUTANT_DOUBT_IS_NOT_RUN
        /* OnceLog::abandonIndeterminateWrite */
        phase = DOUBT; abandoned = true; tell(t, UNKNOWN)
#else
        phase = DOUBT; tell(t, NOTRUN)
#endif
        }
    /* Only the writer of the intent executes the call, without a time check; the agent may pause before this step. */
    :: atomic { phase == READY -> executions++; executedTry[t]++; phase = CALLED }
    :: atomic { phase == READY -> tell(t, NOTRUN); state = INTENT; phase = IDLE } /* the service refused to connect */
    /* The service answered: the caller gets the answer at once, the store gets the result with the next write. */
    :: atomic { phase == CALLED -> tell(t, ANSWER); v = t; phase = IDLE;
        assert(firstAnswer == 0 || firstAnswer == v); firstAnswer = v;
        if
        :: storeUp && store.rev == rev && store.rev < MAXREV -> store.rev++; rev = store.rev;
            store.state = RESULT; store.value = v; state = RESULT
        :: store.rev != rev -> owned = false; state = NONE
        :: state = RESULT       /* not stored yet */
        fi }
    /* The answer of the service is lost. */
    :: atomic { phase == CALLED -> state = INTENT; phase = IDLE;
#ifndef MUTANT_LOST_ANSWER_IS_NOT_RUN
        tell(t, UNKNOWN) /* OnceKeeper::recordFailure, by the outcome that HttpConnection::exchange reports */
#else
        tell(t, NOTRUN)
#endif
        }
    /* The agent or the entry crashes: the outcome of unanswered calls is unknown, and sent writes may still arrive. */
    :: atomic { phase != IDLE -> tell(t, UNKNOWN); phase = IDLE; owned = false; state = NONE; break }
    od
}

init { atomic { store.state = NONE; run Agent(0); run Agent(1) } }

/* Invariants, checked in each state. */
active proctype Monitor() {
    end: do
    :: atomic { executions > 1 -> assert(false) }
    :: atomic { told[1] == NOTRUN && executedTry[1] > 0 -> assert(false) }
    :: atomic { told[2] == NOTRUN && executedTry[2] > 0 -> assert(false) }
    :: atomic { told[3] == NOTRUN && executedTry[3] > 0 -> assert(false) }
    od
}
