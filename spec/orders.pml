/* Orders to one engine from a sidecar and from the same sidecar after a restart.
 *
 * Process 1 is the registered sidecar; process 2 is its successor, which
 * registers while process 1 may be paused and may resume later. A grant is valid
 * for GRANT_LIFETIME_TICKS. An order arrives within MAX_FLIGHT_TICKS. The engine
 * may take any time to carry out an order. The state that a process wants is its
 * own number.
 *
 * With CHECKS the engine refuses old fencing numbers; without it, the engine
 * ignores fencing numbers.
 *
 * Macros that each remove one guard:
 * NO_FENCING: accept old fencing numbers even with CHECKS.
 * NO_LAPSE: send an order after the grant has lapsed.
 * NO_WAIT: propose while the grant of another process may still be valid.
 * LAPSE_FROM_READ: count the lifetime of a grant from when it is read back.
 * SEND_BEFORE_READ: send an order before the grant is read back.
 * NO_RESTATE: propose the own state instead of that of an open older grant.
 * NO_QUIET: abandon a change while an older order may still run or arrive.
 * PAUSE_AT_SEND: allow a pause between the check of the grant and the send, which
 * is unsafe for an engine that ignores fencing numbers.
 */

#define LOG_CAPACITY 8
#define GRANT_LIFETIME_TICKS 2
#define MAX_FLIGHT_TICKS 1
#define LAST_TICK 6

byte now;

byte registered_process[LOG_CAPACITY];
byte grant_offset[LOG_CAPACITY];
byte grant_holder[LOG_CAPACITY];
bool grant_open[LOG_CAPACITY];
byte grant_wanted[LOG_CAPACITY];
byte tail = 1;

byte order_due[3];
byte order_fencing_number[3];
byte order_wanted[3];

byte engine_fencing_number;
byte engine_wanted;
bool engine_changing;

#define log_has_room (tail < LOG_CAPACITY)
#define is_delivered(process) (order_due[process] == 0)

/* OrderController.take_over: the older grant must have lapsed. */
#if defined(CHECKS) || defined(NO_WAIT)
#define may_propose(offset) true
#else
#define may_propose(offset) (!grant_open[offset] || \
        (older_grant == grant_offset[offset] && \
         now >= older_grant_seen_at + GRANT_LIFETIME_TICKS + MAX_FLIGHT_TICKS))
#endif

/* OrderController.has_no_order_in_flight: no older order is running or can arrive. */
#ifdef NO_QUIET
#define has_no_order_in_flight true
#else
#define has_no_order_in_flight (!engine_changing && (older_grant == 0 || \
        now >= older_grant_seen_at + GRANT_LIFETIME_TICKS + MAX_FLIGHT_TICKS))
#endif

/* OrderController.handle_drained and SendOrder.valid_until_s. */
#ifdef NO_LAPSE
#define is_grant_valid true
#else
#define is_grant_valid (now < proposed_at + GRANT_LIFETIME_TICKS)
#endif

inline copy_previous_state() {
    registered_process[tail] = registered_process[tail - 1];
    grant_offset[tail] = grant_offset[tail - 1];
    grant_holder[tail] = grant_holder[tail - 1];
    grant_open[tail] = grant_open[tail - 1];
    grant_wanted[tail] = grant_wanted[tail - 1]
}

/* EndpointTable.apply_grant and EndpointTable.find_rejection. */
inline append_grant(process, base_grant, wanted) {
    copy_previous_state();
    if
    :: registered_process[tail] == process && grant_offset[tail] == base_grant &&
            !(grant_open[tail] && grant_holder[tail] == process) ->
        grant_offset[tail] = tail;
        grant_holder[tail] = process;
        grant_open[tail] = true;
        grant_wanted[tail] = wanted
    :: else -> skip
    fi;
    tail++
}

/* EndpointTable.apply_outcome. */
inline append_outcome(ended_grant) {
    copy_previous_state();
    if
    :: grant_offset[tail] == ended_grant -> grant_open[tail] = false
    :: else -> skip
    fi;
    tail++
}

/* Advances the time, but not past the arrival time of an order in flight. */
active proctype Clock() {
end:
    do
    :: now < LAST_TICK && (is_delivered(1) || now < order_due[1]) &&
            (is_delivered(2) || now < order_due[2]) -> now++
    od
}

/* Handles an order that arrives at the engine. */
inline deliver_order(process) {
    if
#if defined(CHECKS) && !defined(NO_FENCING)
    :: order_fencing_number[process] < engine_fencing_number -> skip
    :: order_fencing_number[process] >= engine_fencing_number ->
#else
    :: true ->
#endif
        /* An order of an older grant has no effect after an order of a newer grant. */
        assert(order_fencing_number[process] >= engine_fencing_number);
        /* No order arrives while the engine carries out one with a different state. */
        assert(!engine_changing || engine_wanted == order_wanted[process]);
        engine_fencing_number = order_fencing_number[process];
        engine_wanted = order_wanted[process];
        engine_changing = true
    fi;
    order_due[process] = 0;
    order_fencing_number[process] = 0;
    order_wanted[process] = 0
}

active proctype Engine() {
end:
    do
    :: d_step { !is_delivered(1) -> deliver_order(1) }
    :: d_step { !is_delivered(2) -> deliver_order(2) }
    :: engine_changing -> engine_changing = false
    od
}

/* OrderController. */
proctype Sidecar(byte process; byte changes_left) {
    byte next_offset = 1;
    byte proposal;
    byte proposed_at;
    byte own_grant;
    byte wanted;
    byte older_grant;
    byte older_grant_seen_at;
    if
    :: process == 2 ->
end_registration:
        d_step { log_has_room ->
            copy_previous_state();
            registered_process[tail] = process;
            tail++;
            next_offset = tail
        }
    :: else -> skip
    fi;
end:
    do
    :: d_step { next_offset < tail && own_grant == 0 ->
            next_offset++;
            if
            :: proposal == next_offset - 1 && grant_offset[next_offset - 1] == proposal ->
                own_grant = proposal;
#ifdef LAPSE_FROM_READ
                proposed_at = now
#endif
            :: else -> skip
            fi
        }
    /* take_over: an open grant of another process is observed for the first time. */
    :: d_step { proposal == 0 && grant_open[next_offset - 1] &&
            grant_holder[next_offset - 1] != process &&
            older_grant != grant_offset[next_offset - 1] ->
            older_grant = grant_offset[next_offset - 1];
            older_grant_seen_at = now
        }
    /* propose: the lifetime of the grant starts before the append lands. */
    :: d_step { proposal == 0 && changes_left > 0 &&
            registered_process[next_offset - 1] == process && may_propose(next_offset - 1) ->
#ifdef NO_RESTATE
            wanted = process;
#else
            wanted = (grant_open[next_offset - 1] -> grant_wanted[next_offset - 1] : process);
#endif
            if
            :: grant_open[next_offset - 1] && grant_holder[next_offset - 1] != process &&
                    older_grant != grant_offset[next_offset - 1] ->
                older_grant = grant_offset[next_offset - 1];
                older_grant_seen_at = now
            :: else -> skip
            fi;
            proposed_at = now;
            changes_left--
        }
end_proposed:
        d_step { log_has_room ->
            proposal = tail;
            append_grant(process, grant_offset[next_offset - 1], wanted)
        }
#ifdef SEND_BEFORE_READ
        own_grant = proposal
#endif
    /* handle_grant_rejected. */
    :: d_step { proposal > 0 && own_grant == 0 && next_offset > proposal -> proposal = 0 }
    /* handle_drained and send_order: the grant is checked just before the send. */
    :: own_grant > 0 ->
end_granted:
        if
        :: d_step { is_delivered(process) && is_grant_valid ->
#ifndef PAUSE_AT_SEND
                order_due[process] = now + MAX_FLIGHT_TICKS;
                order_fencing_number[process] = own_grant;
                order_wanted[process] = wanted
#else
                skip
#endif
            }
#ifdef PAUSE_AT_SEND
end_paused:
            d_step {
                order_due[process] = now + MAX_FLIGHT_TICKS;
                order_fencing_number[process] = own_grant;
                order_wanted[process] = wanted
            }
#endif
            /* check_ordered_change: the engine has completed the change. */
end_ordered:
            if
            :: d_step { is_delivered(process) && engine_fencing_number >= own_grant &&
                    !engine_changing && log_has_room ->
                    append_outcome(own_grant);
                    own_grant = 0;
                    proposal = 0
                }
            fi
        /* advance: abandon a change whose order was not sent before the grant lapsed. */
        :: d_step { now >= proposed_at + GRANT_LIFETIME_TICKS && log_has_room &&
                has_no_order_in_flight ->
                append_outcome(own_grant);
                own_grant = 0;
                proposal = 0
            }
        fi
    od
}

init {
    registered_process[0] = 1;
    atomic {
        run Sidecar(1, 2);
        run Sidecar(2, 2)
    }
}
