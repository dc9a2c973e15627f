/* The lease of one group: renewal, takeover and expiry of the holder's permission to give orders.
 *
 * Bounds: 2 nodes, leases of 3 ticks, clock drift of 1 tick, 1 renewal, 2 takeovers, 1 call that is
 * lost, duplicated or delayed, or whose response is lost, and 1 crash. Pauses have any length: a
 * node takes a step whenever it is scheduled, while time goes on. Calls reach the table after any
 * delay and in any order. Reads are not modelled as calls: a node acts on the rows it remembers,
 * which may be of any age.
 *
 * Safety: no two nodes may give orders at the same time.
 * Liveness: a group whose holder died gets a holder again.
 *
 * Mutants for safety; spec/check runs all but LOST_IS_HELD without losses, because they need none:
 * FROM_ANSWER (a lease's time counts from the response instead of the call), NO_WAIT (takes over
 * without a wait), NO_DRIFT (the wait leaves clock drift out), NO_HEARTBEAT_CHECK (a takeover does
 * not check the heartbeat row's version), LOST_IS_HELD (a takeover without a response counts as
 * applied). For liveness: RESTARTS (every read of the rows restarts the wait).
 */
#define N 2
#ifndef TTL
#define TTL 3
#endif
#define DRIFT 1
#ifndef MAX_RENEWALS
#define MAX_RENEWALS 1
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#define MAX_TAKEOVERS 2
#define SLOTS 2
#define NOBODY 255

#ifdef NO_DRIFT
#define TAKEOVER_WAIT TTL
#else
#define TAKEOVER_WAIT (TTL + DRIFT)
#endif

mtype = { renew, take };

typedef Call { bit inFlight; bit node; mtype kind; byte id; byte lease; byte heartbeat; byte number };
Call calls[SLOTS];

/* The table: versions of the lease row and the heartbeat row, and the lease holder. */
byte version = 0;
byte leaseVersion = 0;
byte heartbeatVersion = 0;
byte leaseHolder = NOBODY;

/* Node state. An identity is a VM and its boot. */
byte identity[N];
bit holds[N];
byte fence[N];
byte ticksLeft[N];    /* ticks for which the node may still give orders */
byte pendingTicks[N];  /* the same if the pending call succeeds */
byte waitTicks[N];    /* ticks until a takeover is allowed */
byte seenHeartbeat[N];
byte seenLease[N];
bit rowsRead[N];
bit pending[N];
mtype pendingKind[N];
byte number[N];
bit hasResponse[N];
bit applied[N];
byte responseVersion[N];
byte skew[N];

byte losses = 0;
byte renewals = 0;
byte takeovers = 0;
bit crashed = 0;
bit dead = 0;

#ifdef RESTARTS
#define restarts_wait(n) 1
#else
#define restarts_wait(n) (seenHeartbeat[n] != heartbeatVersion)
#endif

#ifdef NO_WAIT
#define may_take(n) 1
#else
#define may_take(n) (waitTicks[n] == 0 || seenLease[n] == 0)
#endif

#define may_order(n) (holds[n] && ticksLeft[n] > 0)

inline set_ticks_left(n, remaining) {
  ticksLeft[n] = remaining;
  assert(!(may_order(0) && may_order(1)))
}

inline start_call(n, callKind, expectedLease, expectedHeartbeat) {
  if
  :: !calls[0].inFlight -> put_call(0, n, callKind, expectedLease, expectedHeartbeat)
  :: calls[0].inFlight && !calls[1].inFlight -> put_call(1, n, callKind, expectedLease, expectedHeartbeat)
  fi;
  pending[n] = 1;
  hasResponse[n] = 0;
  pendingKind[n] = callKind;
  pendingTicks[n] = TTL
}

inline put_call(i, n, callKind, expectedLease, expectedHeartbeat) {
  calls[i].inFlight = 1;
  calls[i].node = n;
  calls[i].kind = callKind;
  calls[i].id = identity[n];
  calls[i].lease = expectedLease;
  calls[i].heartbeat = expectedHeartbeat;
  calls[i].number = number[n]
}

#define has_free_slot (!calls[0].inFlight || !calls[1].inFlight)

/* Resets variables that are not in use, which keeps the state space small. */
inline clear_pending(n) {
  pendingKind[n] = renew; responseVersion[n] = 0; applied[n] = 0; pendingTicks[n] = 0
}

inline time_out(n) {
  /* The outcome is unknown until the rows are read back. */
  pending[n] = 0;
  hasResponse[n] = 0;
  number[n] = (number[n] + 1) % 4;
  if
  :: pendingKind[n] == take ->
#ifdef LOST_IS_HELD
     holds[n] = 1; fence[n] = seenLease[n]; set_ticks_left(n, pendingTicks[n])
#else
     rowsRead[n] = 0
#endif
  :: else -> skip
  fi;
  clear_pending(n)
}

proctype Node(bit n) {
  do
  :: atomic { /* read the rows */
       !holds[n] && !pending[n] && (!rowsRead[n] || restarts_wait(n)) ->
       if
       :: leaseHolder == identity[n] -> holds[n] = 1; fence[n] = leaseVersion; ticksLeft[n] = 0; waitTicks[n] = 0
       :: else ->
          if
          :: restarts_wait(n) -> waitTicks[n] = TAKEOVER_WAIT
          :: else -> skip
          fi
       fi;
       rowsRead[n] = 1; seenHeartbeat[n] = heartbeatVersion; seenLease[n] = leaseVersion }
  :: atomic { /* take over a lease that has no holder or whose holder's time has passed */
       !holds[n] && !pending[n] && rowsRead[n] && has_free_slot && takeovers < MAX_TAKEOVERS && may_take(n) ->
       start_call(n, take, seenLease[n], seenHeartbeat[n]) }
  :: atomic { /* renew */
       holds[n] && !pending[n] && has_free_slot && renewals < MAX_RENEWALS -> renewals++;
       start_call(n, renew, fence[n], 0) }
  :: atomic { /* a renewal beyond the bound, rejected because another node holds the lease */
       holds[n] && !pending[n] && renewals == MAX_RENEWALS && fence[n] != leaseVersion ->
       holds[n] = 0; ticksLeft[n] = 0; rowsRead[n] = 0; fence[n] = 0 }
  :: atomic { /* the response arrives */
       pending[n] && hasResponse[n] ->
       pending[n] = 0; hasResponse[n] = 0; number[n] = (number[n] + 1) % 4;
       if
       :: applied[n] && pendingKind[n] == take -> holds[n] = 1; fence[n] = responseVersion[n]; waitTicks[n] = 0
       :: !applied[n] -> holds[n] = 0; ticksLeft[n] = 0; rowsRead[n] = 0; fence[n] = 0
       :: else -> skip
       fi;
       if
       :: applied[n] ->
#ifdef FROM_ANSWER
          set_ticks_left(n, TTL)
#else
          set_ticks_left(n, pendingTicks[n])
#endif
       :: else -> skip
       fi;
       clear_pending(n) }
  :: atomic { /* no response within the timeout */
       pending[n] && !hasResponse[n] && losses < LOSSES -> losses++;
       time_out(n) }
  :: atomic { /* crash, then a new boot with empty memory; node 0 may stay down (dead) */
       !crashed -> crashed = 1;
       holds[n] = 0; ticksLeft[n] = 0; rowsRead[n] = 0; seenHeartbeat[n] = NOBODY;
       pending[n] = 0; hasResponse[n] = 0; number[n] = (number[n] + 1) % 4;
       clear_pending(n); fence[n] = 0; waitTicks[n] = 0; seenLease[n] = 0;
       identity[n] = n + N;
       if
       :: n == 0 -> dead = 1; break
       :: skip
       fi }
  od
}

inline clear(i) {
  calls[i].inFlight = 0; calls[i].node = 0; calls[i].kind = renew; calls[i].id = 0;
  calls[i].lease = 0; calls[i].heartbeat = 0; calls[i].number = 0
}

inline apply_call(i) {
  node = calls[i].node;
  ok = calls[i].lease == leaseVersion;
#ifndef NO_HEARTBEAT_CHECK
  ok = ok && (calls[i].kind == renew || calls[i].heartbeat == heartbeatVersion);
#endif
  if
  :: ok ->
     version++;
     heartbeatVersion = version;
     if
     :: calls[i].kind == take -> takeovers++; leaseVersion = version; leaseHolder = calls[i].id
     :: else -> skip
     fi
  :: else -> skip
  fi;
  if
  :: pending[node] && calls[i].number == number[node] && !hasResponse[node] ->
     hasResponse[node] = 1; applied[node] = ok; responseVersion[node] = version
  :: else -> skip
  fi;
  if
  :: losses < LOSSES -> losses++ /* the network duplicates the call */
  :: clear(i)
  fi;
  node = 0; ok = 0
}

active proctype Table() {
  bit node, ok;
  do
  :: atomic { calls[0].inFlight -> apply_call(0) }
  :: atomic { calls[1].inFlight -> apply_call(1) }
  od
}

#define decrement(x) x = (x > 0 -> x - 1 : 0)

inline tick(n) {
  decrement(ticksLeft[n]);
  decrement(pendingTicks[n]);
  decrement(waitTicks[n])
}

/* Time; the clocks may lag behind each other by DRIFT ticks in all. */
active proctype Clock() {
  do
  :: atomic { ticksLeft[0] + ticksLeft[1] + waitTicks[0] + waitTicks[1] + pendingTicks[0] + pendingTicks[1] > 0 ->
       if
       :: tick(0); tick(1)
       :: skew[0] + skew[1] < DRIFT -> skew[0]++; tick(1)
       :: skew[0] + skew[1] < DRIFT -> skew[1]++; tick(0)
       fi }
  od
}

init {
  atomic {
    identity[0] = 0; identity[1] = 1;
    clear(0); clear(1); pendingKind[0] = renew; pendingKind[1] = renew;
    seenHeartbeat[0] = NOBODY; seenHeartbeat[1] = NOBODY;
    run Node(0); run Node(1)
  }
}

/* If the holder dies while another takeover is within the bound, node 1 becomes the holder, unless a
 * takeover that the dead node had sent exhausts the bound. */
#define heldByNode1 (holds[1] && leaseHolder == identity[1])
#define orphaned (dead && takeovers < MAX_TAKEOVERS)
#define takeoversExhausted (takeovers == MAX_TAKEOVERS && leaseHolder != identity[1])
ltl regained { [] (orphaned -> <> (heldByNode1 || takeoversExhausted)) }
