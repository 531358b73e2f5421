/*
 * Model of the claims for one idempotency key: claim, dispatch, crash, resend,
 * release and fence.
 *
 * The ledger is a single atomic state machine in this model; its replication is
 * checked in replicated_log.pml. Every message between a node and the ledger may
 * be delayed, and every response may be lost. A caller may send the request
 * several times. Each send arrives at some node, is attempted at most ATTEMPTS
 * times, and ends with a disposition.
 *
 * Checked properties: the request runs at most once; after a send got the
 * disposition not-run, neither that send nor an earlier one runs.
 *
 * Variants in which one rule is removed, so that the checker must find an error:
 *   NO_FENCE        reports not-run without fencing the key
 *   FREE_ON_CRASH   makes the key of a crashed node absent instead of unknown
 *   NO_CLAIM        dispatches although the response to the claim was lost
 */
#ifndef SENDS
#define SENDS 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
/* A claim is identified by send * ATTEMPTS + attempt. */
#define CLAIMS (SENDS * ATTEMPTS)
#define NO_OWNER 255

mtype = { absent, claimed, completed, unknown };
mtype = { none, granted, denied };
mtype = { pending, notRun, ran, outcomeUnknown };

/* State of the ledger. */
mtype keyState = absent;
byte claimOwner = NO_OWNER;
bool released[CLAIMS];
/* Counts only fences, because the index of no other entry is ever compared. */
byte ledgerIndex = 0;
byte fenceIndex = 0;

/* Messages between the nodes and the ledger. */
bool claimInFlight[CLAIMS];
bool completeInFlight[CLAIMS];
mtype claimResponse[CLAIMS] = none;

/* State of the sends. */
byte entryIndex[SENDS];
bool arrived[SENDS];
mtype disposition[SENDS] = pending;
bool mustNotRun[SENDS]; /* a fence after the arrival found the key absent */

/* State of the target. */
byte runs = 0;
bool crashed[CLAIMS];

inline applyClaim(claim, send) {
  d_step {
    claimInFlight[claim] = false;
    if
    :: keyState == absent && !released[claim] && entryIndex[send] >= fenceIndex ->
       keyState = claimed; claimOwner = claim; claimResponse[claim] = granted
    :: else -> claimResponse[claim] = denied
    fi
  }
}

inline applyRelease(claim) {
  d_step {
    released[claim] = true;
    if
    :: keyState == claimed && claimOwner == claim -> keyState = absent; claimOwner = NO_OWNER
    :: else
    fi
  }
}

/* Ends a send that was not dispatched. The state of the key decides which
 * disposition is reported. */
inline fenceAndReport(send) {
  atomic {
#ifdef NO_FENCE
    disposition[send] = notRun;
    markArrivedSends()
#else
    ledgerIndex++;
    if
    :: keyState == absent -> fenceIndex = ledgerIndex; disposition[send] = notRun; markArrivedSends()
    :: keyState == completed -> disposition[send] = ran
    :: else -> disposition[send] = outcomeUnknown
    fi
#endif
  }
}

/* Marks all sends that have arrived so far: they must not run from now on. */
inline markArrivedSends() {
  byte each = 0;
  do
  :: each < SENDS -> if :: arrived[each] -> mustNotRun[each] = true :: else fi; each++
  :: else -> break
  od;
  each = 0;
  assert(runs == 0)
}

inline dispatch(send) {
  d_step {
    runs++;
    assert(runs <= 1);
    assert(!mustNotRun[send])
  }
}

proctype Send(byte send) {
  byte attempt = 0;
  byte claim;
  /* The ledger index that the node knows may be outdated. */
  atomic {
    arrived[send] = true;
    if
    :: entryIndex[send] = ledgerIndex
    :: entryIndex[send] = 0
    fi
  }
nextAttempt:
  claim = send * ATTEMPTS + attempt;
  if
  :: goto refused /* refused by admission */
  :: true -> claimInFlight[claim] = true
  fi;
  if
  :: claimResponse[claim] == granted -> goto dispatching
  :: claimResponse[claim] == denied -> goto refused
  :: true -> /* the response is lost or late */
#ifdef NO_CLAIM
     goto dispatching
#else
     applyRelease(claim); goto refused
#endif
  :: crashed[claim] = true; disposition[send] = outcomeUnknown; goto done
  fi;
dispatching:
  if
  :: true -> dispatch(send);
     if
     :: completeInFlight[claim] = true; disposition[send] = ran; goto done
     :: crashed[claim] = true; disposition[send] = outcomeUnknown; goto done
     fi
  :: true -> applyRelease(claim); goto refused /* the target sheds the call */
  :: crashed[claim] = true; disposition[send] = outcomeUnknown; goto done
  fi;
refused:
  if
  :: attempt + 1 < ATTEMPTS -> attempt++; goto nextAttempt
  :: true -> skip
  fi;
  fenceAndReport(send);
done:
  skip
}

inline applyComplete(claim) {
  d_step {
    completeInFlight[claim] = false;
    if
    :: (keyState == claimed || keyState == unknown) && claimOwner == claim ->
       keyState = completed
    :: else
    fi
  }
}

/* Ends a claim whose deadline has passed. */
inline expireClaim() {
  d_step {
#ifdef FREE_ON_CRASH
    keyState = absent; claimOwner = NO_OWNER
#else
    keyState = unknown
#endif
  }
}

#define DELIVER(claim) \
  :: atomic { claimInFlight[claim] -> applyClaim(claim, (claim) / ATTEMPTS) } \
  :: atomic { completeInFlight[claim] -> applyComplete(claim) } \
  :: completeInFlight[claim] -> completeInFlight[claim] = false

/* Delivers or loses delayed messages, and ends claims after their deadline. */
active proctype Network() {
end:
  do
  DELIVER(0)
  DELIVER(1)
  DELIVER(2)
#if CLAIMS > 3
  DELIVER(3)
#endif
  :: atomic { keyState == claimed -> expireClaim() }
  od
}

init {
  atomic {
    byte send = 0;
    do
    :: send < SENDS -> run Send(send); send++
    :: else -> break
    od
  }
}
