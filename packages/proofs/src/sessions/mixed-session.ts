/** Runs mixed sessions of fast-check's model-based commands; used by CI and by the command. */
import { sleep } from '@hingescale/runtime';
import fc from 'fast-check';

import { Deployment } from '../deployment/deployment.js';
import { waitForKeyIssue } from '../deployment/keyed.js';
import { Load } from '../deployment/load.js';
import type { MixedModel, MixedReal } from './mixed-model.js';
import { checkPromises, failure, FAILURE_KINDS } from './mixed-model.js';

/** Options of a session. */
export type MixedOptions = {
  readonly seed: number;
  readonly runs: number;
  readonly commands: number;
  /** Wall time after which no further run begins. */
  readonly maxMs?: number;
};

/** What a session did and what callers were told. */
export type MixedReport = {
  readonly failures: ReadonlyMap<string, number>;
  readonly outcomes: ReadonlyMap<string, number>;
  readonly deliveries: number;
  readonly keys: number;
};

/** Runs sessions; rejects with fast-check's report, seed and shrunk commands on a breach. */
export async function runMixed(options: MixedOptions): Promise<MixedReport> {
  const counts = new Map<string, number>();
  const outcomes = new Map<string, number>();
  const totals = { deliveries: 0, keys: 0 };
  const command = fc
    .tuple(fc.constantFrom(...FAILURE_KINDS), fc.nat(1_000))
    .map(([kind, choice]) => failure(kind, choice));
  await fc.assert(
    fc.asyncProperty(
      fc.commands([command], { maxCommands: options.commands, size: 'max' }),
      async commands => {
        const real = await startReal();
        try {
          await fc.asyncModelRun(
            () => ({ model: { counts } satisfies MixedModel, real }),
            commands,
          );
          await sleep(100);
          await real.load.stop();
          checkPromises(real);
        } finally {
          await real.load.stop();
          totals.deliveries += real.load.deliveries.length;
          totals.keys += real.keys.size;
          countOutcomes(real, outcomes);
          await real.deployment.stop();
        }
      },
    ),
    {
      seed: options.seed,
      numRuns: options.runs,
      interruptAfterTimeLimit: options.maxMs,
      markInterruptAsFailure: false,
      endOnFailure: false,
    },
  );
  return { failures: counts, outcomes, ...totals };
}

async function startReal(): Promise<MixedReal> {
  const deployment = await Deployment.start({
    controllersPerDomain: 2,
    gatewaysPerDomain: 2,
    hostsPerDomain: 9,
    configuration: { replicas: 2 },
  });
  await waitForKeyIssue(deployment);
  const load = new Load(deployment, { callers: 6, tokens: 6 });
  return { deployment, load, keys: new Map() };
}

function countOutcomes(real: MixedReal, outcomes: Map<string, number>): void {
  const add = (name: string): void => {
    outcomes.set(name, (outcomes.get(name) ?? 0) + 1);
  };
  real.load.deliveries.forEach(({ answer }) => {
    add(`request ${answer.execution ?? 'connection broke'}`);
  });
  for (const told of real.keys.values()) {
    told.forEach(execution => {
      add(`key ${execution ?? 'connection broke'}`);
    });
  }
}
