/*
 * Claim, dispatch, crash, resend, release and fence for one idempotency key.
 *
 * The ledger is one atomic state machine here (the replicated log is checked
 * in replicated_log.pml). Every message between a node and the ledger may be
 * delayed, and every answer may be lost. Each send of the caller enters at some
 * node, is attempted at most ATTEMPTS times, and ends with a disposition.
 *
 * Checked: the key runs at most once; a caller that is told not-run by one
 * send never sees that send, or an earlier one, run.
 *
 * Variants in which a rule is removed and the checker must find a fault:
 *   NO_FENCE        tells not-run without fencing the key
 *   FREE_ON_CRASH   frees the claim of a crashed node instead of unknown
 *   NO_CLAIM        dispatches although the claim's answer was lost
 */
#ifndef SENDS
#define SENDS 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
/* Claim identity: send * ATTEMPTS + attempt. */
#define CLAIMS (SENDS * ATTEMPTS)
#define NOBODY 255

mtype = { absent, claimed, completed, unknown };
mtype = { none, granted, denied };
mtype = { pending, notRun, ran, unsure };

/* Ledger. */
mtype keyState = absent;
byte holder = NOBODY;
bool tombstone[CLAIMS];
/* Counts fences only: no other entry is ever compared with an entry index. */
byte ledgerIndex = 0;
byte fenceIndex = 0;

/* Network between nodes and the ledger. */
bool claimInFlight[CLAIMS];
bool completeInFlight[CLAIMS];
mtype claimAnswer[CLAIMS] = none;

/* Sends. */
byte entryIndex[SENDS];
bool entered[SENDS];
mtype told[SENDS] = pending;
bool mayNotRun[SENDS]; /* a fence that answered "absent" came after its entry */

/* The target's own record. */
byte runs = 0;
bool crashed[CLAIMS];

inline applyClaim(claim, send) {
  d_step {
    claimInFlight[claim] = false;
    if
    :: keyState == absent && !tombstone[claim] && entryIndex[send] >= fenceIndex ->
       keyState = claimed; holder = claim; claimAnswer[claim] = granted
    :: else -> claimAnswer[claim] = denied
    fi
  }
}

inline applyRelease(claim) {
  d_step {
    tombstone[claim] = true;
    if
    :: keyState == claimed && holder == claim -> keyState = absent; holder = NOBODY
    :: else
    fi
  }
}

/* Ends a send that did not run; the ledger decides what may be said. */
inline fenceAndTell(send) {
  atomic {
#ifdef NO_FENCE
    told[send] = notRun;
    markNotRun()
#else
    ledgerIndex++;
    if
    :: keyState == absent -> fenceIndex = ledgerIndex; told[send] = notRun; markNotRun()
    :: keyState == completed -> told[send] = ran
    :: else -> told[send] = unsure
    fi
#endif
  }
}

/* Every send that has entered by now must never run from here on. */
inline markNotRun() {
  byte each = 0;
  do
  :: each < SENDS -> if :: entered[each] -> mayNotRun[each] = true :: else fi; each++
  :: else -> break
  od;
  each = 0;
  assert(runs == 0)
}

inline dispatch(send) {
  d_step {
    runs++;
    assert(runs <= 1);
    assert(!mayNotRun[send])
  }
}

proctype Send(byte send) {
  byte attempt = 0;
  byte claim;
  /* The node knows some index that is not above the ledger's. */
  atomic {
    entered[send] = true;
    if
    :: entryIndex[send] = ledgerIndex
    :: entryIndex[send] = 0
    fi
  }
nextAttempt:
  claim = send * ATTEMPTS + attempt;
  if
  :: goto refused /* admission refuses */
  :: true -> claimInFlight[claim] = true
  fi;
  if
  :: claimAnswer[claim] == granted -> goto dispatching
  :: claimAnswer[claim] == denied -> goto refused
  :: true -> /* the answer is lost or late */
#ifdef NO_CLAIM
     goto dispatching
#else
     applyRelease(claim); goto refused
#endif
  :: crashed[claim] = true; told[send] = unsure; goto done
  fi;
dispatching:
  if
  :: true -> dispatch(send);
     if
     :: completeInFlight[claim] = true; told[send] = ran; goto done
     :: crashed[claim] = true; told[send] = unsure; goto done
     fi
  :: true -> applyRelease(claim); goto refused /* the target sheds the call */
  :: crashed[claim] = true; told[send] = unsure; goto done
  fi;
refused:
  if
  :: attempt + 1 < ATTEMPTS -> attempt++; goto nextAttempt
  :: true -> skip
  fi;
  fenceAndTell(send);
done:
  skip
}

inline applyComplete(claim) {
  d_step {
    completeInFlight[claim] = false;
    if
    :: (keyState == claimed || keyState == unknown) && holder == claim ->
       keyState = completed
    :: else
    fi
  }
}

/* The deadline of a claim has passed. */
inline expireClaim() {
  d_step {
#ifdef FREE_ON_CRASH
    keyState = absent; holder = NOBODY
#else
    keyState = unknown
#endif
  }
}

#define DELIVER(claim) \
  :: atomic { claimInFlight[claim] -> applyClaim(claim, (claim) / ATTEMPTS) } \
  :: atomic { completeInFlight[claim] -> applyComplete(claim) } \
  :: completeInFlight[claim] -> completeInFlight[claim] = false

/* Delivers or loses delayed messages and ends the claims of crashed nodes. */
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
