/**
 * Decides after which silence a stalled run is reported to other entry hosts, and after which a second
 * attempt is started: a hedged one beside the run, or one in place of a run that counts as lost. Pure.
 *
 * A second attempt processes the whole prompt again, which slows its group down for others. Before the
 * first event it pays in two cases only: it can still meet the objective, or the first run will not go on
 * at all. Within a stream a report also tells other entry hosts that the group is slow.
 */

/** What is known of a run that is silent. */
export type SilentRun = {
  /** Its first event has come. */
  readonly begun: boolean;
  /** It resumes a stream after an event of an earlier run, since which its caller has been waiting. */
  readonly resumed: boolean;
  /** Other streams at the host progress meanwhile: it is busy, not lost. */
  readonly hostServesOthers: boolean;
  /** The host is unreachable, its entry has gone, or its group lacks a member. */
  readonly isGone: boolean;
  readonly objectiveMs: number;
  readonly gapTargetMs: number;
  /** Usual time to the first event of the model, in milliseconds; undefined while not known. */
  readonly typicalFirstMs: number | undefined;
};

/** Silences in milliseconds. */
export type StallLimits = {
  /** The group is reported, so that new requests go to others. */
  readonly reportMs: number;
  /** A second attempt starts. */
  readonly secondAttemptMs: number;
  /** The run counts as lost: an attempt that starts then replaces it and may use the whole budget. */
  readonly lostMs: number;
};

/**
 * Gaps above this part of the target are outliers. A usual gap is a small part of the target; a group with
 * one member that is five times slower shows gaps below the target itself, and has to be noticed too.
 */
const GAP_REPORT_PART = 0.6;
/** Silence after which a second attempt starts where its first event can still come within the target. */
const GAP_SECOND_PART = 0.6;
/**
 * Silence after which it starts where it usually can't: longer than the target and than most pauses that
 * end by themselves, many of which end just after the target. An attempt that was not needed uses up one of
 * the route's attempts, which the stream then lacks when its group is lost later.
 */
const GAP_SECOND_LATE_PART = 1.25;
/** The same at a host that serves others meanwhile: most such pauses end by themselves. */
const GAP_BUSY_PART = 2.5;
/** Silence after which it starts where the host is known to be lost, of the objective or gap target. */
const GONE_PART = 0.6;
/** Times to the first event above this multiple of the usual one are outliers; long prompts stay below. */
const FIRST_OUTLIER_FACTOR = 2.5;
/** Multiple of the usual time to the first event before which a second attempt is hardly the faster one. */
const FIRST_SECOND_FACTOR = 1.5;
/** Silence before the first event after which a run is reported at the latest, of the objective. */
const FIRST_LATE_PART = 1.4;
/**
 * Silence after which a request that missed its objective gets a second attempt, as a multiple of the
 * objective: late enough that most slow first events have come, and early enough that callers, who wait for
 * some objectives, have not left.
 */
const FIRST_SECOND_LATE_PART = 2.5;
/**
 * Silence after which a run counts as lost, at a host of which no stream progresses, in gap targets. Less
 * than callers wait for (eight and more), since a run at another host needs some to begin.
 */
const GAP_LOST_PART = 3;
/** Objective for the first event of a resumed run, in gap targets: its caller has been waiting already. */
const RESUMED_GAPS = 2;

/** The limits of a run in its present state. */
export function stallLimits(run: SilentRun): StallLimits {
  const limits = run.begun ? gapLimits(run) : firstLimits(run);
  if (!run.isGone) {
    return limits;
  }
  const soonMs = (run.begun ? run.gapTargetMs : run.objectiveMs) * GONE_PART;
  const secondAttemptMs = Math.min(limits.secondAttemptMs, soonMs);
  return { ...limits, secondAttemptMs, lostMs: secondAttemptMs };
}

function gapLimits({ gapTargetMs, hostServesOthers, typicalFirstMs }: SilentRun): StallLimits {
  if (hostServesOthers) {
    const busyMs = gapTargetMs * GAP_BUSY_PART;
    return { reportMs: busyMs, secondAttemptMs: busyMs, lostMs: Infinity };
  }
  const inTimeMs = gapTargetMs * (1 - GAP_SECOND_PART);
  const rescues = typicalFirstMs !== undefined && typicalFirstMs <= inTimeMs;
  return {
    reportMs: gapTargetMs * GAP_REPORT_PART,
    secondAttemptMs: gapTargetMs * (rescues ? GAP_SECOND_PART : GAP_SECOND_LATE_PART),
    lostMs: gapTargetMs * GAP_LOST_PART,
  };
}

function firstLimits(run: SilentRun): StallLimits {
  const { objectiveMs, gapTargetMs, typicalFirstMs, resumed } = run;
  const aimMs = resumed ? gapTargetMs * RESUMED_GAPS : objectiveMs;
  const lateMs = aimMs * FIRST_LATE_PART;
  const secondLateMs = aimMs * FIRST_SECOND_LATE_PART;
  if (typicalFirstMs === undefined) {
    return { reportMs: lateMs, secondAttemptMs: secondLateMs, lostMs: secondLateMs };
  }
  const reportMs = Math.min(lateMs, typicalFirstMs * FIRST_OUTLIER_FACTOR);
  // The latest moment at which a second attempt would usually still meet the objective.
  const inTimeMs = objectiveMs - typicalFirstMs;
  const rescues = !resumed && inTimeMs >= typicalFirstMs * FIRST_SECOND_FACTOR;
  return { reportMs, secondAttemptMs: rescues ? inTimeMs : secondLateMs, lostMs: secondLateMs };
}
