/*
 * The replicated log: elections, replication, lost and older disks, and the
 * replacement of an instance, one change of members at a time.
 *
 * Instances 0..2 are the first voters. Instance 3 is the new data folder that
 * replaces a lost one; it starts empty and as a non-voter. A step between two
 * instances is atomic; lost messages are steps that do not happen, and a vote
 * may be recorded although its answer is lost.
 *
 * Checked: a committed entry is never lost or changed (ghost log), and a term
 * has at most one leader.
 *
 * Variants in which a rule is removed and the checker must find a fault:
 *   VOTE_WHEN_EMPTY   an instance whose disk was lost votes at once
 *   VOTE_WHEN_OLDER   an instance with an older disk votes unconfirmed
 *   COMPARE_LENGTH    an older disk is told by its last index alone, without
 *                     the term of its last entry
 *   NO_LOG_CHECK      votes go to candidates whose log is behind
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef LOSSES
#define LOSSES 1 /* disks that are lost */
#endif
#ifndef OLDER
#define OLDER 0 /* disks that go back to an earlier state */
#endif
#if LOSSES > 0
#define INSTANCES 4
#else
#define INSTANCES 3 /* nothing is replaced */
#endif
#define NOBODY 15
#define ABSTAINED 14 /* gives no vote in this term */
#define FIRST_VOTERS 7
#define AT(i, n) ((i) * ENTRIES + (n))
#define HAS(mask, i) (((mask) >> (i)) & 1)
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1) + (((mask) >> 3) & 1))
#define IS_MAJORITY(mask, voters) (2 * COUNT((mask) & (voters)) > COUNT(voters))

byte term[INSTANCES];
byte votedFor[INSTANCES] = NOBODY;
byte length[INSTANCES];
byte entryTerm[INSTANCES * ENTRIES];
byte entryVoters[INSTANCES * ENTRIES]; /* 0 for a document, else the new voters */
byte commit[INSTANCES];   /* volatile */
bool isLeader[INSTANCES]; /* volatile */
bool isCandidate[INSTANCES];
byte votes[INSTANCES];
bool lost[INSTANCES];     /* the disk is gone */
bool unconfirmed[INSTANCES];
/* What instance p durably remembers of instance s: AT2(p, s). */
#define AT2(p, s) ((p) * INSTANCES + (s))
#if OLDER > 0
byte seenTerm[INSTANCES * INSTANCES];
byte seenPosition[INSTANCES * INSTANCES]; /* last term and length, in this order */
#define REMEMBER(p, s, itsTerm, itsPosition) \
  if \
  :: seenTerm[AT2(p, s)] < (itsTerm) -> seenTerm[AT2(p, s)] = (itsTerm); seenPosition[AT2(p, s)] = (itsPosition) \
  :: seenTerm[AT2(p, s)] == (itsTerm) && seenPosition[AT2(p, s)] < (itsPosition) -> seenPosition[AT2(p, s)] = (itsPosition) \
  :: else \
  fi
#define HAS_GONE_BACK(p, s) (seenTerm[AT2(p, s)] > term[s] || (seenTerm[AT2(p, s)] == term[s] && seenPosition[AT2(p, s)] > POSITION(s)))
#else
#define REMEMBER(p, s, itsTerm, itsPosition) skip
#define HAS_GONE_BACK(p, s) false
#endif

#if OLDER > 0
byte savedOf = NOBODY;
byte savedTerm;
byte savedVote;
byte savedLength;
byte savedEntryTerm[ENTRIES]; /* without changes of members: LOSSES is 0 */
#endif

/* Ghosts. */
byte ghostLength;
byte ghostTerm[ENTRIES];
byte ghostVoters[ENTRIES];
byte ghostCommitTerm[ENTRIES]; /* term of the leader that committed it */
byte leaderOfTerm[TERMS + 1] = NOBODY;
byte losses = 0;
byte older = 0;

hidden byte voters;
hidden byte other;
hidden byte n;
hidden byte confirmations;
hidden byte isDenied;

/* Gets the voters by the latest change in the log of i, committed or not. */
inline getVoters(i) {
  voters = FIRST_VOTERS;
  n = 0;
  do
  :: n < length[i] -> if :: entryVoters[AT(i, n)] != 0 -> voters = entryVoters[AT(i, n)] :: else fi; n++
  :: else -> break
  od
}

#define LAST_TERM(i) (length[i] == 0 -> 0 : entryTerm[AT(i, length[i] - 1)])
#ifdef COMPARE_LENGTH
#define POSITION(i) length[i]
#else
#define POSITION(i) (LAST_TERM(i) * 8 + length[i])
#endif
#ifdef NO_LOG_CHECK
#define IS_UP_TO_DATE(c, v) true
#else
#define IS_UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && length[c] >= length[v]))
#endif
#define MAY_ACT(i) (!lost[i] && !unconfirmed[i])

inline stepDown(i) {
  isLeader[i] = false;
  isCandidate[i] = false;
  votes[i] = 0;
  commit[i] = 0
}

inline stand(i) {
  d_step {
    MAY_ACT(i) && !isLeader[i] && term[i] < TERMS ->
    getVoters(i);
    if
    :: HAS(voters, i) ->
       term[i]++;
       votedFor[i] = i;
       isCandidate[i] = true;
       votes[i] = 1 << i
    :: else
    fi
  }
}

/* v answers candidate c; the answer may be lost. */
inline vote(c, v, isLost) {
  d_step {
    isCandidate[c] && MAY_ACT(v) && v != c && term[v] <= term[c] ->
    if
    :: term[v] < term[c] -> term[v] = term[c]; votedFor[v] = NOBODY; stepDown(v)
    :: else
    fi;
    if
    :: (votedFor[v] == NOBODY || votedFor[v] == c) && IS_UP_TO_DATE(c, v) ->
       votedFor[v] = c;
       if
       :: !isLost ->
          votes[c] = votes[c] | (1 << v);
          REMEMBER(c, v, term[v], 0)
       :: else
       fi
    :: else
    fi;
    REMEMBER(v, c, term[c], 0)
  }
}

inline lead(i) {
  d_step {
    isCandidate[i] ->
    getVoters(i);
    if
    :: IS_MAJORITY(votes[i], voters) ->
       assert(leaderOfTerm[term[i]] == NOBODY || leaderOfTerm[term[i]] == i);
       leaderOfTerm[term[i]] = i;
       stepDown(i);
       isLeader[i] = true;
       n = 0;
       do
       :: n < ghostLength ->
          assert(ghostCommitTerm[n] >= term[i] ||
                 (n < length[i] && entryTerm[AT(i, n)] == ghostTerm[n] && entryVoters[AT(i, n)] == ghostVoters[n]));
          n++
       :: else -> break
       od
    :: else
    fi
  }
}

inline append(i, change) {
  entryTerm[AT(i, length[i])] = term[i];
  entryVoters[AT(i, length[i])] = change;
  length[i]++
}

inline appendDocument(i) {
  d_step { isLeader[i] && length[i] < ENTRIES -> append(i, 0) }
}

/* Copies the leader's log to f, which is what repeated appends come to. */
inline replicate(i, f) {
  d_step {
    isLeader[i] && f != i && !lost[f] && !unconfirmed[f] && term[f] <= term[i] ->
    if
    :: term[f] < term[i] -> term[f] = term[i]; votedFor[f] = NOBODY
    :: else
    fi;
    stepDown(f);
    n = 0;
    do
    :: n < ENTRIES ->
       entryTerm[AT(f, n)] = (n < length[i] -> entryTerm[AT(i, n)] : 0);
       entryVoters[AT(f, n)] = (n < length[i] -> entryVoters[AT(i, n)] : 0);
       n++
    :: else -> break
    od;
    length[f] = length[i];
    REMEMBER(i, f, term[f], POSITION(f));
    REMEMBER(f, i, term[i], POSITION(i))
  }
}

/* Logs of the same length and last term are the same (log matching). */
#define HOLDS(i, f) ((f) == (i) || (!lost[f] && !unconfirmed[f] && term[f] == term[i] && length[f] == length[i] && LAST_TERM(f) == LAST_TERM(i)))

#if LOSSES > 0
#define NEW_ONE_HOLDS(i) (HOLDS(i, 3) -> 8 : 0)
#else
#define NEW_ONE_HOLDS(i) 0
#endif

/* Commits the whole log of leader i when a majority of its voters holds it. */
inline commitLog(i) {
  d_step {
    isLeader[i] && length[i] > commit[i] && LAST_TERM(i) == term[i] ->
    getVoters(i);
    if
    :: IS_MAJORITY((HOLDS(i, 0) -> 1 : 0) | (HOLDS(i, 1) -> 2 : 0) | (HOLDS(i, 2) -> 4 : 0) | NEW_ONE_HOLDS(i), voters) ->
       n = 0;
       do
       :: n < length[i] ->
          if
          :: n < ghostLength -> assert(ghostTerm[n] == entryTerm[AT(i, n)] && ghostVoters[n] == entryVoters[AT(i, n)])
          :: else -> ghostTerm[n] = entryTerm[AT(i, n)]; ghostVoters[n] = entryVoters[AT(i, n)]; ghostCommitTerm[n] = term[i]
          fi;
          n++
       :: else -> break
       od;
       if :: ghostLength < length[i] -> ghostLength = length[i] :: else fi;
       commit[i] = length[i]
    :: else
    fi
  }
}

/* Adds instance 3, or removes a lost one: one change at a time, and only
 * after an entry of the leader's own term is committed. */
inline changeMembers(i, change) {
  d_step {
    isLeader[i] && length[i] < ENTRIES && commit[i] == length[i] && commit[i] > 0 && LAST_TERM(i) == term[i] ->
    getVoters(i);
    if
    :: change == 3 && !HAS(voters, 3) && losses > 0 && HOLDS(i, INSTANCES - 1) -> append(i, voters | 8)
    :: change < 3 && change != i && HAS(voters, 3) && HAS(voters, change) && lost[change] -> append(i, voters & ~(1 << change))
    :: else
    fi
  }
}

/* A leader stops leading or an instance restarts with its disk as it was. */
inline restart(i) {
  d_step { !lost[i] && (isLeader[i] || isCandidate[i]) -> stepDown(i) }
}

inline clear(i) {
  term[i] = 0;
  votedFor[i] = NOBODY;
  length[i] = 0;
  stepDown(i);
  n = 0;
  do
  :: n < ENTRIES -> entryTerm[AT(i, n)] = 0; entryVoters[AT(i, n)] = 0; n++
  :: else -> break
  od;
#if OLDER > 0
  n = 0;
  do
  :: n < INSTANCES -> seenTerm[AT2(i, n)] = 0; seenPosition[AT2(i, n)] = 0; n++
  :: else -> break
  od
#endif
}

/* The disk is lost. The empty folder has another identity, which is no voter. */
inline loseDisk(i) {
  d_step {
    losses < LOSSES && !lost[i] ->
    losses++;
    clear(i);
#ifdef VOTE_WHEN_EMPTY
    lost[i] = false
#else
    lost[i] = true
#endif
  }
}

#if OLDER > 0
/* Copies the disk of i, as a backup does. */
inline saveDisk(i) {
  d_step {
    savedOf == NOBODY && !lost[i] ->
    savedOf = i;
    savedTerm = term[i];
    savedVote = votedFor[i];
    savedLength = length[i];
    n = 0;
    do
    :: n < length[i] -> savedEntryTerm[n] = entryTerm[AT(i, n)]; n++
    :: else -> break
    od;
    n = 0
  }
}

/* The disk goes back to the copy. */
inline goBack(i) {
  d_step {
    savedOf == i && older < OLDER ->
    older++;
    stepDown(i);
    term[i] = savedTerm;
    votedFor[i] = savedVote;
    length[i] = savedLength;
    n = 0;
    do
    :: n < ENTRIES -> entryTerm[AT(i, n)] = (n < savedLength -> savedEntryTerm[n] : 0); n++
    :: else -> break
    od;
#ifdef VOTE_WHEN_OLDER
    unconfirmed[i] = false
#else
    unconfirmed[i] = true
#endif
  }
}
#endif

/* Instance i asks the other voters what they remember of it. It needs the word
 * of so many that every quorum it was ever part of has one of them: of 3
 * voters both others. */
inline confirm(i) {
  d_step {
    unconfirmed[i] ->
    getVoters(i);
    confirmations = 0;
    isDenied = false;
    other = 0;
    do
    :: other < INSTANCES ->
       if
       :: other != i && HAS(voters, other) && !lost[other] && !unconfirmed[other] ->
          if
          :: HAS_GONE_BACK(other, i) -> isDenied = true
          :: else -> confirmations++
          fi
       :: else
       fi;
       other++
    :: else -> break
    od;
    if
    :: !isDenied && confirmations >= COUNT(voters) / 2 + 1 ->
       unconfirmed[i] = false;
       if :: votedFor[i] == NOBODY -> votedFor[i] = ABSTAINED :: else fi
    :: else
    fi
  }
}

#define PAIR(c, v) \
  :: vote(c, v, false) \
  :: vote(c, v, true) \
  :: replicate(c, v)

#if LOSSES > 0
#define CHANGES(i) \
  :: changeMembers(i, 0) \
  :: changeMembers(i, 1) \
  :: changeMembers(i, 2) \
  :: changeMembers(i, 3)
#else
#define CHANGES(i)
#endif

#define INSTANCE(i) \
  :: stand(i) \
  :: lead(i) \
  :: appendDocument(i) \
  :: commitLog(i) \
  :: restart(i) \
  CHANGES(i) \
  :: confirm(i)

/* Starts after the first election: instance 0 leads term 1. Every later
 * election is part of the search. */
active proctype Group() {
  d_step {
    term[0] = 1; term[1] = 1; term[2] = 1;
    votedFor[0] = 0; votedFor[1] = 0; votedFor[2] = 0;
    isLeader[0] = true;
    leaderOfTerm[1] = 0
  }
end:
  do
  INSTANCE(0)
  INSTANCE(1)
  INSTANCE(2)
#if LOSSES > 0
  INSTANCE(3)
  PAIR(0, 3) PAIR(1, 3) PAIR(2, 3)
  PAIR(3, 0) PAIR(3, 1) PAIR(3, 2)
#endif
  PAIR(0, 1) PAIR(0, 2)
  PAIR(1, 0) PAIR(1, 2)
  PAIR(2, 0) PAIR(2, 1)
  :: loseDisk(0)
  :: loseDisk(1)
  :: loseDisk(2)
#if OLDER > 0
  :: saveDisk(0)
  :: saveDisk(1)
  :: saveDisk(2)
  :: goBack(0)
  :: goBack(1)
  :: goBack(2)
#endif
  od
}
