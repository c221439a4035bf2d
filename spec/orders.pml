/* Orders to one engine from two lives of its sidecar.
 *
 * Life 1 holds the endpoint; life 2 registers while life 1 may be paused and
 * later wake. A grant is valid for LIFETIME ticks. An order travels up to
 * FLIGHT ticks. The engine needs any time to carry one out.
 *
 * With CHECKS the engine refuses old fencing numbers, without it ignores them.
 * Guards that can be removed: NO_FENCING, NO_LAPSE, NO_WAIT, LAPSE_FROM_READ,
 * SEND_BEFORE_READ, NO_RESTATE, NO_QUIET. PAUSE_AT_SEND puts a pause between the check
 * and the send, which an engine that ignores fencing numbers can't bear.
 */

#define SLOTS 8
#define LIFETIME 2
#define FLIGHT 1
#define TICKS 6

byte now;

byte registered[SLOTS];
byte grant[SLOTS];
byte holder[SLOTS];
bool open[SLOTS];
byte wish[SLOTS];
byte tail = 1;

byte flight_due[3];
byte flight_number[3];
byte flight_wanted[3];

byte engine_number;
byte engine_wanted;
bool engine_busy;

#define room (tail < SLOTS)
#define arrived(p) (flight_due[p] == 0)

/* OrderController.take_over: the older grant must have lapsed. */
#if defined(CHECKS) || defined(NO_WAIT)
#define may_propose(n) true
#else
#define may_propose(n) (!open[n] || (older == grant[n] && now >= older_at + LIFETIME + FLIGHT))
#endif

/* OrderController.has_no_order_in_flight: nothing of an older grant is or can get under way. */
#ifdef NO_QUIET
#define is_quiet true
#else
#define is_quiet (!engine_busy && (older == 0 || now >= older_at + LIFETIME + FLIGHT))
#endif

/* OrderController.handle_drained and SendOrder.valid_until_s */
#ifdef NO_LAPSE
#define is_valid true
#else
#define is_valid (now < proposed_at + LIFETIME)
#endif

inline next_record() {
    registered[tail] = registered[tail - 1];
    grant[tail] = grant[tail - 1];
    holder[tail] = holder[tail - 1];
    open[tail] = open[tail - 1];
    wish[tail] = wish[tail - 1]
}

/* EndpointTable.grant and EndpointTable.rejection */
inline append_grant(p, based_on, wanted) {
    next_record();
    if
    :: registered[tail] == p && grant[tail] == based_on && !(open[tail] && holder[tail] == p) ->
        grant[tail] = tail;
        holder[tail] = p;
        open[tail] = true;
        wish[tail] = wanted
    :: else -> skip
    fi;
    tail++
}

/* EndpointTable.end */
inline append_outcome(ended) {
    next_record();
    if
    :: grant[tail] == ended -> open[tail] = false
    :: else -> skip
    fi;
    tail++
}

/* Time passes, but no order stays under way for longer than FLIGHT. */
active proctype Clock() {
end:
    do
    :: now < TICKS && (arrived(1) || now < flight_due[1]) && (arrived(2) || now < flight_due[2]) -> now++
    od
}

/* What the engine does with an order that arrives. */
inline deliver(p) {
    if
#if defined(CHECKS) && !defined(NO_FENCING)
    :: flight_number[p] < engine_number -> skip
    :: flight_number[p] >= engine_number ->
#else
    :: true ->
#endif
        /* No order of an older grant has an effect after a newer one. */
        assert(flight_number[p] >= engine_number);
        /* No two orders that conflict are under way at once. */
        assert(!engine_busy || engine_wanted == flight_wanted[p]);
        engine_number = flight_number[p];
        engine_wanted = flight_wanted[p];
        engine_busy = true
    fi;
    flight_due[p] = 0;
    flight_number[p] = 0;
    flight_wanted[p] = 0
}

active proctype Engine() {
end:
    do
    :: d_step { !arrived(1) -> deliver(1) }
    :: d_step { !arrived(2) -> deliver(2) }
    :: engine_busy -> engine_busy = false
    od
}

/* OrderController */
proctype Sidecar(byte p; byte changes) {
    byte next = 1;
    byte proposed;
    byte proposed_at;
    byte mine;
    byte wanted;
    byte older;
    byte older_at;
    if
    :: p == 2 ->
end_registration:
        d_step { room -> next_record(); registered[tail] = p; tail++; next = tail }
    :: else -> skip
    fi;
end:
    do
    :: d_step { next < tail && mine == 0 ->
            next++;
            if
            :: proposed == next - 1 && grant[next - 1] == proposed ->
                mine = proposed;
#ifdef LAPSE_FROM_READ
                proposed_at = now
#endif
            :: else -> skip
            fi
        }
    /* start_due_change and take_over: first sight of an open grant of an earlier life. */
    :: d_step { proposed == 0 && open[next - 1] && holder[next - 1] != p && older != grant[next - 1] ->
            older = grant[next - 1];
            older_at = now
        }
    /* propose: the lifetime counts from here, the append lands later. */
    :: d_step { proposed == 0 && changes > 0 && registered[next - 1] == p && may_propose(next - 1) ->
#ifdef NO_RESTATE
            wanted = p;
#else
            wanted = (open[next - 1] -> wish[next - 1] : p);
#endif
            if
            :: open[next - 1] && holder[next - 1] != p && older != grant[next - 1] ->
                older = grant[next - 1];
                older_at = now
            :: else -> skip
            fi;
            proposed_at = now;
            changes--
        }
end_proposed:
        d_step { room -> proposed = tail; append_grant(p, grant[next - 1], wanted) }
#ifdef SEND_BEFORE_READ
        mine = proposed
#endif
    /* rejected */
    :: d_step { proposed > 0 && mine == 0 && next > proposed -> proposed = 0 }
    /* handle_drained and send_order: checked just before the order leaves. */
    :: mine > 0 ->
end_granted:
        if
        :: d_step { arrived(p) && is_valid ->
#ifndef PAUSE_AT_SEND
                flight_due[p] = now + FLIGHT;
                flight_number[p] = mine;
                flight_wanted[p] = wanted
#else
                skip
#endif
            }
#ifdef PAUSE_AT_SEND
end_paused:
            d_step {
                flight_due[p] = now + FLIGHT;
                flight_number[p] = mine;
                flight_wanted[p] = wanted
            }
#endif
            /* watch_engine: done. */
end_ordered:
            if
            :: d_step { arrived(p) && engine_number >= mine && !engine_busy && room ->
                    append_outcome(mine);
                    mine = 0;
                    proposed = 0
                }
            fi
        /* abandon: the order was never sent and never will be. */
        :: d_step { now >= proposed_at + LIFETIME && room && is_quiet ->
                append_outcome(mine);
                mine = 0;
                proposed = 0
            }
        fi
    od
}

init {
    registered[0] = 1;
    atomic {
        run Sidecar(1, 2);
        run Sidecar(2, 2)
    }
}
