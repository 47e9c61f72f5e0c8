/*
 * The ordered change log of the configuration (section 5 of docs/design.md).
 *
 * Two operators race for positions with conditional creates whose answers may be lost; a third one holds a lease to
 * write a snapshot, is paused past its end and wakes. Two entries read the log or learn changes from each other in
 * any order.
 */

#define POSITIONS 3
#define OPERATORS 2
#define ENTRIES 2
#define NONE 0

byte record[POSITIONS + 1];       /* operation id at a position; 0 is absent */
byte wrote[OPERATORS];            /* records that carry the operator's operation id */
byte result[OPERATORS];           /* 0 undecided, 1 accepted, 2 lost the race */
byte expected[OPERATORS];
bit unsure[OPERATORS];            /* the answer of the last create was lost */
byte position[ENTRIES];           /* applied position */
byte applied[ENTRIES];            /* operation id applied last */
byte snapshot;                    /* position of the newest snapshot */
byte pendingSnapshot;             /* position that the paused holder is about to write; 0 is none */

inline create(o) {
    if
    :: record[expected[o]] == NONE ->
        record[expected[o]] = o + 1;
        wrote[o] = wrote[o] + 1;
        /* Each operation is in the log at most once. */
        assert(wrote[o] <= 1);
        if
        :: lost == 1 -> unsure[o] = 1
        :: else -> result[o] = 1
        fi
    :: else ->
        if
        :: lost == 1 -> unsure[o] = 1
#ifdef MUTANT_OVERWRITE
        :: else -> record[expected[o]] = o + 1; result[o] = 1
#else
        :: else -> result[o] = 2
#endif
        fi
    fi
}

/* After a lost answer the position is read and its operation id compared. */
inline resolve(o) {
#ifdef MUTANT_BLIND_RETRY
    expected[o] = (expected[o] < POSITIONS -> expected[o] + 1 : expected[o]);
    unsure[o] = 0
#else
    if
    :: record[expected[o]] == o + 1 -> result[o] = 1
    :: record[expected[o]] != NONE && record[expected[o]] != o + 1 -> result[o] = 2
    :: record[expected[o]] == NONE -> skip       /* it had no effect: the same create is sent again */
    fi;
    unsure[o] = 0
#endif
}

inline apply(e, p) {
    if
#ifdef MUTANT_ANY_ORDER
    :: p >= 1 && p <= POSITIONS && record[p] != NONE ->
#else
    :: p == position[e] + 1 && record[p] != NONE ->
#endif
        /* A configuration in force never reverts. */
        assert(p > position[e]);
        position[e] = p;
        applied[e] = record[p]
    :: else -> skip
    fi
}

active proctype system() {
    byte o = 0;
    byte e = 0;
    byte p = 0;
    byte lost = 0;
    d_step { expected[0] = 1; expected[1] = 1 }
    do
    /* An operator appends at the position that it expects. */
    :: atomic { select(o : 0 .. 1);
        if
        :: result[o] == 0 && !unsure[o] ->
            select(lost : 0 .. 1);
            create(o);
            lost = 0
        :: result[o] == 0 && unsure[o] -> resolve(o)
        /* Told who won, the operator compares again and expects the next position. */
        :: result[o] == 2 && expected[o] < POSITIONS && wrote[o] == 0 -> expected[o] = expected[o] + 1; result[o] = 0
        :: else -> skip
        fi; o = 0 }
    /* Entries see changes late, twice and out of order. */
    :: atomic { select(e : 0 .. 1); select(p : 1 .. POSITIONS); apply(e, p); e = 0; p = 0 }
    /* An entry is replaced and starts from the snapshot. */
    :: atomic { select(e : 0 .. 1);
        if
        :: snapshot > position[e] -> position[e] = snapshot; applied[e] = record[snapshot]
        :: else -> skip
        fi; e = 0 }
    /* A holder of the snapshot lease reads the log, may be paused past the lease, and writes by a conditional create of
       an object named after the position, so that a late write changes nothing that is newer. */
    :: atomic { pendingSnapshot == 0 && position[0] > snapshot -> pendingSnapshot = position[0] }
    :: atomic { pendingSnapshot != 0 ->
#ifdef MUTANT_LATE_SNAPSHOT
        snapshot = pendingSnapshot;
        position[1] = (position[1] == 0 -> 0 : snapshot);
#else
        snapshot = (pendingSnapshot > snapshot -> pendingSnapshot : snapshot);
#endif
        pendingSnapshot = 0 }
    /* Another holder writes while the first one is paused. */
    :: atomic { position[1] > snapshot -> snapshot = position[1] }
    od
}

/* Runs once, at any moment. */
active proctype monitor() {
    atomic {
        /* What was accepted is in the log; what is in force was accepted; two entries at a position agree. */
        assert(result[0] != 1 || record[1] == 1 || record[2] == 1 || record[3] == 1);
        assert(result[1] != 1 || record[1] == 2 || record[2] == 2 || record[3] == 2);
        assert(position[0] == 0 || applied[0] == record[position[0]]);
        assert(position[1] == 0 || applied[1] == record[position[1]]);
        assert(position[0] == 0 || record[position[0]] != NONE);
        /* An operator that was told "lost the race" wrote nothing. */
        assert(result[0] != 2 || wrote[0] == 0);
        assert(result[1] != 2 || wrote[1] == 0)
    }
}
