/* Configuration versions: two concurrent operators, nodes that read versions from the table and
 * from each other, and a node that restarts while the table is down.
 *
 * Bounds: 2 operators with 2 attempts each, 2 nodes, 1 outage of any length, 2 restarts, 1 message
 * in flight between nodes, delayed by any time. Nodes may pause for any time.
 *
 * Safety: a process never replaces the version it has in force by a lower one; the content of an
 * accepted version never changes; of two operators who start from the same head only one succeeds;
 * a node that has no version is not ready.
 *
 * Mutants: LOWER_APPLIED (applies any version received), BLIND_HEAD (writes the head without
 * comparing it), READY_UNKNOWN (a node is ready before it has a version).
 */
#define N 2
#define TRIES 2
#define MAX 4
#define SLOTS 1

byte head = 0;
byte content[MAX + 2]; /* operator that wrote each version */
bit down = 0;
bit outages = 0;
byte reboots = 0;

byte inForce[N];
bit ready[N];

typedef Message { bit inFlight; byte to; byte version };
Message messages[SLOTS];

inline apply(n, newVersion) {
#ifdef LOWER_APPLIED
  if
  :: newVersion > 0 ->
     assert(newVersion >= inForce[n]);
     inForce[n] = newVersion
  :: else -> skip
  fi;
#else
  if
  :: newVersion > inForce[n] -> inForce[n] = newVersion
  :: else -> skip
  fi;
#endif
  ready[n] = inForce[n] > 0
}

inline enqueue(i, peer, newVersion) {
  messages[i].inFlight = 1; messages[i].to = peer; messages[i].version = newVersion
}

inline clear_slot(i) {
  messages[i].inFlight = 0; messages[i].to = 0; messages[i].version = 0
}

inline publish(n, peer) {
  if
  :: !messages[0].inFlight -> enqueue(0, peer, inForce[n])
  :: else -> skip
  fi
}

proctype Node(byte n) {
  byte readHead = 0;
  byte received = 0;
#ifdef READY_UNKNOWN
  ready[n] = 1;
#endif
  do
  :: atomic { !down && inForce[n] != head -> readHead = head }
  :: atomic { readHead > 0 -> apply(n, readHead); readHead = 0 }
  :: atomic { inForce[n] > 0 -> publish(n, (n + 1) % N) }
  :: atomic { messages[0].inFlight && messages[0].to == n -> received = messages[0].version; clear_slot(0); apply(n, received); received = 0 }
  :: atomic { ready[n] -> assert(inForce[n] > 0) }
  :: atomic { /* restart with empty memory */
       reboots < 2 -> reboots++;
       inForce[n] = 0; readHead = 0;
#ifdef READY_UNKNOWN
       ready[n] = 1
#else
       ready[n] = 0
#endif
       }
  od
}

proctype Operator(byte operator) {
  byte base = 0;
  byte tries = 0;
  bit planned = 0;
  do
  :: atomic { !down && !planned && tries < TRIES -> base = head; planned = 1; tries++ }
  :: atomic { !down && planned ->
       planned = 0;
       if
#ifdef BLIND_HEAD
       :: 1 ->
#else
       :: head == base ->
#endif
          assert(content[base + 1] == 0);
          content[base + 1] = operator;
          head = base + 1
       :: else -> skip /* rejected: the head has changed since the plan */
       fi;
       base = 0 }
  od
}

active proctype Outage() {
  do
  :: atomic { !down && !outages -> down = 1; outages = 1 }
  :: atomic { down -> down = 0 }
  od
}

init {
  atomic {
    run Node(0); run Node(1);
    run Operator(1); run Operator(2)
  }
}
