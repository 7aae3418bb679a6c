/* P2: usage windows (G7). One entry counts usage of a window, two processes may hold lease/usage in turn.
 *
 * Any process may pause at any step. Answers get lost, reports arrive twice, the store refuses, processes crash.
 * The lease is abstract: it moves at any time, and the kernel kills a holder inside a guarded section first
 * (orders.pml). */

#define SERVED 2
#define NONE 255

byte served;                 /* what the engines did for the entry's requests in the window */
byte part, partSeq;          /* usage/part/<window>/<entry>: cumulative figure and its number */
byte final = NONE;           /* usage/final/<window> */
byte finalSeq;               /* number of the entry's part that the final record counts */
bool sent;                   /* usage/sent/<window> */
byte late;                   /* the entry's late figure in the next window */
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
    :: seq < 3 && !settled ->                        /* UsageLedger::nextPart */
        atomic { seq++; countedAt[seq] = served };
        if
        :: atomic { final == NONE ->
#ifndef MUTANT_CUMULATIVE    /* UsageLedger::nextPart: the whole figure, so that a repeated write changes nothing */
            part = countedAt[seq];
#else
            part = part + countedAt[seq] - countedAt[seq - 1];
#endif
            partSeq = seq };
            if
            :: skip                                  /* answered */
            :: atomic { seq < 5 ->                   /* answer lost: written again */
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
        late = served - countedAt[seq];              /* takes its last part as counted */
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
    atomic { figure = part; seq = partSeq };         /* reads the parts */
    /* UsageCloser: create-only, and the lease is still ours by its create revision */
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
    /* answered, or the answer is lost; both ways the record is read back */
#ifndef MUTANT_STORED        /* UsageCloser::close reports only what it has read back */
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
            :: atomic { epoch == me -> sent = true } /* the answer came: markSent */
            :: goto report                           /* the store refuses */
            fi
        :: atomic { !dead[me] -> inSection[me] = false }; goto report   /* lost: sent again */
        :: dead[me] -> skip
        fi
    :: dead[me] -> skip
    fi;
stopped:
    skip
}

/* The lease runs out at any moment; a holder inside its section is killed before a successor gets it. */
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
