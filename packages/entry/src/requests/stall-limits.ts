/**
 * Decides after which silence a run at a host is reported to other entry hosts, and after which a
 * second attempt starts beside it. Pure.
 *
 * A second attempt reads the whole prompt anew and makes its group slower for all. Before the first
 * event it pays in two cases only: it can still be in time, or the first host will not go on at all.
 * Within a stream it also shows the others that a group is slow, which is worth more than it costs.
 */

/** What is known of a run that is silent. */
export type SilentRun = {
  /** Its first event has come. */
  readonly begun: boolean;
  /** It goes on behind an event of an earlier run, so that its caller waits since that one. */
  readonly resumed: boolean;
  /** Others' streams at the host go on meanwhile: it is busy, not lost. */
  readonly hostServesOthers: boolean;
  /** Entry hosts can not connect to the host any more, its entry has gone, or its group stands still. */
  readonly isGone: boolean;
  readonly objectiveMs: number;
  readonly gapTargetMs: number;
  /** Usual time to the first event of the model, in milliseconds; undefined while not known. */
  readonly typicalFirstMs: number | undefined;
};

/** Silences in milliseconds. */
export type StallLimits = {
  /** The group is reported, and new requests go elsewhere. */
  readonly reportMs: number;
  /** A second attempt starts. */
  readonly secondAttemptMs: number;
  /** The run is as good as lost: what follows is no second attempt beside it, but one in its place. */
  readonly lostMs: number;
};

/**
 * Gaps of this part of the target are outliers: on the users' engines a usual gap is an eighth of it, and
 * a group of which one member is five times slower stays below the target itself. Reported at 0.6,
 * seconds with such a group earned 0.90 to 0.95 of their credit, at 1 0.84 (played days).
 */
const GAP_REPORT_PART = 0.6;
/** A second attempt that starts here can still bring its first event within the target. */
const GAP_SECOND_PART = 0.6;
/**
 * Where it usually can not, the second attempt waits until the gap is late in any case and longer than
 * the pauses that end by themselves, of which many end just behind the target. An attempt that was not
 * needed has used up one of the route's, which its stream lacks when its group is lost later.
 */
const GAP_SECOND_LATE_PART = 1.25;
/** The same at a host that serves others meanwhile: most such pauses end by themselves. */
const GAP_BUSY_PART = 2.5;
/** Part of the objective or gap target that is waited for where the host is known to be lost. */
const GONE_PART = 0.6;
/** Times to the first event this much over the usual one are outliers; long prompts stay below. */
const FIRST_OUTLIER_FACTOR = 2.5;
/** The usual time has to have passed by half before a second attempt can be the quicker one. */
const FIRST_SECOND_FACTOR = 1.5;
/** Silence before the first event after which a request is late in any case, of the objective. */
const FIRST_LATE_PART = 1.4;
/**
 * Silence after which a late request gets a second attempt that can not be in time: callers leave after
 * two seconds or four objectives, and of those that started at 1.4 two thirds were for nothing.
 */
const FIRST_SECOND_LATE_PART = 2.5;
/**
 * Gap targets of silence, at a host that serves nobody, after which a run counts as lost. Callers leave
 * after eight of them at the earliest, and a run elsewhere needs some to begin.
 */
const GAP_LOST_PART = 3;
/** Gap targets within which a resumed run should bring its first event. */
const RESUMED_GAPS = 2;

/** The limits of a run as things stand. */
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
  // The last moment at which a second attempt would usually be in time.
  const inTimeMs = objectiveMs - typicalFirstMs;
  const rescues = !resumed && inTimeMs >= typicalFirstMs * FIRST_SECOND_FACTOR;
  return { reportMs, secondAttemptMs: rescues ? inTimeMs : secondLateMs, lostMs: secondLateMs };
}
