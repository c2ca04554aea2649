/** Which processes are suspended by signals, for how long, and what an operator does meanwhile. */
import type { Child } from '../deployment/child.js';
import type { Deployment } from '../deployment/deployment.js';

/** What an operator does in each round. */
export type OperatorAction = 'none' | 'drains a host' | 'upgrades the model';

/** One way of suspending processes, repeated for some rounds. */
export type SuspensionCase = {
  readonly name: string;
  /** The processes of a round; `draw` is uniform in [0, 1). */
  readonly subjects: (deployment: Deployment, draw: () => number) => readonly Child[];
  readonly leastMs: number;
  readonly mostMs: number;
  /** Whether all subjects are suspended for the same time, or each for a time of its own. */
  readonly together: boolean;
  readonly operator: OperatorAction;
};

/** All cases by name. */
export const SUSPENSION_CASES: readonly SuspensionCase[] = [
  { name: 'one entry process', subjects: oneEntry, leastMs: 300, mostMs: 1_400, ...alone() },
  { name: 'all controllers', subjects: controllers, leastMs: 500, mostMs: 2_500, ...alone() },
  { name: 'all entry processes', subjects: entries, leastMs: 500, mostMs: 2_500, ...alone() },
  {
    name: 'all entry processes, long',
    subjects: entries,
    leastMs: 2_000,
    mostMs: 4_000,
    ...alone(),
  },
  {
    name: 'entry processes, each for its own time',
    subjects: entries,
    leastMs: 300,
    mostMs: 2_500,
    ...apart(),
  },
  { name: 'engines and platform', subjects: standIns, leastMs: 600, mostMs: 1_400, ...alone() },
  {
    name: 'engines and platform, long',
    subjects: standIns,
    leastMs: 1_400,
    mostMs: 2_400,
    ...alone(),
  },
  {
    name: 'everything, each for its own time',
    subjects: everything,
    leastMs: 300,
    mostMs: 1_400,
    ...apart(),
  },
  {
    name: 'one entry process, drain',
    subjects: oneEntry,
    leastMs: 500,
    mostMs: 2_500,
    ...during('drains a host'),
  },
  {
    name: 'engines and platform, drain',
    subjects: standIns,
    leastMs: 600,
    mostMs: 1_400,
    ...during('drains a host'),
  },
  {
    name: 'everything, drain',
    subjects: everything,
    leastMs: 300,
    mostMs: 1_400,
    ...during('drains a host', false),
  },
  {
    name: 'one entry process, upgrade',
    subjects: oneEntry,
    leastMs: 500,
    mostMs: 2_500,
    ...during('upgrades the model'),
  },
  {
    name: 'engines and platform, upgrade',
    subjects: standIns,
    leastMs: 600,
    mostMs: 1_400,
    ...during('upgrades the model'),
  },
];

function alone(): Pick<SuspensionCase, 'together' | 'operator'> {
  return { together: true, operator: 'none' };
}

function apart(): Pick<SuspensionCase, 'together' | 'operator'> {
  return { together: false, operator: 'none' };
}

function during(
  operator: OperatorAction,
  together = true,
): Pick<SuspensionCase, 'together' | 'operator'> {
  return { together, operator };
}

function controllers(deployment: Deployment): readonly Child[] {
  return deployment.controllers.map(({ child }) => child);
}

function entries(deployment: Deployment): readonly Child[] {
  return [...deployment.controllers, ...deployment.gateways].map(({ child }) => child);
}

function oneEntry(deployment: Deployment, draw: () => number): readonly Child[] {
  const all = entries(deployment);
  return all.slice(Math.floor(draw() * all.length)).slice(0, 1);
}

function standIns(deployment: Deployment): readonly Child[] {
  return deployment.standIns === undefined ? [] : [deployment.standIns.child];
}

function everything(deployment: Deployment): readonly Child[] {
  return [...entries(deployment), ...standIns(deployment)];
}
