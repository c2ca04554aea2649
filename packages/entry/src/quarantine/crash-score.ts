/** How much the crashes of hosts under one request speak against it: hosts are also lost together. Pure. */

import type { HostIncarnation } from '../hosts/host-entry.js';

/** A host ended under a run of a request. */
export type Crash = {
  /** Names the start of the host's process, as `incarnationOf` does. */
  readonly host: string;
  readonly incarnation: HostIncarnation;
  readonly place: string;
  /** When the run was sent and when it was lost, in monotonic milliseconds. */
  readonly sentAt: number;
  readonly at: number;
  readonly sequence: number;
};

/** What speaks against a suspect: the score of its crashes, and the hosts that ended in them. */
export type CrashScore = { readonly score: number; readonly hosts: readonly string[] };

/**
 * Crashes closer together than this are one event, in milliseconds: a loss of power, a link that breaks. Not so
 * for a run that was only sent after the earlier crash.
 */
const SAME_MOMENT_MS = 100;
/** Least length of a run that a request has crashed by itself, in milliseconds: it has to be read first. */
const LEAST_RUN_MS = 10;
/** By how much reports may be late, and times in them with them, in milliseconds: a link or two. */
export const TRANSIT_MS = 20;
/**
 * Crashes in one place closer together than this may be one event, in milliseconds: a rack that goes down. They
 * count half, since a request that crashes hosts meets several of one place where there are few places.
 */
const SAME_PLACE_MS = 1_000;
const SAME_PLACE_SCORE = 0.5;

/**
 * What speaks against a request whose runs were lost in these crashes, in the order of their times. Hosts whose
 * end is explained by another request do not count.
 */
export function crashScoreOf(
  crashes: readonly Crash[],
  explained: ReadonlySet<string>,
): CrashScore {
  const counted: Crash[] = [];
  let score = 0;
  for (const crash of crashes) {
    const isSameMoment = counted.some(earlier => isOneMoment(earlier, crash));
    if (!isSameMoment && !explained.has(crash.host)) {
      const isSamePlace = counted.some(
        ({ at, place }) => place === crash.place && crash.at - at < SAME_PLACE_MS,
      );
      score += isSamePlace ? SAME_PLACE_SCORE : 1;
      counted.push(crash);
    }
  }
  return { score, hosts: counted.map(({ host }) => host) };
}

// A run that was sent after the earlier crash, and went on for a while, was lost for a reason of its own.
function isOneMoment(earlier: Crash, later: Crash): boolean {
  const isNextRun =
    later.sentAt >= earlier.at - TRANSIT_MS && later.at - later.sentAt >= LEAST_RUN_MS;
  return later.at - earlier.at < SAME_MOMENT_MS && !isNextRun;
}
