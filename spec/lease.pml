/* The lease of one group: renewal, takeover and the end of the right to give orders.
 *
 * Sizes: 2 nodes, leases of 3 ticks, clocks that drift by 1 tick, 1 renewal, 2 takeovers, 1 call
 * that is lost, repeated, late, or whose answer is lost, and 1 crash. Pauses have any length: a
 * node takes a step whenever it is scheduled, while time goes on. A call reaches the table at any
 * later time and in any order; reads are calls whose answers come at any time, because a node acts
 * on what it remembers.
 *
 * Safety: no two nodes have the right to give orders at the same time.
 * Liveness: a group whose holder died gets a holder again.
 *
 * Mutants, those that need no loss without one: FROM_ANSWER, NO_WAIT, NO_DRIFT, NO_HEARTBEAT_CHECK, LOST_IS_HELD,
 * and for the liveness RESTARTS (every look at the rows begins the wait anew).
 */
#define N 2
#ifndef TTL
#define TTL 3
#endif
#define DRIFT 1
#ifndef RENEWALS
#define RENEWALS 1
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#define TAKES 2
#define SLOTS 2
#define NOBODY 255

#ifdef NO_DRIFT
#define WAIT TTL
#else
#define WAIT (TTL + DRIFT)
#endif

mtype = { renew, take };

typedef Call { bit live; bit node; mtype kind; byte id; byte lease; byte heartbeat; byte number };
Call calls[SLOTS];

/* The table: who holds the lease, and the versions of both rows. */
byte version = 0;
byte leaseVersion = 0;
byte heartbeatVersion = 0;
byte leaseHolder = NOBODY;

/* The nodes. A holder's identity is its VM with its boot. */
byte identity[N];
bit mine[N];
byte fence[N];
byte left[N];      /* ticks of the right that remain */
byte sentLeft[N];  /* ticks that would remain if the open call succeeds */
byte waitLeft[N];  /* ticks until a takeover is allowed */
byte seenHeartbeat[N];
byte seenLease[N];
bit known[N];
bit pending[N];
mtype asked[N];
byte number[N];
bit answered[N];
bit applied[N];
byte answer[N];
byte skew[N];

byte losses = 0;
byte renewals = 0;
byte takes = 0;
bit crashed = 0;
bit dead = 0;

#ifdef RESTARTS
#define news(n) 1
#else
#define news(n) (seenHeartbeat[n] != heartbeatVersion)
#endif

#ifdef NO_WAIT
#define may_take(n) 1
#else
#define may_take(n) (waitLeft[n] == 0 || seenLease[n] == 0)
#endif

#define right(n) (mine[n] && left[n] > 0)

inline gain(n, remaining) {
  left[n] = remaining;
  assert(!(right(0) && right(1)))
}

inline send(n, what, l, b) {
  if
  :: !calls[0].live -> fill(0, n, what, l, b)
  :: calls[0].live && !calls[1].live -> fill(1, n, what, l, b)
  fi;
  pending[n] = 1;
  answered[n] = 0;
  asked[n] = what;
  sentLeft[n] = TTL
}

inline fill(i, n, what, l, b) {
  calls[i].live = 1;
  calls[i].node = n;
  calls[i].kind = what;
  calls[i].id = identity[n];
  calls[i].lease = l;
  calls[i].heartbeat = b;
  calls[i].number = number[n]
}

#define room (!calls[0].live || !calls[1].live)

/* Variables without a meaning are cleared, which keeps the state space small. */
inline settle(n) {
  asked[n] = renew; answer[n] = 0; applied[n] = 0; sentLeft[n] = 0
}

inline give_up(n) {
  /* What became of the call is settled by reading the rows back. */
  pending[n] = 0;
  answered[n] = 0;
  number[n] = (number[n] + 1) % 4;
  if
  :: asked[n] == take ->
#ifdef LOST_IS_HELD
     mine[n] = 1; fence[n] = seenLease[n]; gain(n, sentLeft[n])
#else
     known[n] = 0
#endif
  :: else -> skip
  fi;
  settle(n)
}

proctype Node(bit n) {
  do
  :: atomic { /* read the rows */
       !mine[n] && !pending[n] && (!known[n] || news(n)) ->
       if
       :: leaseHolder == identity[n] -> mine[n] = 1; fence[n] = leaseVersion; left[n] = 0; waitLeft[n] = 0
       :: else ->
          if
          :: news(n) -> waitLeft[n] = WAIT
          :: else -> skip
          fi
       fi;
       known[n] = 1; seenHeartbeat[n] = heartbeatVersion; seenLease[n] = leaseVersion }
  :: atomic { /* take a lease that nobody has, or whose holder's right has ended */
       !mine[n] && !pending[n] && known[n] && room && takes < TAKES && may_take(n) ->
       send(n, take, seenLease[n], seenHeartbeat[n]) }
  :: atomic { /* renew */
       mine[n] && !pending[n] && room && renewals < RENEWALS -> renewals++;
       send(n, renew, fence[n], 0) }
  :: atomic { /* a renewal beyond the bound, which finds another holder */
       mine[n] && !pending[n] && renewals == RENEWALS && fence[n] != leaseVersion ->
       mine[n] = 0; left[n] = 0; known[n] = 0; fence[n] = 0 }
  :: atomic { /* the answer */
       pending[n] && answered[n] ->
       pending[n] = 0; answered[n] = 0; number[n] = (number[n] + 1) % 4;
       if
       :: applied[n] && asked[n] == take -> mine[n] = 1; fence[n] = answer[n]; waitLeft[n] = 0
       :: !applied[n] -> mine[n] = 0; left[n] = 0; known[n] = 0; fence[n] = 0
       :: else -> skip
       fi;
       if
       :: applied[n] ->
#ifdef FROM_ANSWER
          gain(n, TTL)
#else
          gain(n, sentLeft[n])
#endif
       :: else -> skip
       fi;
       settle(n) }
  :: atomic { /* no answer within the time limit */
       pending[n] && !answered[n] && losses < LOSSES -> losses++;
       give_up(n) }
  :: atomic { /* crash, and a new boot that remembers nothing */
       !crashed -> crashed = 1;
       mine[n] = 0; left[n] = 0; known[n] = 0; seenHeartbeat[n] = NOBODY;
       pending[n] = 0; answered[n] = 0; number[n] = (number[n] + 1) % 4;
       settle(n); fence[n] = 0; waitLeft[n] = 0; seenLease[n] = 0;
       identity[n] = n + N;
       if
       :: n == 0 -> dead = 1; break
       :: skip
       fi }
  od
}

inline clear(i) {
  calls[i].live = 0; calls[i].node = 0; calls[i].kind = renew; calls[i].id = 0;
  calls[i].lease = 0; calls[i].heartbeat = 0; calls[i].number = 0
}

inline run_call(i) {
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
     :: calls[i].kind == take -> takes++; leaseVersion = version; leaseHolder = calls[i].id
     :: else -> skip
     fi
  :: else -> skip
  fi;
  if
  :: pending[node] && calls[i].number == number[node] && !answered[node] ->
     answered[node] = 1; applied[node] = ok; answer[node] = version
  :: else -> skip
  fi;
  if
  :: losses < LOSSES -> losses++ /* the call is repeated by the network */
  :: clear(i)
  fi;
  node = 0; ok = 0
}

active proctype Table() {
  bit node, ok;
  do
  :: atomic { calls[0].live -> run_call(0) }
  :: atomic { calls[1].live -> run_call(1) }
  od
}

#define down(x) x = (x > 0 -> x - 1 : 0)

inline pass(n) {
  down(left[n]);
  down(sentLeft[n]);
  down(waitLeft[n])
}

/* Time; one node's clock may stand still for DRIFT ticks in all, against the other. */
active proctype Clock() {
  do
  :: atomic { left[0] + left[1] + waitLeft[0] + waitLeft[1] + sentLeft[0] + sentLeft[1] > 0 ->
       if
       :: pass(0); pass(1)
       :: skew[0] + skew[1] < DRIFT -> skew[0]++; pass(1)
       :: skew[0] + skew[1] < DRIFT -> skew[1]++; pass(0)
       fi }
  od
}

init {
  atomic {
    identity[0] = 0; identity[1] = 1;
    clear(0); clear(1); asked[0] = renew; asked[1] = renew;
    seenHeartbeat[0] = NOBODY; seenHeartbeat[1] = NOBODY;
    run Node(0); run Node(1)
  }
}

/* A holder that dies while the bound on takeovers allows another one is followed by node 1, unless
 * a takeover that the dead one had sent uses the bound up. */
#define heldByLive (mine[1] && leaseHolder == identity[1])
#define orphaned (dead && takes < TAKES)
#define spent (takes == TAKES && leaseHolder != identity[1])
ltl regained { [] (orphaned -> <> (heldByLive || spent)) }
