/**
 * Load shedding: refuses a part of the requests while hosts answer far too late, so that the others are in time.
 *
 * A request that waits in a long queue is late and delays all requests behind it. The refused part rises with the
 * expected time to the first event, as observed by this entry host.
 */
import type { TargetChooser, TargetQuery } from './target-chooser.js';

/** Expected time to the first event, as a multiple of the objective, up to which no request is refused. */
const UNREFUSED_RATIO = 1.5;
/** Slope of the refused part: it would rise from 0 to 1 over this many multiples of the objective. */
const RAMP_RATIO = 3;
/** Upper bound of the refused part, 0 to 1. */
const MAX_REFUSED_PART = 0.8;

/** Returns the part of the requests to refuse, 0 to 1; both times in milliseconds. */
export function refusedPart(expectedFirstMs: number, objectiveMs: number): number {
  const excess = expectedFirstMs / objectiveMs - UNREFUSED_RATIO;
  return Math.min(MAX_REFUSED_PART, Math.max(0, excess / RAMP_RATIO));
}

/** True if a request is to be refused; `draw` is a uniform random number in [0, 1). */
export function shouldRefuse(
  chooser: TargetChooser,
  query: TargetQuery,
  objectiveMs: number,
  draw: number,
): boolean {
  const expected = chooser.expectedFirstMs(query);
  return expected !== undefined && draw < refusedPart(expected, objectiveMs);
}
