/** How the targets of a request stand when it is given none: what refused it, and what it may wait for. Pure. */
import type { Eligibility } from './eligibility.js';

/** Why one target is not given to a request. */
export type TargetStanding =
  | Exclude<Eligibility, 'eligible'>
  /** The request was sent to it before. */
  | 'tried'
  /** It may take the request, as soon as it is asked again. */
  | 'eligible';

/** Why a request has no target, as logs and counters tell it. */
export type NoTargetVerdict =
  | TargetStanding
  /** No host serves what the request asks for. */
  | 'no-host';

/** All targets that serve what a request asks for. */
export type TargetStandings = {
  /** Of each of them. */
  readonly standings: readonly TargetStanding[];
  /** Groups that may serve it, and do not yet: those that form where the request may go. */
  readonly forming: number;
};

/** Standings that an operator ends, in minutes: no request lives to see it. */
const LASTING: ReadonlySet<TargetStanding> = new Set(['evacuated', 'outside-home-regions']);

/**
 * False where waiting can bring no target: an operator's order or the request's home regions keep it
 * from each one that it has not tried. Where nothing serves at all, a group may be on its way.
 */
export function isWorthWaiting({ standings, forming }: TargetStandings): boolean {
  const untried = standings.filter(standing => standing !== 'tried');
  const isBarred = untried.length > 0 && untried.every(standing => LASTING.has(standing));
  return !isBarred || forming > 0;
}

/** The verdict that most of the targets share; those that were tried count last. */
export function verdictOf({ standings }: TargetStandings): NoTargetVerdict {
  const untried = standings.filter(standing => standing !== 'tried');
  const from = untried.length > 0 ? untried : standings;
  const counts = countByStanding(from);
  return counts.reduce((most, one) => (one.count > most.count ? one : most), NOTHING).standing;
}

/** All verdicts with how many targets have them, for one field of a log line. */
export function describeStandings({ standings }: TargetStandings): string {
  return countByStanding(standings)
    .map(({ standing, count }) => `${standing}:${count}`)
    .join(',');
}

type StandingCount = { readonly standing: NoTargetVerdict; readonly count: number };

const NOTHING: StandingCount = { standing: 'no-host', count: 0 };

function countByStanding(standings: readonly TargetStanding[]): readonly StandingCount[] {
  return [...new Set(standings)].map(standing => ({
    standing,
    count: standings.filter(other => other === standing).length,
  }));
}
