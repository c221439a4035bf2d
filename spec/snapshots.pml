/* Snapshots in two chunks, retention, and readers that start below the oldest record.
 *
 * The state has two parts, and each change sets both. A writer copies the state,
 * then appends one chunk for each part. It may pause, so that the other writer
 * overtakes it, or stop after the first chunk. The log drops old records at any
 * time, as long as one complete snapshot remains.
 *
 * Macros that each remove one guard:
 * ANY_SNAPSHOT: install a snapshot that ends before the oldest record.
 * PARTIAL_SNAPSHOT: install a snapshot before all of its chunks are read.
 * NO_GAP_CHECK: continue from the oldest record without installing a snapshot.
 */

#define LOG_CAPACITY 9
#define CHANGES 3
#define SNAPSHOTS 2

mtype = { CHANGE, CHUNK };

mtype kind[LOG_CAPACITY];
byte snapshot_id[LOG_CAPACITY];
byte covers[LOG_CAPACITY];
byte part[LOG_CAPACITY];
byte content[LOG_CAPACITY];
byte tail = 1;
byte first_retained = 1;
byte expected_state[LOG_CAPACITY];

byte next_offset = 1;
byte offset;
byte state_a;
byte state_b;
bool rebuilding;
byte rebuild_start;
byte received_parts[3];
byte chunk_a[3];
byte chunk_b[3];

inline append(new_kind, new_id, covered_offset, new_part, new_content) {
    kind[tail] = new_kind;
    snapshot_id[tail] = new_id;
    covers[tail] = covered_offset;
    part[tail] = new_part;
    content[tail] = new_content;
    expected_state[tail] = (new_kind == CHANGE -> new_content : expected_state[tail - 1]);
    tail++
}

active proctype Operators() {
    byte changes;
    do
    :: d_step { changes < CHANGES -> changes++; append(CHANGE, 0, 0, 0, changes) }
    :: changes == CHANGES -> break
    od
}

/* SnapshotPlanner.tick and split_into_chunks. */
proctype Writer(byte own_snapshot) {
    byte covered_offset;
    byte frozen_state;
    d_step { tail > 1 -> covered_offset = tail - 1; frozen_state = expected_state[tail - 1] };
    d_step { append(CHUNK, own_snapshot, covered_offset, 0, frozen_state) };
    if
    :: d_step { append(CHUNK, own_snapshot, covered_offset, 1, frozen_state) }
    :: skip
    fi
}

/* Drops old records up to the offset that a complete snapshot needs. */
active proctype Retention() {
    byte first_chunk_offset;
    byte second_chunk_offset;
    byte truncations;
    do
    :: d_step { truncations < 2 ->
            truncations++;
            first_chunk_offset = first_retained;
            do
            :: first_chunk_offset >= tail -> break
            :: first_chunk_offset < tail && kind[first_chunk_offset] == CHUNK &&
                    part[first_chunk_offset] == 0 &&
                    covers[first_chunk_offset] + 1 > first_retained ->
                second_chunk_offset = first_chunk_offset + 1;
                do
                :: second_chunk_offset >= tail -> break
                :: second_chunk_offset < tail && kind[second_chunk_offset] == CHUNK &&
                        part[second_chunk_offset] == 1 &&
                        snapshot_id[second_chunk_offset] == snapshot_id[first_chunk_offset] ->
                    break
                :: else -> second_chunk_offset++
                od;
                if
                :: second_chunk_offset < tail ->
                    first_retained = (covers[first_chunk_offset] + 1 < first_chunk_offset ->
                        covers[first_chunk_offset] + 1 : first_chunk_offset);
                    break
                :: else -> first_chunk_offset++
                fi
            :: else -> first_chunk_offset++
            od;
            first_chunk_offset = 0;
            second_chunk_offset = 0
        }
    :: break
    od
}

/* LogFold.observe_first_retained. */
inline start_rebuild() {
    rebuilding = true;
    rebuild_start = first_retained;
    next_offset = first_retained;
    received_parts[1] = 0;
    received_parts[2] = 0
}

/* LogFold.apply_snapshot, SnapshotAssembler.add and LogFold.install_snapshot. */
inline apply_chunk(chunk_offset) {
    received_parts[snapshot_id[chunk_offset]] =
        received_parts[snapshot_id[chunk_offset]] | (1 << part[chunk_offset]);
    if
    :: part[chunk_offset] == 0 -> chunk_a[snapshot_id[chunk_offset]] = content[chunk_offset]
    :: part[chunk_offset] == 1 -> chunk_b[snapshot_id[chunk_offset]] = content[chunk_offset]
    fi;
    if
#ifdef PARTIAL_SNAPSHOT
    :: covers[chunk_offset] + 1 >= rebuild_start ->
#else
#ifdef ANY_SNAPSHOT
    :: received_parts[snapshot_id[chunk_offset]] == 3 ->
#else
    :: received_parts[snapshot_id[chunk_offset]] == 3 && covers[chunk_offset] + 1 >= rebuild_start ->
#endif
#endif
        /* A reader never goes back to an older state. */
        assert(chunk_a[snapshot_id[chunk_offset]] >= state_a);
        rebuilding = false;
        next_offset = covers[chunk_offset] + 1;
        state_a = chunk_a[snapshot_id[chunk_offset]];
        state_b = chunk_b[snapshot_id[chunk_offset]]
    :: else -> skip
    fi
}

/* LogFold.apply. */
inline apply_next_entry() {
    d_step {
        next_offset < tail;
        if
#ifndef NO_GAP_CHECK
        :: next_offset < first_retained -> start_rebuild()
#else
        :: next_offset < first_retained -> next_offset = first_retained
#endif
        :: next_offset >= first_retained ->
            offset = next_offset;
            next_offset++;
            if
            :: kind[offset] == CHANGE && !rebuilding ->
                state_a = content[offset];
                state_b = content[offset]
            :: kind[offset] == CHUNK && rebuilding -> apply_chunk(offset)
            :: else -> skip
            fi;
            offset = 0;
            /* The state results from all records before next_offset. */
            assert(rebuilding || (state_a == expected_state[next_offset - 1] && state_b == state_a))
        fi
    }
}

active proctype Reader() {
    byte restarts;
    do
    :: apply_next_entry()
    :: d_step { restarts < 1 ->
            restarts++;
            next_offset = 1;
            state_a = 0;
            state_b = 0;
            rebuilding = false;
            rebuild_start = 0;
            received_parts[1] = 0;
            received_parts[2] = 0
        }
    :: restarts == 1 && next_offset == tail -> break
    od
}

init {
    atomic {
        run Writer(1);
        run Writer(2)
    }
}
