/*
 * Two operators change one document under equal revision numbers, and resend
 * after their answers were lost. The log applies commands one at a time.
 *
 * Checked: each change takes effect at most once; of two changes with the same
 * base one wins; every resend gets the first result; the revision only rises.
 *
 * Variants in which a rule is removed and the checker must find a fault:
 *   NO_CHANGE_ID   the result of a known change is not remembered
 *   NO_COMPARE     the base revision is not compared
 */
#define OPERATORS 2
#define RESENDS 2

mtype = { none, accepted, conflict };

byte revision = 0;
byte effects[OPERATORS];
mtype result[OPERATORS] = none; /* remembered by change id */
mtype firstAnswer[OPERATORS] = none;
byte winnersOfBaseZero = 0;

inline apply(operator, base, answer) {
  d_step {
    if
#ifndef NO_CHANGE_ID
    :: result[operator] != none -> answer = result[operator]
#endif
    :: else ->
       if
#ifdef NO_COMPARE
       :: true ->
#else
       :: revision == base ->
#endif
          revision++;
          effects[operator]++;
          if :: base == 0 -> winnersOfBaseZero++ :: else fi;
          answer = accepted
#ifndef NO_COMPARE
       :: else -> answer = conflict
#endif
       fi;
       result[operator] = answer
    fi;
    assert(effects[operator] <= 1);
    assert(winnersOfBaseZero <= 1);
    assert(firstAnswer[operator] == none || firstAnswer[operator] == answer);
    firstAnswer[operator] = answer
  }
}

proctype Operator(byte operator) {
  byte sends = 0;
  mtype answer;
  do
  :: sends <= RESENDS ->
     sends++;
     apply(operator, 0, answer);
     if
     :: break /* the answer arrives */
     :: skip /* the answer is lost, the operator sends again */
     fi
  :: else -> break
  od
}

init {
  atomic { run Operator(0); run Operator(1) }
}
