/*
 * Model of the replicated log: elections, replication, lost disks, disks that
 * are restored to an older state, and the replacement of an instance, with one
 * change of members at a time.
 *
 * Instances 0 to 2 are the initial voters. Instance 3 has a new data folder and
 * replaces a lost instance; it starts empty and as a non-voter. A message
 * exchange between two instances is one atomic step. A lost message is a step
 * that does not happen, but a vote may also be durable while its response is
 * lost.
 *
 * Checked properties: a committed entry is never lost or changed (compared with
 * the ghost log), and a term has at most one leader.
 *
 * Variants in which one rule is removed, so that the checker must find an error:
 *   VOTE_WHEN_EMPTY   an instance that lost its disk votes without confirmation
 *   VOTE_WHEN_OLDER   an instance with an older disk votes without confirmation
 *   COMPARE_LENGTH    an older disk is detected only by its last index, without
 *                     the term of its last entry
 *   NO_LOG_CHECK      a candidate gets votes even if its log is behind
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef LOSSES
#define LOSSES 1 /* maximum number of lost disks */
#endif
#ifndef OLDER
#define OLDER 0 /* maximum number of disks restored to an older state */
#endif
#if LOSSES > 0
#define INSTANCES 4
#else
#define INSTANCES 3 /* without a replacement */
#endif
#define NO_INSTANCE 15
#define ABSTAINED 14 /* must not vote in the current term */
#define FIRST_VOTERS 7 /* bit mask of instances 0 to 2 */
/* Index of entry n of instance i. */
#define AT(i, n) ((i) * ENTRIES + (n))
#define HAS(mask, i) (((mask) >> (i)) & 1)
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1) + (((mask) >> 3) & 1))
#define IS_MAJORITY(mask, voters) (2 * COUNT((mask) & (voters)) > COUNT(voters))

byte term[INSTANCES];
byte votedFor[INSTANCES] = NO_INSTANCE;
byte length[INSTANCES];
byte entryTerm[INSTANCES * ENTRIES];
byte entryVoters[INSTANCES * ENTRIES]; /* bit mask of the new voters; 0 for a document */
byte commit[INSTANCES];   /* volatile */
bool isLeader[INSTANCES]; /* volatile */
bool isCandidate[INSTANCES];
byte votes[INSTANCES];
bool lost[INSTANCES];     /* the disk is lost */
bool unconfirmed[INSTANCES]; /* started with a restored disk, without confirmation yet */
/* Index of the state of instance s that instance p has durably recorded. */
#define PEER_AT(p, s) ((p) * INSTANCES + (s))
#if OLDER > 0
byte recordedTerm[INSTANCES * INSTANCES];
byte recordedPosition[INSTANCES * INSTANCES]; /* ordered by the last term, then by the length */
#define RECORD_PROGRESS(p, s, newTerm, newPosition) \
  if \
  :: recordedTerm[PEER_AT(p, s)] < (newTerm) -> recordedTerm[PEER_AT(p, s)] = (newTerm); recordedPosition[PEER_AT(p, s)] = (newPosition) \
  :: recordedTerm[PEER_AT(p, s)] == (newTerm) && recordedPosition[PEER_AT(p, s)] < (newPosition) -> recordedPosition[PEER_AT(p, s)] = (newPosition) \
  :: else \
  fi
#define IS_REGRESSED(p, s) (recordedTerm[PEER_AT(p, s)] > term[s] || (recordedTerm[PEER_AT(p, s)] == term[s] && recordedPosition[PEER_AT(p, s)] > POSITION(s)))
#else
#define RECORD_PROGRESS(p, s, newTerm, newPosition) skip
#define IS_REGRESSED(p, s) false
#endif

#if OLDER > 0
byte savedInstance = NO_INSTANCE;
byte savedTerm;
byte savedVote;
byte savedLength;
byte savedEntryTerm[ENTRIES]; /* entryVoters is not saved: it is 0 while LOSSES is 0 */
#endif

/* Ghost state, which only the assertions use. */
byte ghostLength;
byte ghostTerm[ENTRIES];
byte ghostVoters[ENTRIES];
byte ghostCommitTerm[ENTRIES]; /* term of the leader that committed the entry */
byte leaderOfTerm[TERMS + 1] = NO_INSTANCE;
byte losses = 0;
byte restores = 0;

hidden byte voters;
hidden byte other;
hidden byte n;
hidden byte confirmations;
hidden byte isDenied;

/* Gets the voters of the latest change in the log of i, committed or not. */
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
#define IS_ACTIVE(i) (!lost[i] && !unconfirmed[i])

inline stepDown(i) {
  isLeader[i] = false;
  isCandidate[i] = false;
  votes[i] = 0;
  commit[i] = 0
}

inline startElection(i) {
  d_step {
    IS_ACTIVE(i) && !isLeader[i] && term[i] < TERMS ->
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

/* v handles the vote request of candidate c; its response may be lost. */
inline vote(c, v, isLost) {
  d_step {
    isCandidate[c] && IS_ACTIVE(v) && v != c && term[v] <= term[c] ->
    if
    :: term[v] < term[c] -> term[v] = term[c]; votedFor[v] = NO_INSTANCE; stepDown(v)
    :: else
    fi;
    if
    :: (votedFor[v] == NO_INSTANCE || votedFor[v] == c) && IS_UP_TO_DATE(c, v) ->
       votedFor[v] = c;
       if
       :: !isLost ->
          votes[c] = votes[c] | (1 << v);
          RECORD_PROGRESS(c, v, term[v], 0)
       :: else
       fi
    :: else
    fi;
    RECORD_PROGRESS(v, c, term[c], 0)
  }
}

inline becomeLeader(i) {
  d_step {
    isCandidate[i] ->
    getVoters(i);
    if
    :: IS_MAJORITY(votes[i], voters) ->
       assert(leaderOfTerm[term[i]] == NO_INSTANCE || leaderOfTerm[term[i]] == i);
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

/* Copies the log of leader i to f, which is the result of repeated appends. */
inline replicate(i, f) {
  d_step {
    isLeader[i] && f != i && !lost[f] && !unconfirmed[f] && term[f] <= term[i] ->
    if
    :: term[f] < term[i] -> term[f] = term[i]; votedFor[f] = NO_INSTANCE
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
    RECORD_PROGRESS(i, f, term[f], POSITION(f));
    RECORD_PROGRESS(f, i, term[i], POSITION(i))
  }
}

/* By the log matching property, logs of equal length and last term are equal. */
#define HOLDS(i, f) ((f) == (i) || (!lost[f] && !unconfirmed[f] && term[f] == term[i] && length[f] == length[i] && LAST_TERM(f) == LAST_TERM(i)))

#if LOSSES > 0
#define REPLACEMENT_HOLDS(i) (HOLDS(i, 3) -> 8 : 0)
#else
#define REPLACEMENT_HOLDS(i) 0
#endif

/* Commits the log of leader i when a majority of its voters holds all of it. */
inline commitLog(i) {
  d_step {
    isLeader[i] && length[i] > commit[i] && LAST_TERM(i) == term[i] ->
    getVoters(i);
    if
    :: IS_MAJORITY((HOLDS(i, 0) -> 1 : 0) | (HOLDS(i, 1) -> 2 : 0) | (HOLDS(i, 2) -> 4 : 0) | REPLACEMENT_HOLDS(i), voters) ->
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

/* Adds instance 3 or removes a lost instance: one change at a time, and only
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

/* A leader or candidate steps down or restarts, with its disk unchanged. */
inline restart(i) {
  d_step { !lost[i] && (isLeader[i] || isCandidate[i]) -> stepDown(i) }
}

inline clear(i) {
  term[i] = 0;
  votedFor[i] = NO_INSTANCE;
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
  :: n < INSTANCES -> recordedTerm[PEER_AT(i, n)] = 0; recordedPosition[PEER_AT(i, n)] = 0; n++
  :: else -> break
  od
#endif
}

/* Instance i loses its disk. Its new folder has another identity, which is not
 * a voter. */
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
/* Saves a copy of the disk of i, like a backup. */
inline saveDisk(i) {
  d_step {
    savedInstance == NO_INSTANCE && !lost[i] ->
    savedInstance = i;
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

/* Restores the disk of i from the copy. */
inline restoreDisk(i) {
  d_step {
    savedInstance == i && restores < OLDER ->
    restores++;
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

/* Instance i requests the confirmation of its start from the other voters. It
 * needs so many that every majority it was ever part of contains one of them: of
 * 3 voters, both others. */
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
          :: IS_REGRESSED(other, i) -> isDenied = true
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
       if :: votedFor[i] == NO_INSTANCE -> votedFor[i] = ABSTAINED :: else fi
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
  :: startElection(i) \
  :: becomeLeader(i) \
  :: appendDocument(i) \
  :: commitLog(i) \
  :: restart(i) \
  CHANGES(i) \
  :: confirm(i)

/* Starts after the first election, with instance 0 as leader of term 1. Later
 * elections are part of the search. */
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
  :: restoreDisk(0)
  :: restoreDisk(1)
  :: restoreDisk(2)
#endif
  od
}
