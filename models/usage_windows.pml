/* P2: usage windows (G7). One entry counts usage of a window, two processes may hold lease/usage in turn.
 *
 * Any process may pause at any step. Responses get lost, reports arrive twice, the store refuses requests, processes
 * crash. The lease is abstract: it changes its holder at any time, after the kernel has killed a previous holder
 * inside a guarded section (see orders.pml). */

#define SERVED 2
#define NONE 255

byte served;                 /* usage of the entry's requests in the window */
byte part, partSeq;          /* usage/part/<window>/<entry>: cumulative usage and its sequence number */
byte final = NONE;           /* usage/final/<window> */
byte finalSeq;               /* sequence number of the partial record that the final record includes */
bool sent;                   /* usage/sent/<window> */
byte late;                   /* late usage of the entry in the next window */
byte epoch = 1;              /* holder of lease/usage; epoch 1 is holder 0, 2 is holder 1 */
bool inSection[3], dead[3];
byte reported = NONE, reportedEpoch;
bool entryDead, settled;

inline receive(figure, by) {
    assert(reported == NONE || reported == figure);
    assert(by >= reportedEpoch);
    reported = figure;
    reportedEpoch = by
}

proctype Entry() {
    byte seq, countedAt[6], i, counted;
    do
    :: served < SERVED && !settled -> served++
    :: timeout -> break
    :: seq < 3 && !settled ->                        /* UsageLedger::nextPartialRecord */
        atomic { seq++; countedAt[seq] = served };
        if
        :: atomic { final == NONE ->
#ifndef MUTANT_CUMULATIVE    /* UsageLedger::nextPartialRecord: cumulative, so that a repeated write has no effect */
            part = countedAt[seq];
#else
            part = part + countedAt[seq] - countedAt[seq - 1];
#endif
            partSeq = seq };
            if
            :: skip                                  /* response received */
            :: atomic { seq < 5 ->                   /* response lost: written again */
#ifdef MUTANT_CUMULATIVE
                if :: final == NONE -> part = part + countedAt[seq] - countedAt[seq - 1] :: else fi
#endif
                skip }
            fi
        :: skip                                      /* the store refuses, or the window is closed */
        fi
    :: atomic { final != NONE && served == SERVED -> /* UsageLedger::settle */
#ifndef MUTANT_SETTLE
        late = served - countedAt[finalSeq];
#else
        late = served - countedAt[seq];              /* assumes that its last partial record was included */
#endif
        settled = true;
        assert(final + late == served) };
        break
    :: entryDead = true; break
    od
}

proctype Holder(byte me) {
    byte figure, seq, stored;
start:
    do
    :: dead[me] -> goto stopped
    :: epoch > me -> goto stopped
    :: epoch == me -> break
    :: timeout -> goto stopped                       /* never gets the lease */
    od;
    atomic { figure = part; seq = partSeq };         /* reads the partial records */
    /* UsageCloser: creates the record only if it does not exist and the create revision of the lease is unchanged */
    if
    :: atomic {
#ifndef MUTANT_CREATE_ONLY   /* finalTransaction: compares */
        final == NONE && epoch == me ->
#else
        true ->
#endif
        final = figure; finalSeq = seq }
    :: atomic { final != NONE -> skip }              /* written before */
    :: goto start                                    /* the store refuses */
    fi;
    /* The record is read back, whether or not the response was lost. */
#ifndef MUTANT_STORED        /* UsageCloser::reportWindow reports the record that it has read back */
    stored = final;
#else
    stored = figure;
#endif
report:
    if
    :: sent -> goto stopped
    :: !sent -> skip
    fi;
    atomic {
        if
        :: epoch == me && !dead[me] ->
#ifndef MUTANT_SECTION       /* GuardedSection::enter */
            inSection[me] = true;
#endif
            skip
        :: else -> goto stopped
        fi
    };
    if
    :: atomic { !dead[me] -> receive(stored, me) };
        if
        :: atomic { !dead[me] -> inSection[me] = false };
            if
            :: atomic { epoch == me -> sent = true } /* response received: sentTransaction */
            :: goto report                           /* the store refuses */
            fi
        :: atomic { !dead[me] -> inSection[me] = false }; goto report   /* response lost: sent again */
        :: dead[me] -> skip
        fi
    :: dead[me] -> skip
    fi;
stopped:
    skip
}

/* The lease expires at any time. A holder inside its guarded section is killed before a successor acquires it. */
proctype Lease() {
    if
    :: atomic {
        epoch == 1 ->
        if :: inSection[1] -> dead[1] = true; inSection[1] = false :: else fi;
        epoch = 2 }
    :: skip
    fi
}

init {
    atomic { run Entry(); run Holder(1); run Holder(2); run Lease() }
}
