/**
 * Decides after how much silence a stalled attempt is reported to other entry hosts, and after how much a second
 * attempt starts: a hedged one beside the first, or a replacement for an attempt that counts as lost. Pure functions.
 *
 * A second attempt processes the whole prompt again, which slows down other requests of its replica group. Before
 * the first event it is worthwhile in two cases only: it can still meet the objective, or the first attempt will
 * never continue. Within a stream, a report also informs other entry hosts that the group is slow.
 */

/** Known state of an attempt that delivers no events at present. */
export type SilentAttempt = {
  /** True once its first event has been received. */
  readonly hasBegun: boolean;
  /** True if it resumes a stream after an event of an earlier attempt; the caller has waited since that event. */
  readonly isResumed: boolean;
  /** True while other streams at the host progress: the host is busy, not lost. */
  readonly hostServesOthers: boolean;
  /** True if the host is unreachable, its entry was removed, or its replica group lacks a member. */
  readonly isLost: boolean;
  /** Objective of the route for the time to the first event, in milliseconds. */
  readonly objectiveMs: number;
  /** Target of the route for the time between two events, in milliseconds. */
  readonly gapTargetMs: number;
  /** Usual time to the first event for this model, in milliseconds; undefined while it is not known. */
  readonly typicalFirstEventMs: number | undefined;
};

/** Limits on the silence of an attempt, in milliseconds. */
export type StallLimits = {
  /** Silence after which the group is reported, so that new requests go to other groups. */
  readonly reportMs: number;
  /** Silence after which a second attempt starts. */
  readonly secondAttemptMs: number;
  /** Silence after which the attempt counts as lost; an attempt that replaces it may use the whole retry budget. */
  readonly lostMs: number;
};

/**
 * Gaps above this multiple of the gap target are outliers. A usual gap is a small fraction of the target. A group
 * with one member that is five times slower has gaps below the target itself, and has to be detected too.
 */
const GAP_REPORT_FACTOR = 0.6;
/** Silence after which a second attempt starts if its first event can still meet the gap target, in gap targets. */
const GAP_SECOND_ATTEMPT_FACTOR = 0.6;
/**
 * Silence after which a second attempt starts if it usually can't meet the gap target, in gap targets. It is longer
 * than most pauses that end by themselves, many of which end just after the target. An unnecessary attempt uses up
 * one of the route's attempts, which the stream lacks if its group is lost later.
 */
const GAP_LATE_SECOND_ATTEMPT_FACTOR = 1.25;
/** The same limit at a host whose other streams progress, in gap targets: most such pauses end by themselves. */
const GAP_BUSY_HOST_FACTOR = 2.5;
/** Silence after which a second attempt starts if the host is lost, as a fraction of the objective or gap target. */
const LOST_HOST_FACTOR = 0.6;
/** Times to the first event above this multiple of the usual time are outliers; long prompts stay below it. */
const FIRST_EVENT_OUTLIER_FACTOR = 2.5;
/**
 * A second attempt starts in time for the objective only if the first attempt has by then been silent for this
 * multiple of the usual time to the first event. Earlier, the second attempt is rarely the faster one.
 */
const FIRST_EVENT_IN_TIME_FACTOR = 1.5;
/** Silence before the first event after which an attempt is reported at the latest, as a multiple of the objective. */
const FIRST_EVENT_REPORT_FACTOR = 1.4;
/**
 * Silence after which a request that missed its objective gets a second attempt, as a multiple of the objective. By
 * then most slow first events have arrived, and callers, who wait for several objectives, have not disconnected yet.
 */
const FIRST_EVENT_LATE_SECOND_ATTEMPT_FACTOR = 2.5;
/**
 * Silence after which an attempt counts as lost if no stream of its host progresses, in gap targets. Callers wait for
 * eight gap targets or more; this is less, since an attempt at another host needs some of that time to begin.
 */
const GAP_LOST_FACTOR = 3;
/** Objective for the first event of a resumed attempt, in gap targets: its caller has already been waiting. */
const RESUMED_OBJECTIVE_GAPS = 2;

/** Limits for an attempt in its present state. */
export function stallLimits(attempt: SilentAttempt): StallLimits {
  const limits = attempt.hasBegun ? gapLimits(attempt) : firstEventLimits(attempt);
  if (!attempt.isLost) {
    return limits;
  }
  const lostHostMs =
    (attempt.hasBegun ? attempt.gapTargetMs : attempt.objectiveMs) * LOST_HOST_FACTOR;
  const secondAttemptMs = Math.min(limits.secondAttemptMs, lostHostMs);
  return { ...limits, secondAttemptMs, lostMs: secondAttemptMs };
}

function gapLimits({
  gapTargetMs,
  hostServesOthers,
  typicalFirstEventMs,
}: SilentAttempt): StallLimits {
  if (hostServesOthers) {
    const busyMs = gapTargetMs * GAP_BUSY_HOST_FACTOR;
    return { reportMs: busyMs, secondAttemptMs: busyMs, lostMs: Infinity };
  }
  const remainingMs = gapTargetMs * (1 - GAP_SECOND_ATTEMPT_FACTOR);
  const canMeetTarget = typicalFirstEventMs !== undefined && typicalFirstEventMs <= remainingMs;
  return {
    reportMs: gapTargetMs * GAP_REPORT_FACTOR,
    secondAttemptMs:
      gapTargetMs * (canMeetTarget ? GAP_SECOND_ATTEMPT_FACTOR : GAP_LATE_SECOND_ATTEMPT_FACTOR),
    lostMs: gapTargetMs * GAP_LOST_FACTOR,
  };
}

function firstEventLimits(attempt: SilentAttempt): StallLimits {
  const { objectiveMs, gapTargetMs, typicalFirstEventMs, isResumed } = attempt;
  const effectiveObjectiveMs = isResumed ? gapTargetMs * RESUMED_OBJECTIVE_GAPS : objectiveMs;
  const latestReportMs = effectiveObjectiveMs * FIRST_EVENT_REPORT_FACTOR;
  const lateSecondAttemptMs = effectiveObjectiveMs * FIRST_EVENT_LATE_SECOND_ATTEMPT_FACTOR;
  if (typicalFirstEventMs === undefined) {
    return {
      reportMs: latestReportMs,
      secondAttemptMs: lateSecondAttemptMs,
      lostMs: lateSecondAttemptMs,
    };
  }
  const reportMs = Math.min(latestReportMs, typicalFirstEventMs * FIRST_EVENT_OUTLIER_FACTOR);
  // Latest silence at which a second attempt would usually still meet the objective.
  const inTimeMs = objectiveMs - typicalFirstEventMs;
  const canMeetObjective =
    !isResumed && inTimeMs >= typicalFirstEventMs * FIRST_EVENT_IN_TIME_FACTOR;
  return {
    reportMs,
    secondAttemptMs: canMeetObjective ? inTimeMs : lateSecondAttemptMs,
    lostMs: lateSecondAttemptMs,
  };
}
