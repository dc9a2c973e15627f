/* Orders to one engine: the row before the message, resolution, takeover.
 *
 * Sizes: 2 nodes, 1 engine, 2 fencing tokens, 2 orders, 2 messages on their way, 1 fault (a write
 * whose answer is lost or that comes late, a repeated or lost message) and 1 crash of the engine.
 * The time of a lease is abstracted by what lease.pml proves: a takeover finds no other node with
 * the right to give orders. A node pauses at any step and for any time.
 *
 * With CHECKS the engine refuses an old fencing token and messages live for ever. Without it the
 * successor waits until no message of an earlier holder can arrive (the longest life of an order).
 * A message to an engine dies with the engine's process, because its connection does.
 *
 * Safety: an order that begins is the unresolved one of the row, no other one is being carried
 * out, and none from a lower fence begins after one from a higher fence.
 *
 * Mutants: NO_FENCE, NO_QUIET, SECOND_ORDER, NO_ROW_CHECKS, CLOCK_LEFT_OUT, SEND_AS_READ,
 * LOST_IS_WRITTEN.
 * A write checks the lease's row and the order's row. Either alone is enough at these sizes, so
 * the mutant leaves out both.
 *
 * PAUSE_BETWEEN lets a node pause between its look at the clock and its write: the remaining
 * assumption for engines that ignore fences. It is harmless for those that check them, unless such
 * an engine restarts in that pause and forgets the fencing tokens it has seen (NO_CRASH).
 */
#define N 2
#define FENCES 2
#define ORDERS 2
#define SLOTS 2
#define FAULTS 1

mtype = { none, open, done, failed };
mtype = { idle, writing, ready, sending, asking, told };

typedef Message { bit live; bit from; byte fence; byte seq };
Message messages[SLOTS];

/* The table. */
byte leaseFence = 0;
byte rowSeq = 0;
byte rowFence = 0;
mtype rowState = none;
byte rowVersion = 0;

/* The nodes. */
bit valid[N];
byte mine[N];
bit known[N];
byte seq[N];
byte orderFence[N];
mtype state[N];
byte kept[N];
bit taken[N];
bit sure[N];       /* the row is as this node wrote it, and no write of it can follow */
bit quiet[N];
mtype step[N];
byte toldSeq[N];
mtype toldState[N];
byte newSeq[N];
byte newFence[N];
mtype newState[N];
bit inTable[N];
byte writeFence[N];
byte writeVersion[N];

/* The engine. */
byte engineFence = 0;
byte engineSeq = 0;
mtype engineState = none;
byte highest = 0;
bit crashed = 0;
byte faults = 0;

#define other(n) (1 - n)
#define live(i) messages[i].live
#define nothing_on_its_way (!live(0) && !live(1))
#define room (!live(0) || !live(1))

#ifdef CHECKS
#define unquiet(n) quiet[n] = 1
#define may_begin(n) 1
#define may_resolve(n) 1
#else
#define unquiet(n) quiet[n] = 0
#ifdef NO_QUIET
#define may_begin(n) 1
#define may_resolve(n) 1
#else
#define may_begin(n) nothing_on_its_way
#define may_resolve(n) quiet[n]
#endif
#endif

#ifdef SECOND_ORDER
#define resolved(n) 1
#else
#define resolved(n) (state[n] != open)
#endif

#ifdef SEND_AS_READ
#define confirmed(n) (orderFence[n] == mine[n])
#else
#define confirmed(n) sure[n]
#endif

#ifdef NO_CRASH
#define may_crash 0
#else
#define may_crash 1
#endif

#ifdef CLOCK_LEFT_OUT
#define clock(n) 1
#else
#define clock(n) valid[n]
#endif

inline write(n, what, s, f) {
  newSeq[n] = s; newFence[n] = f; newState[n] = what;
  writeFence[n] = mine[n]; writeVersion[n] = kept[n];
  inTable[n] = 1; step[n] = writing
}

inline clear(i) {
  messages[i].live = 0; messages[i].from = 0; messages[i].fence = 0; messages[i].seq = 0
}

inline put(i, n) {
  messages[i].live = 1; messages[i].from = n;
  messages[i].fence = orderFence[n]; messages[i].seq = seq[n]
}

inline put_any(n) {
  if
  :: !live(0) -> put(0, n)
  :: live(0) && !live(1) -> put(1, n)
  fi
}

/* Variables without a meaning are cleared, which keeps the state space small. */
inline forget(n) {
  known[n] = 0; sure[n] = 0; seq[n] = 0; orderFence[n] = 0; state[n] = none; kept[n] = 0
}

inline take_over_row(n) {
  known[n] = 1; sure[n] = 1; seq[n] = newSeq[n]; orderFence[n] = newFence[n]; state[n] = newState[n]
}

proctype Node(bit n) {
  do
  :: atomic { /* the lease ends, by this node's clock */
       valid[n] -> valid[n] = 0 }
  :: atomic { /* a renewal while nobody took the lease over */
       !valid[n] && mine[n] > 0 && mine[n] == leaseFence -> valid[n] = 1 }
  :: atomic { /* takeover */
       leaseFence > 0 && leaseFence < FENCES && mine[n] != leaseFence && !valid[other(n)] ->
       leaseFence++; mine[n] = leaseFence; valid[n] = 1;
       forget(n); taken[n] = 0; step[n] = idle; toldSeq[n] = 0; toldState[n] = none; unquiet(n) }
  :: atomic { /* the first takeover */
       leaseFence == 0 -> leaseFence = 1; mine[n] = 1; valid[n] = 1; unquiet(n) }
  :: atomic { /* the longest life of an order has passed since the takeover */
       mine[n] > 0 && !quiet[n] && nothing_on_its_way -> quiet[n] = 1 }
  :: atomic { /* read the row */
       step[n] == idle && mine[n] > 0 && !known[n] ->
       known[n] = 1; seq[n] = rowSeq; orderFence[n] = rowFence;
       state[n] = rowState; kept[n] = rowVersion; sure[n] = 0 }
  :: atomic { /* a new order */
       step[n] == idle && known[n] && valid[n] && !inTable[n] && seq[n] < ORDERS && may_begin(n) &&
       may_resolve(n) && resolved(n) -> write(n, open, seq[n] + 1, mine[n]); taken[n] = 0 }
  :: atomic { /* ask the target for the open order */
       step[n] == idle && known[n] && valid[n] && state[n] == open && may_resolve(n) ->
       step[n] = told; toldSeq[n] = engineSeq; toldState[n] = engineState }
  :: atomic { /* its word, which may be old by now */
       step[n] == told && !inTable[n] ->
       step[n] = idle;
       if
       :: toldSeq[n] == seq[n] && toldState[n] == done -> write(n, done, seq[n], orderFence[n])
       :: toldSeq[n] == seq[n] && toldState[n] != done -> taken[n] = 1
       :: toldSeq[n] > seq[n] -> write(n, failed, seq[n], orderFence[n])
       :: toldSeq[n] < seq[n] && taken[n] -> write(n, failed, seq[n], orderFence[n])
       :: toldSeq[n] < seq[n] && !taken[n] && !confirmed(n) ->
          write(n, open, seq[n], mine[n])
       :: toldSeq[n] < seq[n] && !taken[n] && confirmed(n) -> step[n] = ready
       fi;
       toldSeq[n] = 0; toldState[n] = none }
  :: atomic { /* the write's answer is lost: only the row tells */
       step[n] == writing && faults < FAULTS -> faults++;
       step[n] = idle;
#ifdef LOST_IS_WRITTEN
       take_over_row(n);
       if
       :: newState[n] == open -> step[n] = ready
       :: else -> skip
       fi
#else
       forget(n)
#endif
       }
#ifdef PAUSE_BETWEEN
  :: atomic { step[n] == ready && clock(n) -> step[n] = sending }
  :: atomic { step[n] == sending && room -> put_any(n); step[n] = idle }
#else
  :: atomic { /* the clock is read directly before the write */
       step[n] == ready && clock(n) && room -> put_any(n); step[n] = idle }
#endif
  :: atomic { step[n] == ready && !clock(n) -> step[n] = idle }
  od
}

inline run_write(n) {
  inTable[n] = 0;
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
     take_over_row(n); kept[n] = rowVersion;
     step[n] = (newState[n] == open -> ready : idle)
  :: step[n] == writing && !ok -> forget(n); step[n] = idle
  :: else -> skip
  fi;
  newSeq[n] = 0; newFence[n] = 0; newState[n] = none; writeFence[n] = 0; writeVersion[n] = 0
}

active proctype Table() {
  bit ok;
  do
  :: atomic { inTable[0] -> run_write(0) }
  :: atomic { inTable[1] -> run_write(1) }
  od
}

inline receive(i) {
  f = messages[i].fence; s = messages[i].seq;
  if
  :: faults < FAULTS -> faults++ /* a copy stays on its way */
  :: clear(i)
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
     assert(f >= highest);
     assert(s == rowSeq && rowState == open);
     highest = f; engineSeq = s; engineState = open
  fi
}

active proctype Engine() {
  byte f, s;
  bit same, old;
  do
  :: atomic { live(0) -> receive(0) }
  :: atomic { live(1) -> receive(1) }
  :: atomic { engineState == open -> engineState = done }
  :: atomic { /* lost on its way, or later than its life */
       faults < FAULTS && live(0) -> faults++; clear(0) }
  :: atomic { may_crash && !crashed -> crashed = 1;
       engineFence = 0; engineSeq = 0; engineState = none;
       clear(0); clear(1) }
  od
}

init {
  atomic {
    state[0] = none; state[1] = none; step[0] = idle; step[1] = idle;
    run Node(0); run Node(1)
  }
}
