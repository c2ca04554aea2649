/** Burn of service levels: how fast the part of requests that may be bad is used up. */
import type { ServiceLevel } from '../configuration/objects.js';

/** Windows that a report looks at, in minutes. */
export const BURN_WINDOWS_MIN = [5, 60, 360] as const;

/** Requests of a workspace on a model in one window. */
export type BurnCount = { readonly total: number; readonly bad: number };

/** What one gateway counted for a workspace and a model. */
export type BurnSeries = {
  readonly workspace: string;
  readonly model: string;
  /** Counts by window, in the order of `BURN_WINDOWS_MIN`. */
  readonly windows: readonly BurnCount[];
  /** First-token times of the last two hours, as an encoded HDR histogram in microseconds. */
  readonly firstToken: string;
};

/** One line of a report. */
export type BurnLine = {
  readonly workspace: string;
  readonly model: string;
  /** Burn rate by window: 1 uses the allowance up exactly; undefined without requests. */
  readonly burn: readonly (number | undefined)[];
  readonly windows: readonly BurnCount[];
  /** First-token time in milliseconds that 95 in 100 requests stayed below. */
  readonly firstTokenP95Ms: number;
};

/** Whether a request kept its service level. */
export function keepsLevel(
  level: ServiceLevel,
  firstTokenMs: number,
  betweenTokensMs: number,
): boolean {
  return firstTokenMs <= level['first-token-ms'] && betweenTokensMs <= level['between-tokens-ms'];
}

/** Burn rate of a count under an objective. */
export function burnRate(count: BurnCount, objective: number): number | undefined {
  return count.total === 0 ? undefined : count.bad / count.total / (1 - objective);
}

/** Sums counts of several gateways, window by window. */
export function sumWindows(all: readonly (readonly BurnCount[])[]): BurnCount[] {
  return BURN_WINDOWS_MIN.map((_minutes, index) => ({
    total: all.reduce((sum, windows) => sum + windows[index].total, 0),
    bad: all.reduce((sum, windows) => sum + windows[index].bad, 0),
  }));
}
