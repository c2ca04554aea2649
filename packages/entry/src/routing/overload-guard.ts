/**
 * Refuses a part of the requests while hosts answer far too late, so that the others are in time.
 *
 * A request that waits in a long queue is late, and makes all behind it late. The part that is
 * refused rises with the expected time to the first event, as this entry host has seen it.
 */
import type { TargetChooser, TargetQuery } from './target-chooser.js';

/** Expected time, as a part of the objective, up to which every request is taken. */
const FREE_PART = 1.5;
/** Widths over which the refused part rises to its greatest. */
const RAMP_PART = 3;
const MOST_REFUSED = 0.8;

/** Part of the requests to refuse, 0 to 1. */
export function refusedPart(expectedFirstMs: number, objectiveMs: number): number {
  const over = expectedFirstMs / objectiveMs - FREE_PART;
  return Math.min(MOST_REFUSED, Math.max(0, over / RAMP_PART));
}

/** True when a request is to be refused; `draw` is uniform in [0, 1). */
export function isRefused(
  chooser: TargetChooser,
  query: TargetQuery,
  objectiveMs: number,
  draw: number,
): boolean {
  const expected = chooser.expectedFirstMs(query);
  return expected !== undefined && draw < refusedPart(expected, objectiveMs);
}
