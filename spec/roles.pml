/* Role changes in a pool of three engines, at least one of which must decode.
 *
 * Each sidecar proposes changes of its own engine, based on the pool revision
 * that it read. Records land in any order and possibly late.
 *
 * Macros that each remove one guard:
 * NO_MINIMUM: accept a change that leaves no engine to decode.
 * NO_POOL_CAS: accept a change that is based on an old pool revision.
 */

#define ENGINES 3
#define CHANGES 2

bool can_decode[ENGINES] = true;
bool changing[ENGINES];
byte pool_revision;
byte change_by_base_revision[8];

/* EndpointTable.keeps_minimum: count the other engines that can decode now. */
inline count_other_decoders(engine) {
    other_decoders = 0;
    if
    :: engine != 0 && can_decode[0] && !changing[0] -> other_decoders++
    :: else -> skip
    fi;
    if
    :: engine != 1 && can_decode[1] && !changing[1] -> other_decoders++
    :: else -> skip
    fi;
    if
    :: engine != 2 && can_decode[2] && !changing[2] -> other_decoders++
    :: else -> skip
    fi
}

proctype Sidecar(byte engine) {
    byte base_pool_revision;
    byte other_decoders;
    byte changes;
    byte accepted;
    do
    :: changes < CHANGES ->
        changes++;
        base_pool_revision = pool_revision;
        accepted = false;
        /* EndpointTable.apply_grant, when the record lands. */
        d_step {
            count_other_decoders(engine);
            if
#ifndef NO_POOL_CAS
            :: base_pool_revision != pool_revision -> skip
#endif
#ifndef NO_MINIMUM
            :: can_decode[engine] && other_decoders < 1 -> skip
#endif
            :: else ->
                /* No two accepted changes are based on the same pool revision. */
                assert(change_by_base_revision[base_pool_revision] == 0);
                change_by_base_revision[base_pool_revision] = engine + 1;
                pool_revision++;
                changing[engine] = true;
                accepted = true
            fi;
            other_decoders = 0
        }
        /* The engine changes its role, then EndpointTable.apply_outcome. */
        if
        :: accepted -> d_step { changing[engine] = false; can_decode[engine] = !can_decode[engine] }
        :: else -> skip
        fi
    :: changes == CHANGES -> break
    od
}

/* Checks that the pool never drops below its minimum. */
active proctype Observer() {
end:
    do
    :: d_step {
            !((can_decode[0] && !changing[0]) || (can_decode[1] && !changing[1]) ||
              (can_decode[2] && !changing[2])) ->
            assert(false)
        }
    od
}

init {
    atomic {
        run Sidecar(0);
        run Sidecar(1);
        run Sidecar(2)
    }
}
