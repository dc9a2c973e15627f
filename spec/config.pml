/* Versions of the configuration: two operators who race, nodes that learn from the table and from
 * each other, and a node that boots anew while the table is down.
 *
 * Sizes: 2 operators with 2 tries each, 2 nodes, 1 outage of any length, 2 reboots, 1 message
 * between nodes on its way, of any age. Nodes pause for any time.
 *
 * Safety: a version that a process has in force never gives way to a lower one; an accepted
 * version has one content for ever; of two operators who start from the same head only one wins; a
 * node that knows no version is not ready.
 *
 * Mutants: LOWER_APPLIED (whatever comes is applied), BLIND_HEAD (the head is written whatever it
 * is), READY_UNKNOWN (a node is ready before it knows a version).
 */
#define N 2
#define TRIES 2
#define MAX 4
#define SLOTS 1

byte head = 0;
byte content[MAX + 2]; /* operator and try that wrote a version */
bit down = 0;
bit outages = 0;
byte reboots = 0;

byte inForce[N];
bit ready[N];

typedef Message { bit live; byte to; byte version };
Message messages[SLOTS];

inline apply(n, v) {
#ifdef LOWER_APPLIED
  if
  :: v > 0 ->
     assert(v >= inForce[n]);
     inForce[n] = v
  :: else -> skip
  fi;
#else
  if
  :: v > inForce[n] -> inForce[n] = v
  :: else -> skip
  fi;
#endif
  ready[n] = inForce[n] > 0
}

inline put(i, m, v) {
  messages[i].live = 1; messages[i].to = m; messages[i].version = v
}

inline drop(i) {
  messages[i].live = 0; messages[i].to = 0; messages[i].version = 0
}

inline tell(n, m) {
  if
  :: !messages[0].live -> put(0, m, inForce[n])
  :: else -> skip
  fi
}

proctype Node(byte n) {
  byte seen = 0;
  byte got = 0;
#ifdef READY_UNKNOWN
  ready[n] = 1;
#endif
  do
  :: atomic { !down && inForce[n] != head -> seen = head }
  :: atomic { seen > 0 -> apply(n, seen); seen = 0 }
  :: atomic { inForce[n] > 0 -> tell(n, (n + 1) % N) }
  :: atomic { messages[0].live && messages[0].to == n -> got = messages[0].version; drop(0); apply(n, got); got = 0 }
  :: atomic { ready[n] -> assert(inForce[n] > 0) }
  :: atomic { /* another process with nothing in memory */
       reboots < 2 -> reboots++;
       inForce[n] = 0; seen = 0;
#ifdef READY_UNKNOWN
       ready[n] = 1
#else
       ready[n] = 0
#endif
       }
  od
}

proctype Operator(byte o) {
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
          content[base + 1] = o;
          head = base + 1
       :: else -> skip /* told who changed what since */
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
