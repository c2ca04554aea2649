/** Scores the crashes of one suspect. Hosts may also be lost together, so not each crash counts fully. */
import type { HostIncarnation } from '../hosts/host-entry.js';

/** The end of a host's process while it ran the suspect. */
export type Crash = {
  /** Identifies the host start, as `incarnationOf` returns it. */
  readonly host: string;
  readonly incarnation: HostIncarnation;
  /** Fabric domain of the host, or its failure domain. */
  readonly place: string;
  /** When the run was sent, in monotonic milliseconds. */
  readonly sentAt: number;
  /** When the run was lost, in monotonic milliseconds. */
  readonly at: number;
  readonly sequence: number;
};

/** The score of a suspect's crashes, and the crashes that count. */
export type CrashScore<T extends Crash = Crash> = {
  readonly score: number;
  readonly crashes: readonly T[];
  /** Hosts that ended in these crashes. */
  readonly hosts: readonly string[];
};

/**
 * Crashes closer together than this count as one event, in milliseconds, such as a power loss or a broken link.
 * This does not apply to a run that was sent after the earlier crash.
 */
const SAME_EVENT_MS = 100;
/** Shortest run that a request can have crashed itself, in milliseconds: the host has to read it first. */
const MIN_RUN_MS = 10;
/** Maximum error of the times in reports, in milliseconds: the delay over one or two links. */
export const TRANSIT_MS = 20;
/**
 * Crashes in one place closer together than this may be one event, in milliseconds, such as the loss of a rack.
 * They count half rather than nothing, since with few places a crashing request ends several hosts of one place.
 */
const SAME_PLACE_MS = 1_000;
const SAME_PLACE_SCORE = 0.5;

/**
 * Scores crashes, which are ordered by time. `weightOf` tells how far the suspect may be the cause of a crash: 1, or less
 * if there is another explanation; with 0 the crash does not count. By default all crashes count fully.
 */
export function crashScoreOf<T extends Crash>(
  crashes: readonly T[],
  weightOf: (crash: T) => number = () => 1,
): CrashScore<T> {
  const counted: T[] = [];
  let score = 0;
  for (const crash of crashes) {
    const isCounted = counted.some(earlier => isSameEvent(earlier, crash));
    const weight = isCounted ? 0 : weightOf(crash);
    if (weight > 0) {
      const isSamePlace = counted.some(
        ({ at, place }) => place === crash.place && crash.at - at < SAME_PLACE_MS,
      );
      score += weight * (isSamePlace ? SAME_PLACE_SCORE : 1);
      counted.push(crash);
    }
  }
  return { score, crashes: counted, hosts: counted.map(({ host }) => host) };
}

// A run that was sent after the earlier crash and lasted at least MIN_RUN_MS was lost in a separate event.
function isSameEvent(earlier: Crash, later: Crash): boolean {
  const isNextRun =
    later.sentAt >= earlier.at - TRANSIT_MS && later.at - later.sentAt >= MIN_RUN_MS;
  return later.at - earlier.at < SAME_EVENT_MS && !isNextRun;
}
