/* The lease on role changes of the relay: one row, whose version is the fencing token.
 *
 * A node reads the row and the store's clock, and writes the row by compare-and-set if no other took
 * it less than TAKEN ticks ago. It may order until HOLD ticks after it asked, by its own clock. The
 * write reaches the store, and the answer the node, at any later time; a node takes a step whenever
 * it is scheduled, so that pauses have any length.
 *
 * Sizes: 2 nodes, 2 tries each, 9 ticks.
 *
 * Safety: orders of two nodes are LEASE ticks apart, and the later one bears the higher token.
 *
 * Mutants: FROM_ANSWER (the right is counted from the answer), NO_AGE (another's lease is not waited
 * for), BLIND (the write has no condition).
 */
#define N 2
#define TRIES 2
#define TICKS 9
#define HOLD 2
#define TAKEN 4
#define LEASE 2
#define NOBODY 255

byte now = 0;

/* The row. */
byte version = 0;
byte holder = NOBODY;
byte taken = 0;

/* The latest order. */
byte orderBy = NOBODY;
byte orderAt = 0;
byte orderToken = 0;

proctype Clock() {
  do
  :: now < TICKS -> now++
  :: now == TICKS -> break
  od
}

proctype Node(byte me) {
  byte tries = 0;
  byte asked, readAt, readVersion, readHolder, readTaken, token;
  bit won;
  do
  :: tries < TRIES ->
    tries++;
    asked = now;
    atomic {
      readAt = now;
      readVersion = version;
      readHolder = holder;
      readTaken = taken;
    }
#ifndef NO_AGE
    if
    :: readHolder != NOBODY && readHolder != me && readAt < readTaken + TAKEN -> goto next
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
      :: won -> version++; holder = me; taken = readAt; token = version
      :: else
      fi
    }
    if
    :: !won -> goto next
    :: else
    fi;
#ifdef FROM_ANSWER
    asked = now;
#endif
    do
    :: atomic {
        now < asked + HOLD ->
        assert(orderBy == NOBODY || orderBy == me || now >= orderAt + LEASE);
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
