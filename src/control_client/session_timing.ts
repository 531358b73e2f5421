/** Times by which a session leaves a control instance that is lost or isolated. */
export interface SessionTiming {
  /** Time between two renewals. */
  readonly renewalIntervalMilliseconds: number;
  /** Time after which an unanswered renewal ends the session. */
  readonly renewalTimeoutMilliseconds: number;
  /**
   * Mean time between searches for another instance while no other one accepts
   * the node, for example because all are isolated.
   */
  readonly isolatedRetryMilliseconds: number;
}

/** Maximum random delays before a node looks for another instance. */
export interface MoveDelays {
  /** After a renewal that was not answered. */
  readonly lostMilliseconds: number;
  /** After an instance became isolated or outdated. */
  readonly outdatedMilliseconds: number;
}

/** Times of a search for a control instance. */
export interface SearchTiming {
  /** Time before the next instance is tried in parallel with one that is silent. */
  readonly attemptDelayMilliseconds: number;
  /**
   * Time after the last attempt before the search starts over. The attempts go on:
   * an instance may be slow, but TCP repeats a lost connection request only after 1,
   * 3 and 7 s, so a new one finds an instance sooner that can be reached again.
   */
  readonly passDelayMilliseconds: number;
}

/**
 * Time to connect to an instance in another region and to receive a document: a few
 * round trips of 24 ms and the decoding.
 */
const connectionMilliseconds = 200;

// Part of the maximum jitter by which nodes of a lost instance are delayed. Little
// is needed, because their renewals are spread over time already. More would risk
// the lease, which is about to end at an instance that cannot be reached.
const lostJitterFraction = 0.2;
// An instance that is isolated or outdated sends no new document, so its nodes
// move sooner.
const outdatedJitterFraction = 0.5;

/** Attempts, one after the other, within a renewal timeout. */
const attemptsPerTimeout = 3;

/**
 * Gets the delays of a session.
 * @param jitterMilliseconds Maximum jitter of a move that is not urgent.
 */
export function getMoveDelays(jitterMilliseconds: number): MoveDelays {
  return {
    lostMilliseconds: jitterMilliseconds * lostJitterFraction,
    outdatedMilliseconds: jitterMilliseconds * outdatedJitterFraction,
  };
}

/** Gets the times of a search by a node that had a session before. */
export function getSearchTiming(
  { renewalTimeoutMilliseconds }: SessionTiming,
): SearchTiming {
  return {
    attemptDelayMilliseconds: renewalTimeoutMilliseconds / attemptsPerTimeout,
    passDelayMilliseconds: renewalTimeoutMilliseconds,
  };
}

/**
 * Gets the longest time from the event that ends the use of an instance to the
 * document of another one, on a machine that is not overloaded.
 * @param event What happens: the instance is silent, the node can reach control
 * again, or the instance tells its nodes to move.
 * @param options Times of the session, its maximum jitter, and how many other
 * instances are silent as well.
 */
export function getReplacementMilliseconds(
  event: "silence" | "return" | "redirect",
  options: {
    timing: SessionTiming;
    jitterMilliseconds: number;
    otherSilentInstances: number;
  },
): number {
  const { timing, jitterMilliseconds, otherSilentInstances } = options;
  const search = getSearchTiming(timing);
  const delays = getMoveDelays(jitterMilliseconds);
  const waits = {
    silence: timing.renewalIntervalMilliseconds +
      timing.renewalTimeoutMilliseconds + delays.lostMilliseconds,
    return: search.passDelayMilliseconds,
    redirect: delays.outdatedMilliseconds,
  };
  return waits[event] +
    otherSilentInstances * search.attemptDelayMilliseconds +
    connectionMilliseconds;
}
