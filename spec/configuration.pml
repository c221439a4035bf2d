/* Configuration by compare-and-set on the log.
 *
 * Each process folds the log by itself. Two operators race with changes that
 * add one to the value they read; an append whose answer was lost is sent
 * again. A reader restarts with an empty memory while others serve.
 *
 * Guards that can be removed: NO_CAS, NO_TAIL.
 */

#define SLOTS 6
#define READER 2
#define PROCESSES 3

byte base[SLOTS];
byte value[SLOTS];
byte id[SLOTS];
byte tail = 1;

byte next[PROCESSES];
byte revision[PROCESSES];
byte held[PROCESSES];
byte current[PROCESSES];

byte accepted;
bool told[4];
byte served;

/* What the operator itself is told, once. */
inline learn(p, record_id, is_accepted) {
    if
    :: p + 1 == record_id && !told[record_id] ->
        told[record_id] = true;
        accepted = accepted + is_accepted
    :: else -> skip
    fi
}

/* SubjectTable.apply */
inline fold_change(p, r) {
    if
    :: id[r] == current[p] -> skip
#ifndef NO_CAS
    :: id[r] != current[p] && base[r] != revision[p] -> learn(p, id[r], false)
    :: id[r] != current[p] && base[r] == revision[p] ->
#else
    :: id[r] != current[p] ->
#endif
        assert(r > revision[p]);
        revision[p] = r;
        held[p] = value[r];
        current[p] = id[r];
        learn(p, id[r], true)
    fi
}

/* LogFold.apply */
inline fold_next(p) {
    d_step {
        next[p] < tail;
        next[p] = next[p] + 1;
        fold_change(p, (next[p] - 1))
    }
}

inline append(record_id, based_on, new_value) {
    id[tail] = record_id;
    base[tail] = based_on;
    value[tail] = new_value;
    tail++
}

/* publish and LogWriter.tick: the same record may be sent again. */
proctype Operator(byte p) {
    byte copies;
    byte my_base;
    byte my_value;
    do
    :: fold_next(p)
    :: d_step { copies == 0 ->
            copies = 1;
            my_base = revision[p];
            my_value = held[p] + 1
        };
        d_step { append(p + 1, my_base, my_value) }
    :: d_step { copies == 1 -> copies = 2; append(p + 1, my_base, my_value) }
    :: copies > 0 && told[p + 1] -> break
    od
}

/* LogFold.observe_tail: serves once a tail read after the start is folded. */
proctype Reader() {
    byte wanted = 1;
    byte restarts;
    do
    :: fold_next(READER)
#ifdef NO_TAIL
    :: d_step { revision[READER] != served ->
#else
    :: d_step { next[READER] >= wanted && revision[READER] != served ->
#endif
            assert(revision[READER] >= served);
            served = revision[READER]
        }
    :: d_step { restarts < 2 ->
            restarts++;
            wanted = tail;
            next[READER] = 1;
            revision[READER] = 0;
            held[READER] = 0;
            current[READER] = 0
        }
    :: restarts == 2 && next[READER] == tail -> break
    od
}

init {
    byte p;
    d_step {
        for (p : 0 .. PROCESSES - 1) { next[p] = 1 }
    };
    atomic {
        run Operator(0);
        run Operator(1);
        run Reader()
    };
    (_nr_pr == 1);
    do
    :: fold_next(READER)
    :: next[READER] == tail -> break
    od;
    /* Both were told, and no accepted change was lost to the other one. */
    assert(told[1] && told[2] && held[READER] == accepted)
}
