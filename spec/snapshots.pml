/* Snapshots in two chunks, retention, and readers that start behind it.
 *
 * A state has two parts; each change sets both. A writer freezes the state,
 * then appends one chunk for each part; it may be paused, so that a second
 * writer is faster, or be killed after the first chunk. The log drops old
 * records whenever its time has come, as long as one whole snapshot is left.
 *
 * Guards that can be removed: ANY_SNAPSHOT, PARTIAL_SNAPSHOT, NO_GAP_CHECK.
 */

#define SLOTS 9
#define CHANGES 3
#define SNAPSHOTS 2

mtype = { CHANGE, CHUNK };

mtype kind[SLOTS];
byte id[SLOTS];
byte covers[SLOTS];
byte part[SLOTS];
byte content[SLOTS];
byte tail = 1;
byte first = 1;
byte true_state[SLOTS];

byte next = 1;
byte at;
byte state_a;
byte state_b;
bool rebuilding;
byte oldest;
byte have[3];
byte chunk_a[3];
byte chunk_b[3];

inline append(a_kind, an_id, covered, a_part, a_content) {
    kind[tail] = a_kind;
    id[tail] = an_id;
    covers[tail] = covered;
    part[tail] = a_part;
    content[tail] = a_content;
    true_state[tail] = (a_kind == CHANGE -> a_content : true_state[tail - 1]);
    tail++
}

active proctype Operators() {
    byte changes;
    do
    :: d_step { changes < CHANGES -> changes++; append(CHANGE, 0, 0, 0, changes) }
    :: changes == CHANGES -> break
    od
}

/* SnapshotPlanner.tick and split_into_chunks */
proctype Writer(byte snapshot) {
    byte covered;
    byte frozen;
    d_step { tail > 1 -> covered = tail - 1; frozen = true_state[tail - 1] };
    d_step { append(CHUNK, snapshot, covered, 0, frozen) };
    if
    :: d_step { append(CHUNK, snapshot, covered, 1, frozen) }
    :: skip
    fi
}

/* The log's retention: drops up to the offset that a kept snapshot needs. */
active proctype Retention() {
    byte i;
    byte j;
    byte drops;
    do
    :: d_step { drops < 2 ->
            drops++;
            i = first;
            do
            :: i >= tail -> break
            :: i < tail && kind[i] == CHUNK && part[i] == 0 && covers[i] + 1 > first ->
                j = i + 1;
                do
                :: j >= tail -> break
                :: j < tail && kind[j] == CHUNK && part[j] == 1 && id[j] == id[i] -> break
                :: else -> j++
                od;
                if
                :: j < tail ->
                    first = (covers[i] + 1 < i -> covers[i] + 1 : i);
                    break
                :: else -> i++
                fi
            :: else -> i++
            od;
            i = 0;
            j = 0
        }
    :: break
    od
}

/* LogFold.observe_first_retained */
inline note_gap() {
    rebuilding = true;
    oldest = first;
    next = first;
    have[1] = 0;
    have[2] = 0
}

/* LogFold.apply_snapshot, SnapshotAssembler.add, LogFold.install */
inline fold_chunk(r) {
    have[id[r]] = have[id[r]] | (1 << part[r]);
    if
    :: part[r] == 0 -> chunk_a[id[r]] = content[r]
    :: part[r] == 1 -> chunk_b[id[r]] = content[r]
    fi;
    if
#ifdef PARTIAL_SNAPSHOT
    :: covers[r] + 1 >= oldest ->
#else
#ifdef ANY_SNAPSHOT
    :: have[id[r]] == 3 ->
#else
    :: have[id[r]] == 3 && covers[r] + 1 >= oldest ->
#endif
#endif
        /* A reader never goes back to an older state. */
        assert(chunk_a[id[r]] >= state_a);
        rebuilding = false;
        next = covers[r] + 1;
        state_a = chunk_a[id[r]];
        state_b = chunk_b[id[r]]
    :: else -> skip
    fi
}

/* LogFold.apply */
inline fold_next() {
    d_step {
        next < tail;
        if
#ifndef NO_GAP_CHECK
        :: next < first -> note_gap()
#else
        :: next < first -> next = first
#endif
        :: next >= first ->
            at = next;
            next++;
            if
            :: kind[at] == CHANGE && !rebuilding ->
                state_a = content[at];
                state_b = content[at]
            :: kind[at] == CHUNK && rebuilding -> fold_chunk(at)
            :: else -> skip
            fi;
            at = 0;
            /* The state is that of all records up to here. */
            assert(rebuilding || (state_a == true_state[next - 1] && state_b == state_a))
        fi
    }
}

active proctype Reader() {
    byte restarts;
    do
    :: fold_next()
    :: d_step { restarts < 1 ->
            restarts++;
            next = 1;
            state_a = 0;
            state_b = 0;
            rebuilding = false;
            oldest = 0;
            have[1] = 0;
            have[2] = 0
        }
    :: restarts == 1 && next == tail -> break
    od
}

init {
    atomic {
        run Writer(1);
        run Writer(2)
    }
}
