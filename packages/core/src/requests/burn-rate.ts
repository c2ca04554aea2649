/** Burn rates of service levels: how fast the allowed share of bad requests is used up. */
import type { ServiceLevel } from '../configuration/objects.js';

/** Lengths of the windows for which a report gives burn rates, in minutes. */
export const BURN_WINDOWS_MIN = [5, 60, 360] as const;

/** All requests, and those that missed the service level, of a workspace to a model in one window. */
export type BurnCount = { readonly total: number; readonly bad: number };

/** Counts and first-token times of one gateway for a workspace and a model. */
export type BurnSeries = {
  readonly workspace: string;
  readonly model: string;
  /** Counts by window, in the order of `BURN_WINDOWS_MIN`. */
  readonly windows: readonly BurnCount[];
  /** First-token times of the last two hours, as an encoded HDR histogram in microseconds. */
  readonly firstToken: string;
};

/** One line of a burn report: the figures of a workspace and a model over all gateways. */
export type BurnLine = {
  readonly workspace: string;
  readonly model: string;
  /** Burn rate by window: 1 uses up the allowed bad requests exactly; undefined without requests. */
  readonly burn: readonly (number | undefined)[];
  readonly windows: readonly BurnCount[];
  /** 95th percentile of the first-token time, in milliseconds. */
  readonly firstTokenP95Ms: number;
};

/** True when both times of a request are within the service level. */
export function meetsServiceLevel(
  level: ServiceLevel,
  firstTokenMs: number,
  betweenTokensMs: number,
): boolean {
  return firstTokenMs <= level['first-token-ms'] && betweenTokensMs <= level['between-tokens-ms'];
}

/**
 * Share of bad requests divided by the share that the objective (0 to 1) allows; undefined without requests.
 */
export function burnRate(count: BurnCount, objective: number): number | undefined {
  return count.total === 0 ? undefined : count.bad / count.total / (1 - objective);
}

/** Sums the counts of several gateways, window by window. */
export function sumWindows(perGateway: readonly (readonly BurnCount[])[]): BurnCount[] {
  return BURN_WINDOWS_MIN.map((_minutes, index) => ({
    total: perGateway.reduce((sum, windows) => sum + windows[index].total, 0),
    bad: perGateway.reduce((sum, windows) => sum + windows[index].bad, 0),
  }));
}
