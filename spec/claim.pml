/* One non-idempotent request with an idempotency key, which its caller may send to several nodes:
 * a node inserts the row claim/<caller>/<key> before it dispatches the request, and dispatches once.
 *
 * Bounds: 2 nodes, 1 key, 3 sends by the caller, 2 faults (a write or message that is lost or
 * delayed, or whose response is lost) and 1 node crash. Nodes may pause at any step for any time.
 *
 * Safety: the service runs the request at most once; a "not run" response is true of every send so
 * far, unless an earlier send had another response; a stored response is that of a run.
 *
 * Mutants: RESEND (dispatches again after bytes may have been sent), TAKE_HELD (a resend takes over
 * a claim whose holder may still dispatch), RELEASE_SENT (releases the claim after bytes may have
 * been sent), BLIND (inserts without a version check), LOST_IS_MINE (treats an insert whose
 * response was lost as applied).
 */
#define N 2
#define SENDS 3
#define FAULTS 2

mtype = { absent, held, released, done, lost };
mtype = { idle, inserting, reading, claimed, sent };
mtype = { notRun, unknown, responded };

/* The table row: its state, its owner (the number of a send) and its version. */
mtype row = absent;
byte owner = 0;
byte version = 0;

/* Writes in flight, at most one per node. */
bit writePending[N];
byte writeOwner[N];
byte writeVersion[N];
mtype writeState[N];

/* Node state. */
mtype step[N];
byte request[N];
byte claimVersion[N];

/* Requests to the service and its responses, per node. */
byte requestsInFlight[N];
bit responseReady[N];
bit dispatched[N];

byte requests = 0;
byte runs = 0;
byte faults = 0;
bit crashed = 0;
bit mayHaveRun = 0; /* an earlier send got "unknown" or no response */

inline start_write(n, result, expected) {
  writePending[n] = 1; writeOwner[n] = request[n]; writeState[n] = result; writeVersion[n] = expected
}

inline finish(n, result) {
  if
  :: result == notRun -> assert(runs == 0 || mayHaveRun)
  :: result == unknown -> mayHaveRun = 1
  :: else -> assert(runs == 1)
  fi;
  step[n] = idle
}

inline dispatch(n) {
  step[n] = sent; requestsInFlight[n]++; dispatched[n] = 1
}

proctype Node(bit n) {
  do
  :: atomic { /* the caller sends or resends the request to this node */
       step[n] == idle && requests < SENDS && !writePending[n] ->
       requests++; request[n] = requests; dispatched[n] = 0;
       start_write(n, held, 0); step[n] = inserting }
  :: atomic { /* the caller disconnects and does not learn the outcome */
       step[n] != idle && !mayHaveRun -> mayHaveRun = 1 }
  :: atomic { /* the response to the insert is lost or arrives after the timeout */
       step[n] == inserting && faults < FAULTS -> faults++;
#ifdef LOST_IS_MINE
       claimVersion[n] = version; step[n] = claimed
#else
       step[n] = reading
#endif
       }
  :: atomic { /* read the row back */
       step[n] == reading && !writePending[n] ->
       if
       :: row == absent -> start_write(n, held, 0); step[n] = inserting
       :: row == held && owner == request[n] -> claimVersion[n] = version; step[n] = claimed
#ifdef TAKE_HELD
       :: row == held && owner != request[n] -> start_write(n, held, version); step[n] = inserting
#else
       :: row == held && owner != request[n] -> finish(n, unknown)
#endif
       :: row == released -> start_write(n, held, version); step[n] = inserting
       :: row == done -> finish(n, responded)
       :: row == lost -> finish(n, unknown)
       fi }
  :: atomic { /* the read fails */
       step[n] == reading && faults < FAULTS -> faults++; finish(n, unknown) }
  :: atomic { /* dispatch, once */
       step[n] == claimed -> dispatch(n) }
  :: atomic { /* no target is available: nothing was sent */
       step[n] == claimed && !writePending[n] ->
       start_write(n, released, claimVersion[n]); finish(n, notRun) }
  :: atomic { /* the complete response arrives */
       step[n] == sent && responseReady[n] && !writePending[n] ->
       responseReady[n] = 0; start_write(n, done, claimVersion[n]); finish(n, responded) }
  :: atomic { /* the connection fails or stalls after bytes may have been sent */
       step[n] == sent && !responseReady[n] && !writePending[n] &&
       (requestsInFlight[n] == 0 || faults < FAULTS) ->
       faults = (requestsInFlight[n] == 0 -> faults : faults + 1);
#ifdef RESEND
       dispatch(n)
#else
#ifdef RELEASE_SENT
       start_write(n, released, claimVersion[n]); finish(n, notRun)
#else
       start_write(n, lost, claimVersion[n]); finish(n, unknown)
#endif
#endif
       }
  :: atomic { /* crash: messages and writes in flight stay in flight */
       !crashed && step[n] != idle -> crashed = 1; mayHaveRun = 1;
       step[n] = idle; responseReady[n] = 0 }
  od
}

inline apply_write(n) {
  writePending[n] = 0;
  ok = writeVersion[n] == version;
#ifdef BLIND
  ok = 1;
#endif
  if
  :: ok -> version++; row = writeState[n]; owner = writeOwner[n]
  :: else -> skip
  fi;
  if
  :: step[n] == inserting && ok -> claimVersion[n] = version; step[n] = claimed
  :: step[n] == inserting && !ok -> step[n] = reading
  :: else -> skip
  fi;
  writeOwner[n] = 0; writeVersion[n] = 0; writeState[n] = absent; ok = 0
}

active proctype Table() {
  bit ok;
  do
  :: atomic { writePending[0] -> apply_write(0) }
  :: atomic { writePending[1] -> apply_write(1) }
  :: atomic { writePending[0] && step[0] != inserting && faults < FAULTS -> faults++; writePending[0] = 0 }
  :: atomic { writePending[1] && step[1] != inserting && faults < FAULTS -> faults++; writePending[1] = 0 }
  od
}

inline run_request(n) {
  requestsInFlight[n]--;
  runs++;
  assert(runs <= 1);
  if
  :: step[n] == sent -> responseReady[n] = 1
  :: else -> skip
  fi
}

active proctype Service() {
  do
  :: atomic { requestsInFlight[0] > 0 -> run_request(0) }
  :: atomic { requestsInFlight[1] > 0 -> run_request(1) }
  :: atomic { requestsInFlight[0] > 0 && faults < FAULTS -> faults++; requestsInFlight[0]-- }
  :: atomic { requestsInFlight[1] > 0 && faults < FAULTS -> faults++; requestsInFlight[1]-- }
  :: atomic { responseReady[0] && faults < FAULTS -> faults++; responseReady[0] = 0 }
  :: atomic { responseReady[1] && faults < FAULTS -> faults++; responseReady[1] = 0 }
  od
}

init {
  atomic {
    step[0] = idle; step[1] = idle; writeState[0] = absent; writeState[1] = absent;
    run Node(0); run Node(1)
  }
}
