/* Orders to one engine: writing the row before sending the message, resolution, takeover.
 *
 * Bounds: 2 nodes, 1 engine, 2 fencing tokens, 2 orders, 2 messages in flight, 1 fault (a write that
 * is delayed or whose response is lost, a duplicated or lost message) and 1 engine crash. Lease
 * time is abstracted by the property proved in lease.pml: at a takeover no other node may give
 * orders. Nodes may pause at any step for any time.
 *
 * With CHECKS the engine rejects old fencing tokens and messages never expire. Without it the
 * successor waits until no message of an earlier holder can arrive (the maximum lifetime of an
 * order). A message to an engine is lost when the engine's process ends, because its connection
 * closes.
 *
 * Safety: an order that starts is the unresolved one of the row, no other order is running, and no
 * order with a lower fence starts after one with a higher fence.
 *
 * Mutants: NO_FENCE (the engine accepts any fence), NO_QUIET (the successor does not wait),
 * SECOND_ORDER (a new order while one is unresolved), NO_ROW_CHECKS (a write checks no versions),
 * CLOCK_LEFT_OUT (a message is sent without checking the lease), SEND_AS_READ (an order read with
 * the node's own fence is sent without writing the row again), LOST_IS_WRITTEN (a write whose
 * response was lost counts as applied).
 * A write checks the lease's row and the order's row. Either check alone is enough at these sizes,
 * so NO_ROW_CHECKS leaves out both.
 *
 * PAUSE_BETWEEN lets a node pause between reading the clock and sending the message. That this does
 * not happen is the remaining assumption for engines that ignore fences. Engines that check fences
 * tolerate it, unless one restarts during the pause and forgets the fencing tokens it has seen
 * (NO_CRASH rules that out).
 */
#define N 2
#define FENCES 2
#define ORDERS 2
#define SLOTS 2
#define FAULTS 1

mtype = { none, open, done, failed };
mtype = { idle, writing, ready, sending, asking, queried };

typedef Message { bit in_flight; bit from; byte fence; byte seq };
Message messages[SLOTS];

/* The table. */
byte leaseFence = 0;
byte rowSeq = 0;
byte rowFence = 0;
mtype rowState = none;
byte rowVersion = 0;

/* Node state. */
bit leaseValid[N];
byte nodeFence[N];
bit rowKnown[N];
byte orderSeq[N];
byte orderFence[N];
mtype orderState[N];
byte readVersion[N];
bit acceptedByEngine[N];
bit rowConfirmed[N]; /* the row is as this node wrote it, and none of its writes is in flight */
bit quiet[N];
mtype step[N];
byte reportedSeq[N];
mtype reportedState[N];
byte newSeq[N];
byte newFence[N];
mtype newState[N];
bit writePending[N];
byte writeFence[N];
byte writeVersion[N];

/* The engine. */
byte engineFence = 0;
byte engineSeq = 0;
mtype engineState = none;
byte highestFence = 0;
bit crashed = 0;
byte faults = 0;

#define other(n) (1 - n)
#define in_flight(i) messages[i].in_flight
#define none_in_flight (!in_flight(0) && !in_flight(1))
#define has_free_slot (!in_flight(0) || !in_flight(1))

#ifdef CHECKS
#define reset_quiet(n) quiet[n] = 1
#define may_begin(n) 1
#define may_resolve(n) 1
#else
#define reset_quiet(n) quiet[n] = 0
#ifdef NO_QUIET
#define may_begin(n) 1
#define may_resolve(n) 1
#else
#define may_begin(n) none_in_flight
#define may_resolve(n) quiet[n]
#endif
#endif

#ifdef SECOND_ORDER
#define resolved(n) 1
#else
#define resolved(n) (orderState[n] != open)
#endif

#ifdef SEND_AS_READ
#define confirmed(n) (orderFence[n] == nodeFence[n])
#else
#define confirmed(n) rowConfirmed[n]
#endif

#ifdef NO_CRASH
#define may_crash 0
#else
#define may_crash 1
#endif

#ifdef CLOCK_LEFT_OUT
#define lease_valid(n) 1
#else
#define lease_valid(n) leaseValid[n]
#endif

inline start_write(n, targetState, s, f) {
  newSeq[n] = s; newFence[n] = f; newState[n] = targetState;
  writeFence[n] = nodeFence[n]; writeVersion[n] = readVersion[n];
  writePending[n] = 1; step[n] = writing
}

inline clear_message(i) {
  messages[i].in_flight = 0; messages[i].from = 0; messages[i].fence = 0; messages[i].seq = 0
}

inline put_message(i, n) {
  messages[i].in_flight = 1; messages[i].from = n;
  messages[i].fence = orderFence[n]; messages[i].seq = orderSeq[n]
}

inline send_message(n) {
  if
  :: !in_flight(0) -> put_message(0, n)
  :: in_flight(0) && !in_flight(1) -> put_message(1, n)
  fi
}

/* Resets variables that are not in use, which keeps the state space small. */
inline clear_row(n) {
  rowKnown[n] = 0; rowConfirmed[n] = 0; orderSeq[n] = 0; orderFence[n] = 0; orderState[n] = none; readVersion[n] = 0
}

inline adopt_row(n) {
  rowKnown[n] = 1; rowConfirmed[n] = 1; orderSeq[n] = newSeq[n]; orderFence[n] = newFence[n]; orderState[n] = newState[n]
}

proctype Node(bit n) {
  do
  :: atomic { /* the lease expires by this node's clock */
       leaseValid[n] -> leaseValid[n] = 0 }
  :: atomic { /* a renewal while no other node has taken the lease over */
       !leaseValid[n] && nodeFence[n] > 0 && nodeFence[n] == leaseFence -> leaseValid[n] = 1 }
  :: atomic { /* takeover */
       leaseFence > 0 && leaseFence < FENCES && nodeFence[n] != leaseFence && !leaseValid[other(n)] ->
       leaseFence++; nodeFence[n] = leaseFence; leaseValid[n] = 1;
       clear_row(n); acceptedByEngine[n] = 0; step[n] = idle; reportedSeq[n] = 0; reportedState[n] = none; reset_quiet(n) }
  :: atomic { /* the first takeover */
       leaseFence == 0 -> leaseFence = 1; nodeFence[n] = 1; leaseValid[n] = 1; reset_quiet(n) }
  :: atomic { /* the maximum lifetime of an order has passed since the takeover */
       nodeFence[n] > 0 && !quiet[n] && none_in_flight -> quiet[n] = 1 }
  :: atomic { /* read the row */
       step[n] == idle && nodeFence[n] > 0 && !rowKnown[n] ->
       rowKnown[n] = 1; orderSeq[n] = rowSeq; orderFence[n] = rowFence;
       orderState[n] = rowState; readVersion[n] = rowVersion; rowConfirmed[n] = 0 }
  :: atomic { /* a new order */
       step[n] == idle && rowKnown[n] && leaseValid[n] && !writePending[n] && orderSeq[n] < ORDERS && may_begin(n) &&
       may_resolve(n) && resolved(n) -> start_write(n, open, orderSeq[n] + 1, nodeFence[n]); acceptedByEngine[n] = 0 }
  :: atomic { /* query the engine for the open order */
       step[n] == idle && rowKnown[n] && leaseValid[n] && orderState[n] == open && may_resolve(n) ->
       step[n] = queried; reportedSeq[n] = engineSeq; reportedState[n] = engineState }
  :: atomic { /* its report, which may be outdated by now */
       step[n] == queried && !writePending[n] ->
       step[n] = idle;
       if
       :: reportedSeq[n] == orderSeq[n] && reportedState[n] == done -> start_write(n, done, orderSeq[n], orderFence[n])
       :: reportedSeq[n] == orderSeq[n] && reportedState[n] != done -> acceptedByEngine[n] = 1
       :: reportedSeq[n] > orderSeq[n] -> start_write(n, failed, orderSeq[n], orderFence[n])
       :: reportedSeq[n] < orderSeq[n] && acceptedByEngine[n] -> start_write(n, failed, orderSeq[n], orderFence[n])
       :: reportedSeq[n] < orderSeq[n] && !acceptedByEngine[n] && !confirmed(n) ->
          start_write(n, open, orderSeq[n], nodeFence[n])
       :: reportedSeq[n] < orderSeq[n] && !acceptedByEngine[n] && confirmed(n) -> step[n] = ready
       fi;
       reportedSeq[n] = 0; reportedState[n] = none }
  :: atomic { /* the write's response is lost: the row must be read again */
       step[n] == writing && faults < FAULTS -> faults++;
       step[n] = idle;
#ifdef LOST_IS_WRITTEN
       adopt_row(n);
       if
       :: newState[n] == open -> step[n] = ready
       :: else -> skip
       fi
#else
       clear_row(n)
#endif
       }
#ifdef PAUSE_BETWEEN
  :: atomic { step[n] == ready && lease_valid(n) -> step[n] = sending }
  :: atomic { step[n] == sending && has_free_slot -> send_message(n); step[n] = idle }
#else
  :: atomic { /* the clock is read directly before the message is sent */
       step[n] == ready && lease_valid(n) && has_free_slot -> send_message(n); step[n] = idle }
#endif
  :: atomic { step[n] == ready && !lease_valid(n) -> step[n] = idle }
  od
}

inline apply_write(n) {
  writePending[n] = 0;
#ifdef NO_ROW_CHECKS
  ok = 1;
#else
  ok = writeFence[n] == leaseFence && writeVersion[n] == rowVersion;
#endif
  if
  :: ok ->
     rowSeq = newSeq[n]; rowFence = newFence[n]; rowState = newState[n];
     rowVersion++
  :: else -> skip
  fi;
  if
  :: step[n] == writing && ok ->
     adopt_row(n); readVersion[n] = rowVersion;
     step[n] = (newState[n] == open -> ready : idle)
  :: step[n] == writing && !ok -> clear_row(n); step[n] = idle
  :: else -> skip
  fi;
  newSeq[n] = 0; newFence[n] = 0; newState[n] = none; writeFence[n] = 0; writeVersion[n] = 0
}

active proctype Table() {
  bit ok;
  do
  :: atomic { writePending[0] -> apply_write(0) }
  :: atomic { writePending[1] -> apply_write(1) }
  od
}

inline receive(i) {
  f = messages[i].fence; s = messages[i].seq;
  if
  :: faults < FAULTS -> faults++ /* a duplicate stays in flight */
  :: clear_message(i)
  fi;
  same = s == engineSeq;
#ifdef CHECKS
#ifdef NO_FENCE
  old = 0;
#else
  old = f < engineFence || s < engineSeq;
#endif
  if
  :: !old -> engineFence = f
  :: else -> skip
  fi;
#else
  old = 0;
#endif
  if
  :: same || old -> skip
  :: else ->
     assert(engineState != open);
     assert(f >= highestFence);
     assert(s == rowSeq && rowState == open);
     highestFence = f; engineSeq = s; engineState = open
  fi
}

active proctype Engine() {
  byte f, s;
  bit same, old;
  do
  :: atomic { in_flight(0) -> receive(0) }
  :: atomic { in_flight(1) -> receive(1) }
  :: atomic { engineState == open -> engineState = done }
  :: atomic { /* lost in flight or expired */
       faults < FAULTS && in_flight(0) -> faults++; clear_message(0) }
  :: atomic { may_crash && !crashed -> crashed = 1;
       engineFence = 0; engineSeq = 0; engineState = none;
       clear_message(0); clear_message(1) }
  od
}

init {
  atomic {
    orderState[0] = none; orderState[1] = none; step[0] = idle; step[1] = idle;
    run Node(0); run Node(1)
  }
}
