/*
 * Model of document changes: two operators change the same document with the
 * same base revision, and send their changes again after a lost response. The
 * log applies commands one at a time.
 *
 * Checked properties: each change is applied at most once; of two changes with
 * the same base revision, one is accepted; every resend gets the first result;
 * the revision never decreases.
 *
 * Variants in which one rule is removed, so that the checker must find an error:
 *   NO_CHANGE_ID   the stored result of a change id is not used for resends
 *   NO_COMPARE     the base revision is not compared
 */
#define OPERATORS 2
#define RESENDS 2

mtype = { none, accepted, conflict };

byte revision = 0;
byte appliedCount[OPERATORS];
mtype result[OPERATORS] = none; /* stored under the change id */
mtype firstResponse[OPERATORS] = none;
byte acceptedWithBaseZero = 0;

inline apply(operator, base, response) {
  d_step {
    if
#ifndef NO_CHANGE_ID
    :: result[operator] != none -> response = result[operator]
#endif
    :: else ->
       if
#ifdef NO_COMPARE
       :: true ->
#else
       :: revision == base ->
#endif
          revision++;
          appliedCount[operator]++;
          if :: base == 0 -> acceptedWithBaseZero++ :: else fi;
          response = accepted
#ifndef NO_COMPARE
       :: else -> response = conflict
#endif
       fi;
       result[operator] = response
    fi;
    assert(appliedCount[operator] <= 1);
    assert(acceptedWithBaseZero <= 1);
    assert(firstResponse[operator] == none || firstResponse[operator] == response);
    firstResponse[operator] = response
  }
}

proctype Operator(byte operator) {
  byte sends = 0;
  mtype response;
  do
  :: sends <= RESENDS ->
     sends++;
     apply(operator, 0, response);
     if
     :: break /* the response arrives */
     :: skip /* the response is lost, and the operator resends the change */
     fi
  :: else -> break
  od
}

init {
  atomic { run Operator(0); run Operator(1) }
}
