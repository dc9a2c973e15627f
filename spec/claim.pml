/* One non-idempotent request under an idempotency key, sent by its caller to one node after the
 * other: the row claim/<caller>/<key> is inserted before the one dispatch.
 *
 * Sizes: 2 nodes, 1 key, 3 sends by the caller, 2 faults (a write or message that is lost or late,
 * or whose answer is lost) and 1 crash of a node. Nodes pause at any step and for any time.
 *
 * Safety: the service runs the request at most once; an answer "not run" is true at that time of
 * every send so far, unless an earlier one had another answer; a stored answer is that of a run.
 *
 * Mutants: RESEND (dispatched again after bytes may have left), TAKE_HELD (a resend takes over a
 * claim whose holder may dispatch), RELEASE_SENT (released after bytes may have left), BLIND
 * (inserted over whatever is there), LOST_IS_MINE (a lost answer to the insert counts as held).
 */
#define N 2
#define SENDS 3
#define FAULTS 2

mtype = { absent, held, released, done, lost };
mtype = { idle, inserting, reading, claimed, sent };
mtype = { notRun, unknown, answered };

/* The table: state of the row, its owner (a request of a node) and its version. */
mtype row = absent;
byte owner = 0;
byte version = 0;

/* Writes on their way, one a node. */
bit inTable[N];
byte writeOwner[N];
byte writeVersion[N];
mtype writeState[N];

/* The nodes. */
mtype step[N];
byte request[N];
byte kept[N];

/* Messages to the service and its answers, one a node. */
byte toService[N];
bit fromService[N];
bit dispatched[N];

byte requests = 0;
byte runs = 0;
byte faults = 0;
bit crashed = 0;
bit maybe = 0; /* an earlier send was answered "unknown", or not at all */

inline write(n, what, v) {
  inTable[n] = 1; writeOwner[n] = request[n]; writeState[n] = what; writeVersion[n] = v
}

inline end(n, what) {
  if
  :: what == notRun -> assert(runs == 0 || maybe)
  :: what == unknown -> maybe = 1
  :: else -> assert(runs == 1)
  fi;
  step[n] = idle
}

inline dispatch(n) {
  step[n] = sent; toService[n]++; dispatched[n] = 1
}

proctype Node(bit n) {
  do
  :: atomic { /* the caller sends the request here, perhaps once more */
       step[n] == idle && requests < SENDS && !inTable[n] ->
       requests++; request[n] = requests; dispatched[n] = 0;
       write(n, held, 0); step[n] = inserting }
  :: atomic { /* the caller goes away; what this run does is no longer known to it */
       step[n] != idle && !maybe -> maybe = 1 }
  :: atomic { /* the answer to the insert is lost, or comes after the time limit */
       step[n] == inserting && faults < FAULTS -> faults++;
#ifdef LOST_IS_MINE
       kept[n] = version; step[n] = claimed
#else
       step[n] = reading
#endif
       }
  :: atomic { /* read the row back */
       step[n] == reading && !inTable[n] ->
       if
       :: row == absent -> write(n, held, 0); step[n] = inserting
       :: row == held && owner == request[n] -> kept[n] = version; step[n] = claimed
#ifdef TAKE_HELD
       :: row == held && owner != request[n] -> write(n, held, version); step[n] = inserting
#else
       :: row == held && owner != request[n] -> end(n, unknown)
#endif
       :: row == released -> write(n, held, version); step[n] = inserting
       :: row == done -> end(n, answered)
       :: row == lost -> end(n, unknown)
       fi }
  :: atomic { /* the row can't be read */
       step[n] == reading && faults < FAULTS -> faults++; end(n, unknown) }
  :: atomic { /* the one dispatch */
       step[n] == claimed -> dispatch(n) }
  :: atomic { /* no target is open: nothing went out */
       step[n] == claimed && !inTable[n] ->
       write(n, released, kept[n]); end(n, notRun) }
  :: atomic { /* the whole answer */
       step[n] == sent && fromService[n] && !inTable[n] ->
       fromService[n] = 0; write(n, done, kept[n]); end(n, answered) }
  :: atomic { /* the connection breaks or goes silent after bytes may have left */
       step[n] == sent && !fromService[n] && !inTable[n] &&
       (toService[n] == 0 || faults < FAULTS) ->
       faults = (toService[n] == 0 -> faults : faults + 1);
#ifdef RESEND
       dispatch(n)
#else
#ifdef RELEASE_SENT
       write(n, released, kept[n]); end(n, notRun)
#else
       write(n, lost, kept[n]); end(n, unknown)
#endif
#endif
       }
  :: atomic { /* crash: what is on its way stays on its way */
       !crashed && step[n] != idle -> crashed = 1; maybe = 1;
       step[n] = idle; fromService[n] = 0 }
  od
}

inline run_write(n) {
  inTable[n] = 0;
  ok = writeVersion[n] == version;
#ifdef BLIND
  ok = 1;
#endif
  if
  :: ok -> version++; row = writeState[n]; owner = writeOwner[n]
  :: else -> skip
  fi;
  if
  :: step[n] == inserting && ok -> kept[n] = version; step[n] = claimed
  :: step[n] == inserting && !ok -> step[n] = reading
  :: else -> skip
  fi;
  writeOwner[n] = 0; writeVersion[n] = 0; writeState[n] = absent; ok = 0
}

active proctype Table() {
  bit ok;
  do
  :: atomic { inTable[0] -> run_write(0) }
  :: atomic { inTable[1] -> run_write(1) }
  :: atomic { inTable[0] && step[0] != inserting && faults < FAULTS -> faults++; inTable[0] = 0 }
  :: atomic { inTable[1] && step[1] != inserting && faults < FAULTS -> faults++; inTable[1] = 0 }
  od
}

inline run_request(n) {
  toService[n]--;
  runs++;
  assert(runs <= 1);
  if
  :: step[n] == sent -> fromService[n] = 1
  :: else -> skip
  fi
}

active proctype Service() {
  do
  :: atomic { toService[0] > 0 -> run_request(0) }
  :: atomic { toService[1] > 0 -> run_request(1) }
  :: atomic { toService[0] > 0 && faults < FAULTS -> faults++; toService[0]-- }
  :: atomic { toService[1] > 0 && faults < FAULTS -> faults++; toService[1]-- }
  :: atomic { fromService[0] && faults < FAULTS -> faults++; fromService[0] = 0 }
  :: atomic { fromService[1] && faults < FAULTS -> faults++; fromService[1] = 0 }
  od
}

init {
  atomic {
    step[0] = idle; step[1] = idle; writeState[0] = absent; writeState[1] = absent;
    run Node(0); run Node(1)
  }
}
