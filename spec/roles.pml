/* Role changes of a pool of three engines, at least one of which must decode.
 *
 * Each sidecar proposes a change of its own engine from the pool as it has read
 * it; records land in any order and may be late.
 *
 * Guards that can be removed: NO_MINIMUM, NO_POOL_CAS.
 */

#define ENGINES 3
#define CHANGES 2

bool decodes[ENGINES] = true;
bool changing[ENGINES];
byte pool_revision;
byte accepted_on[8];

/* EndpointTable.keeps_minimum: engines that decode now, without one of them. */
inline count_others(e) {
    others = 0;
    if
    :: e != 0 && decodes[0] && !changing[0] -> others++
    :: else -> skip
    fi;
    if
    :: e != 1 && decodes[1] && !changing[1] -> others++
    :: else -> skip
    fi;
    if
    :: e != 2 && decodes[2] && !changing[2] -> others++
    :: else -> skip
    fi
}

proctype Sidecar(byte e) {
    byte seen;
    byte others;
    byte changes;
    byte accepted;
    do
    :: changes < CHANGES ->
        changes++;
        seen = pool_revision;
        accepted = false;
        /* EndpointTable.grant, when the record lands. */
        d_step {
            count_others(e);
            if
#ifndef NO_POOL_CAS
            :: seen != pool_revision -> skip
#endif
#ifndef NO_MINIMUM
            :: decodes[e] && others < 1 -> skip
#endif
            :: else ->
                /* No two changes rest on the same evidence. */
                assert(accepted_on[seen] == 0);
                accepted_on[seen] = e + 1;
                pool_revision++;
                changing[e] = true;
                accepted = true
            fi;
            others = 0
        }
        /* The engine changes, then EndpointTable.end. */
        if
        :: accepted -> d_step { changing[e] = false; decodes[e] = !decodes[e] }
        :: else -> skip
        fi
    :: changes == CHANGES -> break
    od
}

/* The pool never drops below its minimum. */
active proctype Observer() {
end:
    do
    :: d_step {
            !((decodes[0] && !changing[0]) || (decodes[1] && !changing[1]) || (decodes[2] && !changing[2])) ->
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
