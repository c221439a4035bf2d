/* At most one run of a non-idempotent request.
 *
 * Three processes get the same request: two lives of one sidecar (1 and 2) and
 * another sidecar (3). Appends may land late, twice or never, and the service's
 * answer may be lost. A process may stop for a while or for good between any
 * two steps: every prefix of a run is checked. The fold is a function of the
 * log, so each record carries the state it leads to.
 *
 * Guards that can be removed: RUN_ON_ANSWER, RUN_AFTER_GIVE_UP,
 * FREE_ON_SUPERSEDE, ANYONE_ENDS, FREE_UNKNOWN.
 */

#define SLOTS 9
#define PROCESSES 4

mtype = { FREE, OPEN, RAN, UNKNOWN };

mtype state[SLOTS] = FREE;
byte holder[SLOTS];
byte claim[SLOTS];
byte registered[SLOTS];
byte tail = 1;

byte flight[PROCESSES];
byte landed[PROCESSES];
bool ran[PROCESSES];
bool told_not_run[PROCESSES];
byte runs;

#define same_endpoint(p, q) ((p <= 2) == (q <= 2))
#define room (tail < SLOTS)

inline next_record() {
    state[tail] = state[tail - 1];
    holder[tail] = holder[tail - 1];
    claim[tail] = claim[tail - 1];
    registered[tail] = registered[tail - 1]
}

/* ClaimTable.apply_claim and ClaimTable.find_rejection */
inline append_claim(p) {
    next_record();
    if
    :: state[tail] == FREE && holder[tail] != p && (p == 3 || registered[tail] == p) ->
        state[tail] = OPEN;
        holder[tail] = p;
        claim[tail] = tail
    :: else -> skip
    fi;
    if
    :: landed[p] == 0 -> landed[p] = tail
    :: else -> skip
    fi;
    tail++
}

/* ClaimTable.end */
inline append_outcome(p, claimed, outcome) {
    next_record();
    if
    :: state[tail] == OPEN && claim[tail] == claimed && holder[tail] == p ->
        state[tail] = outcome
    :: else -> skip
    fi;
    tail++
}

/* EndpointTable.apply_registration and ClaimTable.end_superseded_claims */
inline append_registration(p) {
    next_record();
    registered[tail] = p;
    if
    :: state[tail] == OPEN && holder[tail] != p && same_endpoint(holder[tail], p) ->
#ifdef FREE_ON_SUPERSEDE
        state[tail] = FREE
#else
        state[tail] = UNKNOWN
#endif
    :: else -> skip
    fi;
    tail++
}

inline run_request(p) {
    assert(runs == 0);
    assert(!told_not_run[p]);
    runs++;
    ran[p] = true
}

inline tell_not_run(p) {
    assert(!ran[p]);
    told_not_run[p] = true
}

/* The network between a sidecar and the log. */
active proctype Network() {
end:
    do
    :: d_step { flight[1] > 0 && room -> flight[1]--; append_claim(1) }
    :: d_step { flight[2] > 0 && room -> flight[2]--; append_claim(2) }
    :: d_step { flight[3] > 0 && room -> flight[3]--; append_claim(3) }
    od
}

/* ClaimController */
proctype Sidecar(byte p) {
    byte next = 1;
    bool given_up;
    bool sent;
    byte mine;
    if
    :: p == 2 ->
end_registration:
        d_step { room -> append_registration(p); next = tail }
    :: else -> skip
    fi;
end:
    do
#ifdef ANYONE_ENDS
    :: d_step { state[next - 1] == OPEN && holder[next - 1] != p && room ->
            next_record();
            state[tail] = FREE;
            tail++
        }
#endif
    /* Reading the log record by record. */
    :: d_step { next < tail ->
            next++;
            if
            :: sent && mine == 0 && claim[next - 1] == next - 1 && holder[next - 1] == p ->
                mine = next - 1
            :: else -> skip
            fi
        }
        if
        /* accepted: the own claim was read back as the first for its key. */
        :: mine == next - 1 && mine > 0 && (!given_up) -> break
#ifdef RUN_AFTER_GIVE_UP
        :: mine == next - 1 && mine > 0 && given_up -> break
#else
        /* withdraw_claim */
        :: d_step { mine == next - 1 && mine > 0 && given_up && room ->
                append_outcome(p, mine, FREE)
            }
#endif
        :: else -> skip
        fi
    /* request: the key is free as far as this process has read. */
    :: d_step { !sent && state[next - 1] == FREE -> sent = true; flight[p] = (p == 1 -> 2 : 1) }
#ifdef RUN_ON_ANSWER
    :: landed[p] > 0 && !given_up && sent -> mine = landed[p]; break
#endif
    /* give_up: refused as not run while the append may still land. */
    :: d_step { sent && mine == 0 && !given_up -> given_up = true; tell_not_run(p) }
    /* replay */
    :: d_step { !sent && state[next - 1] == RAN -> assert(runs == 1); given_up = true; sent = true }
    :: d_step { !sent && state[next - 1] == UNKNOWN -> sent = true; given_up = true }
    od;
    /* RunRequest, then finished, lost or not_started. */
end_run:
    if
    :: d_step { run_request(p) };
end_answer:
        if
        :: d_step { room -> append_outcome(p, mine, RAN) }
#ifdef FREE_UNKNOWN
        :: d_step { room -> append_outcome(p, mine, FREE) }
#else
        :: d_step { room -> append_outcome(p, mine, UNKNOWN) }
#endif
        fi
    :: d_step { tell_not_run(p) };
end_not_started:
        d_step { room -> append_outcome(p, mine, FREE) }
    fi
}

init {
    registered[0] = 1;
    atomic {
        run Sidecar(1);
        run Sidecar(2);
        run Sidecar(3)
    }
}
