/* Contract changes (design section 8, P4): two operators write a contract by compare-and-swap. Responses can be
 * lost and writes can arrive late. Two entries read the contract from the store or from each other, one of them may
 * restart, and the store may be down. Checked: a tool reports the actual outcome; the revision of a view never
 * decreases; an entry that takes traffic holds at least the revision that was in force everywhere when it started. */

#define EMPTY 0
#define ENTRIES 2
#define MAX_REVISION 3

byte revision = 1;            /* store: revision of the contract */
byte writer = 0;              /* store: writer of this revision (0: initial version) */
byte writerAt[4];             /* history: writer of each revision */
bool up = true;

hidden byte update;           /* used only within an atomic step */
hidden byte before;
byte view[ENTRIES];           /* revision in the view of each entry */
bool takesTraffic[ENTRIES];
byte inForce = 1;             /* highest revision that every serving entry confirmed */

/* An operator's write request in flight: it may arrive after the operator has timed out. */
byte sentExpected[3];         /* revision that the write expects; EMPTY if none is in flight */
byte acceptedAt[3];           /* revision at which the operator's write took effect; EMPTY if it did not */
byte copies[3];               /* copies of the write in flight */

inline storeTakes(op)
{
    atomic {
        copies[op] > 0 && up ->
        copies[op]--;
        if
#ifndef MUTANT_CAS            /* writeIfUnchanged(): compare on the modification revision */
        :: sentExpected[op] != revision -> skip
#endif
        :: else ->
            if
            :: revision < MAX_REVISION ->
                /* An operator never overwrites a revision that it has not read. */
                assert(sentExpected[op] == revision);
                revision++;
                writer = op;
                writerAt[revision] = op;
                acceptedAt[op] = revision
            :: else -> skip
            fi
        fi
    }
}

/* The store executes or loses writes in flight at any time. */
active proctype Store()
{
    do
    :: storeTakes(1)
    :: storeTakes(2)
    :: atomic { up -> up = false }
    :: atomic { !up -> up = true }
    :: atomic { copies[1] > 0 -> copies[1]-- }    /* a request is lost */
    :: atomic { copies[2] > 0 -> copies[2]-- }
    od
}

/* contractPut(): reads, writes, and repeats the write until a response is definite. */
proctype Operator(byte op)
{
    byte seen;
    byte tries = 0;
    atomic { up -> seen = revision; sentExpected[op] = seen }
send:
    atomic {
        copies[op]++;
        tries++
    }
    if
    :: atomic {               /* the response arrives: comparison and write are one transaction */
        up && copies[op] > 0 ->
        copies[op]--;
        if
        :: sentExpected[op] == revision && revision < MAX_REVISION ->
            revision++;
            writer = op;
            writerAt[revision] = op;
            acceptedAt[op] = revision;
            goto accepted
#ifndef MUTANT_HISTORY        /* contractPut(): also searches the history for its own write */
        :: else ->
            if
            :: acceptedAt[op] != EMPTY -> goto accepted
            :: else -> goto refused
            fi
#else
        :: else ->
            if
            :: writer == op -> goto accepted
            :: else -> goto refused
            fi
#endif
        fi
      }
    :: tries < 2 -> goto send /* no response: repeat the same write */
    :: tries >= 2 -> goto unknown
    fi;
accepted:
    atomic { assert(acceptedAt[op] != EMPTY && writerAt[acceptedAt[op]] == op) }
    goto done;
refused:
    /* The tool reports that the write did not take effect, so no late copy may take effect. */
    atomic { assert(acceptedAt[op] == EMPTY); assert(sentExpected[op] != revision || revision == MAX_REVISION) }
    goto done;
unknown:
#ifdef MUTANT_READ_BACK       /* writeIfUnchanged(): without a definite response the outcome is unknown */
    atomic { up -> if :: acceptedAt[op] == EMPTY -> assert(copies[op] == 0) :: else -> skip fi }
#endif
done:
    skip
}

/* An entry applies changes in any order, from range reads, delayed updates, or its peer. */
proctype Entry(byte me)
{
    bool restarted = false;
    do
    :: atomic {               /* a range read or a watch of the store */
        up -> update = revision; before = view[me];
        if
        :: update > view[me] -> view[me] = update
        :: else -> skip
        fi;
        takesTraffic[me] = true
       }
    :: atomic {               /* a delayed or repeated update, or one from a peer with an older view */
        if
        :: update = 1
        :: update = view[1 - me]
        :: revision > 1 -> update = revision - 1
        fi;
        before = view[me];
        if
#ifndef MUTANT_HIGHEST_WINS   /* ConfigView::applyContract(): ignores lower revisions */
        :: update <= view[me] -> skip
#endif
        :: else -> view[me] = update
        fi;
        assert(view[me] >= before)
       }
    :: atomic {               /* the process restarts with an empty view */
        !restarted -> restarted = true; view[me] = EMPTY; takesTraffic[me] = false
       }
#ifdef MUTANT_LOAD_FIRST      /* EntryControl::handleSubmit(): no traffic before a complete read of the store */
    :: atomic { view[me] > EMPTY -> takesTraffic[me] = true }
#endif
    :: atomic {               /* serves a caller with at least the revision that is in force */
        takesTraffic[me] -> assert(view[me] >= inForce)
       }
    od
}

/* awaitConfirmation(): reports `in force` once every entry that takes traffic has confirmed the revision. */
proctype Tool()
{
    do
    :: d_step {
        inForce < revision && takesTraffic[0] && takesTraffic[1] && view[0] >= revision && view[1] >= revision ->
            inForce = revision
       }
    od
}

init {
    atomic {
        view[0] = 1; view[1] = 1;
        takesTraffic[0] = true; takesTraffic[1] = true;
        run Operator(1); run Operator(2); run Entry(0); run Entry(1); run Tool()
    }
}
