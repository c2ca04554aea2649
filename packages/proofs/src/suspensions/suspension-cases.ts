/** Suspension cases: which processes are suspended by signals, for how long, and what an operator does meanwhile. */
import type { Child } from '../deployment/child.js';
import type { Deployment } from '../deployment/deployment.js';

/** The operator's action in each round, before the suspension. */
export type OperatorAction = 'none' | 'drains a host' | 'upgrades the model';

/** One way to suspend processes; a session repeats it for several rounds. */
export type SuspensionCase = {
  readonly name: string;
  /** Selects the processes that a round suspends; `draw` returns a uniform random number in [0, 1). */
  readonly subjects: (deployment: Deployment, draw: () => number) => readonly Child[];
  /** Shortest suspension. */
  readonly leastMs: number;
  /** Longest suspension. */
  readonly mostMs: number;
  /** Whether all processes are suspended for the same time, or each for its own random time. */
  readonly together: boolean;
  readonly operator: OperatorAction;
};

/** All cases; their names select them on the command line and in tests. */
export const SUSPENSION_CASES: readonly SuspensionCase[] = [
  {
    name: 'one entry process',
    subjects: oneEntryProcess,
    leastMs: 300,
    mostMs: 1_400,
    ...sameTime(),
  },
  { name: 'all controllers', subjects: controllers, leastMs: 500, mostMs: 2_500, ...sameTime() },
  {
    name: 'all entry processes',
    subjects: entryProcesses,
    leastMs: 500,
    mostMs: 2_500,
    ...sameTime(),
  },
  {
    name: 'all entry processes, long',
    subjects: entryProcesses,
    leastMs: 2_000,
    mostMs: 4_000,
    ...sameTime(),
  },
  {
    name: 'entry processes, each for its own time',
    subjects: entryProcesses,
    leastMs: 300,
    mostMs: 2_500,
    ...ownTimes(),
  },
  { name: 'engines and platform', subjects: standIns, leastMs: 600, mostMs: 1_400, ...sameTime() },
  {
    name: 'engines and platform, long',
    subjects: standIns,
    leastMs: 1_400,
    mostMs: 2_400,
    ...sameTime(),
  },
  {
    name: 'everything, each for its own time',
    subjects: allProcesses,
    leastMs: 300,
    mostMs: 1_400,
    ...ownTimes(),
  },
  {
    name: 'one entry process, drain',
    subjects: oneEntryProcess,
    leastMs: 500,
    mostMs: 2_500,
    ...withOperator('drains a host'),
  },
  {
    name: 'engines and platform, drain',
    subjects: standIns,
    leastMs: 600,
    mostMs: 1_400,
    ...withOperator('drains a host'),
  },
  {
    name: 'everything, drain',
    subjects: allProcesses,
    leastMs: 300,
    mostMs: 1_400,
    ...withOperator('drains a host', false),
  },
  {
    name: 'one entry process, upgrade',
    subjects: oneEntryProcess,
    leastMs: 500,
    mostMs: 2_500,
    ...withOperator('upgrades the model'),
  },
  {
    name: 'engines and platform, upgrade',
    subjects: standIns,
    leastMs: 600,
    mostMs: 1_400,
    ...withOperator('upgrades the model'),
  },
];

function sameTime(): Pick<SuspensionCase, 'together' | 'operator'> {
  return { together: true, operator: 'none' };
}

function ownTimes(): Pick<SuspensionCase, 'together' | 'operator'> {
  return { together: false, operator: 'none' };
}

function withOperator(
  operator: OperatorAction,
  together = true,
): Pick<SuspensionCase, 'together' | 'operator'> {
  return { together, operator };
}

function controllers(deployment: Deployment): readonly Child[] {
  return deployment.controllers.map(({ child }) => child);
}

function entryProcesses(deployment: Deployment): readonly Child[] {
  return [...deployment.controllers, ...deployment.gateways].map(({ child }) => child);
}

function oneEntryProcess(deployment: Deployment, draw: () => number): readonly Child[] {
  const all = entryProcesses(deployment);
  return all.slice(Math.floor(draw() * all.length)).slice(0, 1);
}

function standIns(deployment: Deployment): readonly Child[] {
  return deployment.standIns === undefined ? [] : [deployment.standIns.child];
}

function allProcesses(deployment: Deployment): readonly Child[] {
  return [...entryProcesses(deployment), ...standIns(deployment)];
}
