/* The relay's lease on role changes: one row, whose version is the fencing token.
 *
 * A node reads the row and the store's clock, and writes the row by compare-and-set unless another
 * node took it less than TAKEOVER_WAIT ticks ago. It may give orders until HOLD_TICKS after its
 * request, by its own clock. The write reaches the store, and the response the node, after any
 * delay; a node takes a step whenever it is scheduled, so pauses have any length.
 *
 * Bounds: 2 nodes, 2 attempts each, 9 ticks.
 *
 * Safety: orders of different nodes are at least MIN_GAP ticks apart, and the later one carries the
 * higher token.
 *
 * Mutants: FROM_ANSWER (the time counts from the response instead of the request), NO_AGE (does not
 * wait for another node's lease to expire), BLIND (writes without a version check).
 */
#define N 2
#define TRIES 2
#define MAX_TICKS 9
#define HOLD_TICKS 2
#define TAKEOVER_WAIT 4
#define MIN_GAP 2
#define NOBODY 255

byte now = 0;

/* The row. */
byte version = 0;
byte holder = NOBODY;
byte takenAt = 0;

/* The latest order. */
byte orderBy = NOBODY;
byte orderAt = 0;
byte orderToken = 0;

proctype Clock() {
  do
  :: now < MAX_TICKS -> now++
  :: now == MAX_TICKS -> break
  od
}

proctype Node(byte me) {
  byte tries = 0;
  byte askedAt, readAt, readVersion, readHolder, readTakenAt, token;
  bit won;
  do
  :: tries < TRIES ->
    tries++;
    askedAt = now;
    atomic {
      readAt = now;
      readVersion = version;
      readHolder = holder;
      readTakenAt = takenAt;
    }
#ifndef NO_AGE
    if
    :: readHolder != NOBODY && readHolder != me && readAt < readTakenAt + TAKEOVER_WAIT -> goto next
    :: else
    fi;
#endif
    atomic {
#ifdef BLIND
      won = 1;
#else
      won = (version == readVersion);
#endif
      if
      :: won -> version++; holder = me; takenAt = readAt; token = version
      :: else
      fi
    }
    if
    :: !won -> goto next
    :: else
    fi;
#ifdef FROM_ANSWER
    askedAt = now;
#endif
    do
    :: atomic {
        now < askedAt + HOLD_TICKS ->
        assert(orderBy == NOBODY || orderBy == me || now >= orderAt + MIN_GAP);
        assert(orderBy == NOBODY || token >= orderToken);
        orderBy = me;
        orderAt = now;
        orderToken = token
      }
    :: break
    od;
next: skip
  :: else -> break
  od
}

init {
  atomic {
    run Clock();
    run Node(0);
    run Node(1)
  }
}
