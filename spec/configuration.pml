/* Changes of the configuration by compare-and-set on the log.
 *
 * Each process applies the log on its own. Two operators publish concurrent
 * changes that add one to the value that they read; an append whose response was
 * lost is sent again. A reader loses its state in a restart and reads the log
 * from the start while the operators continue.
 *
 * Macros that each remove one guard:
 * NO_CAS: accept a change whatever revision it is based on.
 * NO_TAIL: serve after a restart before reaching the tail of the log.
 */

#define LOG_CAPACITY 6
#define READER 2
#define PROCESSES 3

byte entry_base[LOG_CAPACITY];
byte entry_value[LOG_CAPACITY];
byte entry_id[LOG_CAPACITY];
byte tail = 1;

byte next_offset[PROCESSES];
byte revision[PROCESSES];
byte current_value[PROCESSES];
byte current_id[PROCESSES];

byte accepted_changes;
bool outcome_known[4];
byte served_revision;

/* Records the outcome of an operator's own change the first time it reads it. */
inline record_outcome(process, record_id, is_accepted) {
    if
    :: process + 1 == record_id && !outcome_known[record_id] ->
        outcome_known[record_id] = true;
        accepted_changes = accepted_changes + is_accepted
    :: else -> skip
    fi
}

/* SubjectTable.apply. */
inline apply_change(process, offset) {
    if
    :: entry_id[offset] == current_id[process] -> skip
#ifndef NO_CAS
    :: entry_id[offset] != current_id[process] && entry_base[offset] != revision[process] ->
            record_outcome(process, entry_id[offset], false)
    :: entry_id[offset] != current_id[process] && entry_base[offset] == revision[process] ->
#else
    :: entry_id[offset] != current_id[process] ->
#endif
        assert(offset > revision[process]);
        revision[process] = offset;
        current_value[process] = entry_value[offset];
        current_id[process] = entry_id[offset];
        record_outcome(process, entry_id[offset], true)
    fi
}

/* LogFold.apply. */
inline apply_next_entry(process) {
    d_step {
        next_offset[process] < tail;
        next_offset[process] = next_offset[process] + 1;
        apply_change(process, (next_offset[process] - 1))
    }
}

inline append(record_id, base_revision, new_value) {
    entry_id[tail] = record_id;
    entry_base[tail] = base_revision;
    entry_value[tail] = new_value;
    tail++
}

/* publish and LogWriter.tick: the same record may be appended twice. */
proctype Operator(byte process) {
    byte times_sent;
    byte base_revision;
    byte new_value;
    do
    :: apply_next_entry(process)
    :: d_step { times_sent == 0 ->
            times_sent = 1;
            base_revision = revision[process];
            new_value = current_value[process] + 1
        };
        d_step { append(process + 1, base_revision, new_value) }
    :: d_step { times_sent == 1 -> times_sent = 2; append(process + 1, base_revision, new_value) }
    :: times_sent > 0 && outcome_known[process + 1] -> break
    od
}

/* LogFold.observe_tail: serve only after reaching the tail read after the restart. */
proctype Reader() {
    byte required_offset = 1;
    byte restarts;
    do
    :: apply_next_entry(READER)
#ifdef NO_TAIL
    :: d_step { revision[READER] != served_revision ->
#else
    :: d_step { next_offset[READER] >= required_offset && revision[READER] != served_revision ->
#endif
            assert(revision[READER] >= served_revision);
            served_revision = revision[READER]
        }
    :: d_step { restarts < 2 ->
            restarts++;
            required_offset = tail;
            next_offset[READER] = 1;
            revision[READER] = 0;
            current_value[READER] = 0;
            current_id[READER] = 0
        }
    :: restarts == 2 && next_offset[READER] == tail -> break
    od
}

init {
    byte process;
    d_step {
        for (process : 0 .. PROCESSES - 1) { next_offset[process] = 1 }
    };
    atomic {
        run Operator(0);
        run Operator(1);
        run Reader()
    };
    (_nr_pr == 1);
    do
    :: apply_next_entry(READER)
    :: next_offset[READER] == tail -> break
    od;
    /* Both operators know the outcome, and every accepted change is in the value. */
    assert(outcome_known[1] && outcome_known[2] && current_value[READER] == accepted_changes)
}
