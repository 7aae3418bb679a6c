/* At-most-once calls (docs/design.md, P3): two agents of one service, one partition, one idempotency key.
 *
 * A caller sends the key up to MAXTRIES times, each time to any agent (any entry may send it). An agent may pause at
 * each step, since any interleaving is explored, and may crash. A write to the store is sent, takes effect or is
 * refused, and its answer arrives or is lost, in separate steps; a write that is not answered may take effect later.
 * The record: revision (for compare-and-swap), owner, and the state of the key.
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

/* One write under way for each agent: the store may carry it out at any time after it was sent. */
typedef Write { bool sent; bool done; bool good; byte rev; mtype state; byte value };
Write wire[AGENTS];

byte executions;            /* what the service did */
byte executedTry[4];        /* executions for each try of the caller */
mtype told[4] = NOANSWER;   /* what the caller was told of each try */
byte tries;
byte firstAnswer;           /* value of the first recorded answer that a caller got */

inline tell(t, what) {
    /* A try that was answered is not answered again. */
    if
    :: told[t] == NOANSWER -> told[t] = what
    :: else
    fi
}

inline sendWrite(a, s, v) {
    wire[a].sent = true; wire[a].done = false; wire[a].good = false;
    wire[a].rev = rev; wire[a].state = s; wire[a].value = v
}

/* The store carries out what was sent, in any order, also after the sender gave up waiting. */
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
    mtype state = NONE;     /* the key in this agent's log */
    mtype phase = IDLE;
    bool abandoned;
    end: do
    /* A call arrives (a repeat, or the same try delivered twice). */
    :: atomic { phase == IDLE && tries < MAXTRIES -> tries++; t = tries;
        if
        :: !storeUp -> tell(t, NOTRUN); t = 0
        :: storeUp && !owned ->
            /* OnceKeeper::claim: compare-and-swap on the record; what it holds is a former owner's. */
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
        /* OnceLog::repeated: the recorded answer, unchanged. */
        :: t != 0 && state == RESULT ->
            tell(t, ANSWER); assert(firstAnswer == 0 || firstAnswer == v); firstAnswer = v; t = 0
#endif
#ifndef MUTANT_RERUN_INTENT
        /* OnceLog::repeated: an intent without a result is unknown for good. */
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
            /* OnceLog::written: the call goes out after the store confirmed the intent. */
            phase = WAITING
#else
            phase = READY; rev = store.rev + 1
#endif
        fi }
    /* The answer of the write arrives. */
    :: atomic { (phase == WAITING || phase == DOUBT) && wire[me].done ->
        if
        :: wire[me].good -> rev++; wire[me].sent = false;
            if
            /* OnceLog::written erases an intent whose caller was answered already; its key may run again. */
            :: abandoned -> state = NONE; phase = IDLE
            :: !abandoned -> state = INTENT; phase = READY
            fi
        :: !wire[me].good -> wire[me].sent = false; owned = false; state = NONE; phase = IDLE;
            tell(t, NOTRUN)     /* OnceLog::fenced: the write can't take effect any more */
        fi }
    /* The answer is lost or late. */
    :: atomic { phase == WAITING ->
#ifndef MUTANT_DOUBT_IS_NOT_RUN
        /* OnceLog::doubtLasts */
        phase = DOUBT; abandoned = true; tell(t, UNKNOWN)
#else
        phase = DOUBT; tell(t, NOTRUN)
#endif
        }
    /* Only the writer of the intent executes it, without asking the clock; a pause may precede this step. */
    :: atomic { phase == READY -> executions++; executedTry[t]++; phase = CALLED }
    :: atomic { phase == READY -> tell(t, NOTRUN); state = INTENT; phase = IDLE } /* the service refused to connect */
    /* The service answered; the result goes with the next write, the caller's answer at once. */
    :: atomic { phase == CALLED -> tell(t, ANSWER); v = t; phase = IDLE;
        assert(firstAnswer == 0 || firstAnswer == v); firstAnswer = v;
        if
        :: storeUp && store.rev == rev && store.rev < MAXREV -> store.rev++; rev = store.rev;
            store.state = RESULT; store.value = v; state = RESULT
        :: store.rev != rev -> owned = false; state = NONE
        :: state = RESULT       /* not written yet */
        fi }
    /* The service loses its answer. */
    :: atomic { phase == CALLED -> state = INTENT; phase = IDLE;
#ifndef MUTANT_LOST_ANSWER_IS_NOT_RUN
        tell(t, UNKNOWN) /* OnceKeeper::lost, by the error kind of HttpConnection::exchange */
#else
        tell(t, NOTRUN)
#endif
        }
    /* A crash, or the entry's: what was not answered is unknown to the caller. What was sent may still arrive. */
    :: atomic { phase != IDLE -> tell(t, UNKNOWN); phase = IDLE; owned = false; state = NONE; break }
    od
}

init { atomic { store.state = NONE; run Agent(0); run Agent(1) } }

/* Checked in each state. */
active proctype Monitor() {
    end: do
    :: atomic { executions > 1 -> assert(false) }
    :: atomic { told[1] == NOTRUN && executedTry[1] > 0 -> assert(false) }
    :: atomic { told[2] == NOTRUN && executedTry[2] > 0 -> assert(false) }
    :: atomic { told[3] == NOTRUN && executedTry[3] > 0 -> assert(false) }
    od
}
