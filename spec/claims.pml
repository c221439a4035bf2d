/* At most one run of a non-idempotent request.
 *
 * Three processes receive the same request: process 1 is a sidecar, process 2
 * the same sidecar after a restart, and process 3 the sidecar of another
 * endpoint. An append may land late, twice or never, and the response of the
 * service may be lost. A process may pause or stop between any two steps,
 * because Spin checks every prefix of a run. The state of the claim depends only
 * on the log, so each record holds the state that results from it.
 *
 * Macros that each remove one guard:
 * RUN_ON_ANSWER: run once the append has landed, without reading the claim back.
 * RUN_AFTER_GIVE_UP: run when the claim of a refused request is accepted.
 * FREE_ON_SUPERSEDE: free the claim of a superseded sidecar that may have run the request.
 * ANYONE_ENDS: free the open claim of another process.
 * FREE_UNKNOWN: free the claim of a request whose response was lost.
 */

#define LOG_CAPACITY 9
/* Processes are numbered from 1. */
#define PROCESS_SLOTS 4

mtype = { FREE, OPEN, RAN, UNKNOWN };

mtype claim_state[LOG_CAPACITY] = FREE;
byte claimant[LOG_CAPACITY];
byte claim_offset[LOG_CAPACITY];
byte registered_process[LOG_CAPACITY];
byte tail = 1;

byte appends_in_flight[PROCESS_SLOTS];
byte landed_offset[PROCESS_SLOTS];
bool has_run[PROCESS_SLOTS];
bool refused_as_not_run[PROCESS_SLOTS];
byte run_count;

#define same_endpoint(process, other) ((process <= 2) == (other <= 2))
#define log_has_room (tail < LOG_CAPACITY)

inline copy_previous_state() {
    claim_state[tail] = claim_state[tail - 1];
    claimant[tail] = claimant[tail - 1];
    claim_offset[tail] = claim_offset[tail - 1];
    registered_process[tail] = registered_process[tail - 1]
}

/* ClaimTable.apply_claim and ClaimTable.find_rejection. */
inline append_claim(process) {
    copy_previous_state();
    if
    :: claim_state[tail] == FREE && claimant[tail] != process &&
            (process == 3 || registered_process[tail] == process) ->
        claim_state[tail] = OPEN;
        claimant[tail] = process;
        claim_offset[tail] = tail
    :: else -> skip
    fi;
    if
    :: landed_offset[process] == 0 -> landed_offset[process] = tail
    :: else -> skip
    fi;
    tail++
}

/* ClaimTable.apply_outcomes. */
inline append_outcome(process, ended_claim, outcome) {
    copy_previous_state();
    if
    :: claim_state[tail] == OPEN && claim_offset[tail] == ended_claim && claimant[tail] == process ->
        claim_state[tail] = outcome
    :: else -> skip
    fi;
    tail++
}

/* EndpointTable.apply_registration and ClaimTable.end_superseded_claims. */
inline append_registration(process) {
    copy_previous_state();
    registered_process[tail] = process;
    if
    :: claim_state[tail] == OPEN && claimant[tail] != process &&
            same_endpoint(claimant[tail], process) ->
#ifdef FREE_ON_SUPERSEDE
        claim_state[tail] = FREE
#else
        claim_state[tail] = UNKNOWN
#endif
    :: else -> skip
    fi;
    tail++
}

inline run_request(process) {
    assert(run_count == 0);
    assert(!refused_as_not_run[process]);
    run_count++;
    has_run[process] = true
}

inline refuse_as_not_run(process) {
    assert(!has_run[process]);
    refused_as_not_run[process] = true
}

/* Delivers the appends of the sidecars to the log. */
active proctype Network() {
end:
    do
    :: d_step { appends_in_flight[1] > 0 && log_has_room -> appends_in_flight[1]--; append_claim(1) }
    :: d_step { appends_in_flight[2] > 0 && log_has_room -> appends_in_flight[2]--; append_claim(2) }
    :: d_step { appends_in_flight[3] > 0 && log_has_room -> appends_in_flight[3]--; append_claim(3) }
    od
}

/* ClaimController. */
proctype Sidecar(byte process) {
    byte next_offset = 1;
    bool given_up;
    bool claim_sent;
    byte own_claim;
    if
    :: process == 2 ->
end_registration:
        d_step { log_has_room -> append_registration(process); next_offset = tail }
    :: else -> skip
    fi;
end:
    do
#ifdef ANYONE_ENDS
    :: d_step { claim_state[next_offset - 1] == OPEN &&
            claimant[next_offset - 1] != process && log_has_room ->
            copy_previous_state();
            claim_state[tail] = FREE;
            tail++
        }
#endif
    /* LogFold.apply: read the next record of the log. */
    :: d_step { next_offset < tail ->
            next_offset++;
            if
            :: claim_sent && own_claim == 0 &&
                    claim_offset[next_offset - 1] == next_offset - 1 && claimant[next_offset - 1] == process ->
                own_claim = next_offset - 1
            :: else -> skip
            fi
        }
        if
        /* handle_claim_accepted: the own claim was read back as the first on the key. */
        :: own_claim == next_offset - 1 && own_claim > 0 && (!given_up) -> break
#ifdef RUN_AFTER_GIVE_UP
        :: own_claim == next_offset - 1 && own_claim > 0 && given_up -> break
#else
        /* withdraw_claim. */
        :: d_step { own_claim == next_offset - 1 && own_claim > 0 && given_up && log_has_room ->
                append_outcome(process, own_claim, FREE)
            }
#endif
        :: else -> skip
        fi
    /* handle_request: no claim on the key has been read so far. */
    :: d_step { !claim_sent && claim_state[next_offset - 1] == FREE ->
            claim_sent = true;
            appends_in_flight[process] = (process == 1 -> 2 : 1)
        }
#ifdef RUN_ON_ANSWER
    :: landed_offset[process] > 0 && !given_up && claim_sent ->
            own_claim = landed_offset[process];
            break
#endif
    /* give_up_claim: refuse the request as not run while the append may still land. */
    :: d_step { claim_sent && own_claim == 0 && !given_up ->
            given_up = true;
            refuse_as_not_run(process)
        }
    /* find_known_reply: replay the outcome or refuse the request. */
    :: d_step { !claim_sent && claim_state[next_offset - 1] == RAN ->
            assert(run_count == 1);
            given_up = true;
            claim_sent = true
        }
    :: d_step { !claim_sent && claim_state[next_offset - 1] == UNKNOWN ->
            claim_sent = true;
            given_up = true
        }
    od;
    /* RunRequest, then handle_response, handle_lost_response or handle_not_sent. */
end_run:
    if
    :: d_step { run_request(process) };
end_response:
        if
        :: d_step { log_has_room -> append_outcome(process, own_claim, RAN) }
#ifdef FREE_UNKNOWN
        :: d_step { log_has_room -> append_outcome(process, own_claim, FREE) }
#else
        :: d_step { log_has_room -> append_outcome(process, own_claim, UNKNOWN) }
#endif
        fi
    :: d_step { refuse_as_not_run(process) };
end_not_sent:
        d_step { log_has_room -> append_outcome(process, own_claim, FREE) }
    fi
}

init {
    registered_process[0] = 1;
    atomic {
        run Sidecar(1);
        run Sidecar(2);
        run Sidecar(3)
    }
}
