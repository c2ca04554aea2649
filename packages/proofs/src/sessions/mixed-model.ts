/** Commands of the mixed session: failures in any order against real processes under load. */
import type { Execution } from '@hingescale/core';
import type { Ledger } from '@hingescale/core';
import { assertLegal } from '@hingescale/core';
import { newUuid, sleep } from '@hingescale/runtime';
import type fc from 'fast-check';

import type { Deployment } from '../deployment/deployment.js';
import { deliver, runsOf } from '../deployment/keyed.js';
import type { Load } from '../deployment/load.js';
import { findBreaches, requestIdsRun } from '../deployment/load.js';

/** What the session remembers besides the real deployment. */
export type MixedModel = { readonly counts: Map<string, number> };

/** The real deployment under load, with the keys that were delivered. */
export type MixedReal = {
  readonly deployment: Deployment;
  readonly load: Load;
  readonly keys: Map<string, (Execution | 'done' | undefined)[]>;
};

/** One command of the session. */
export type MixedCommand = fc.AsyncCommand<MixedModel, MixedReal>;

/** Time that a failure lasts before the session goes on. */
const FAILURE_MS = 350;

/** A failure with the way to inject it; each ends by itself or stays as it is. */
class FailureCommand implements MixedCommand {
  readonly #name: string;
  readonly #inject: (real: MixedReal) => Promise<void>;

  constructor(name: string, inject: (real: MixedReal) => Promise<void>) {
    this.#name = name;
    this.#inject = inject;
  }

  check(): boolean {
    return true;
  }

  async run(model: MixedModel, real: MixedReal): Promise<void> {
    model.counts.set(this.#name, (model.counts.get(this.#name) ?? 0) + 1);
    const delivering = deliverSome(real);
    await this.#inject(real);
    await delivering;
    checkPromises(real);
  }

  toString(): string {
    return this.#name;
  }
}

/** Makes the command of a kind; `choice` picks the victim. */
export function failure(kind: FailureKind, choice: number): MixedCommand {
  return new FailureCommand(kind, real => FAILURES[kind](real, choice));
}

type Inject = (real: MixedReal, choice: number) => Promise<void>;

const FAILURES = {
  'member killed and restarted': async ({ deployment }, choice) => {
    const host = pick(hostIds(deployment), choice);
    await deployment.engine.host(host).kill();
    await sleep(FAILURE_MS * 2);
    await deployment.engine.host(host).start();
  },
  'member paused': async ({ deployment }, choice) => {
    const host = deployment.engine.host(pick(hostIds(deployment), choice));
    host.setFaults({ frozen: true });
    await sleep(FAILURE_MS * (1 + (choice % 5)));
    host.setFaults({ frozen: false });
  },
  'streams cut': async ({ deployment }, choice) => {
    hostIds(deployment).forEach(id => {
      const forgetCutStreams = choice % 2 === 0;
      deployment.engine.host(id).setFaults({ cutStreams: 3, cutAfterTokens: 1, forgetCutStreams });
    });
    await sleep(FAILURE_MS);
  },
  'answers lost or crossed': async ({ deployment }) => {
    hostIds(deployment).forEach(id => {
      const faults = { loseAnswers: 1, crossAnswers: 1, truncateStreams: 1, cutBeforeRun: 1 };
      deployment.engine.host(id).setFaults(faults);
    });
    await sleep(FAILURE_MS);
  },
  'service answers lost': async ({ deployment }) => {
    Object.assign(deployment.services[0].faults, { loseAnswers: 2, truncate: 1, cutBeforeRun: 1 });
    await sleep(FAILURE_MS);
  },
  'gateway killed': async ({ deployment }, choice) => {
    const { child } = pick(deployment.gateways, choice);
    await child.kill();
    await child.start();
  },
  'gateway frozen': async ({ deployment }, choice) => {
    const { child } = pick(deployment.gateways, choice);
    child.signal('SIGSTOP');
    await sleep(FAILURE_MS * (1 + (choice % 8)));
    child.signal('SIGCONT');
  },
  'gateway stopped as planned': async ({ deployment }, choice) => {
    const { child } = pick(deployment.gateways, choice);
    child.signal('SIGTERM');
    await child.exited();
    await child.start();
  },
  'controller killed': async ({ deployment }, choice) => {
    const { child } = pick(deployment.controllers, choice);
    await child.kill();
    await sleep(FAILURE_MS);
    await child.start();
  },
  'controller frozen': async ({ deployment }, choice) => {
    const { child } = pick(deployment.controllers, choice);
    child.signal('SIGSTOP');
    await sleep(FAILURE_MS * (1 + (choice % 6)));
    child.signal('SIGCONT');
  },
  'platform out': async ({ deployment }, choice) => {
    deployment.platform.faults.outage = true;
    await sleep(FAILURE_MS * (1 + (choice % 6)));
    deployment.platform.faults.outage = false;
  },
  'platform loses answers': async ({ deployment }) => {
    deployment.platform.faults.loseWriteAnswers = 4;
    await sleep(FAILURE_MS);
  },
  'host leaving and back': async ({ deployment }, choice) => {
    deployment.listHosts([pick(hostIds(deployment), choice)]);
    await sleep(FAILURE_MS * 3);
    deployment.listHosts();
  },
  'configuration changed': async ({ deployment }, choice) => {
    await deployment.apply({ slots: 20 + (choice % 10) }).catch(() => 0);
    await sleep(FAILURE_MS);
  },
} satisfies Record<string, Inject>;

/** Kinds of failure. */
export type FailureKind = keyof typeof FAILURES;

/** All kinds of failure. */
export const FAILURE_KINDS = Object.keys(FAILURES) as FailureKind[];

/** Checks, from outside, what has been told against what ran; throws on a breach. */
export function checkPromises(real: MixedReal): void {
  const { deployment, load, keys } = real;
  const found = findBreaches(load.deliveries, requestIdsRun(deployment));
  if (found.length > 0) {
    const { kind, delivery } = found[0];
    throw new Error(`${kind}: ${JSON.stringify(delivery)}`);
  }
  for (const [key, told] of keys) {
    const runs = runsOf(deployment, key);
    if (runs > 1) {
      throw new Error(`key ${key} ran ${runs} times; told ${told.join(', ')}`);
    }
    if (runs > 0 && told[told.length - 1] === 'not-run') {
      throw new Error(`key ${key} ran; told ${told.join(', ')}`);
    }
  }
  for (const { value } of deployment.platform.store.history('ledger')) {
    assertLegal(value as Ledger);
  }
  const longest = Math.max(0, ...deployment.engine.runs.map(run => run.missingForMs));
  if (longest > MISSING_BOUND_MS) {
    throw new Error(`a request ran ${longest} ms after a member went missing`);
  }
}

/** Certificate lifetime of the proofs, and scheduling of a busy machine. */
const MISSING_BOUND_MS = 600 + 900;

// Each key goes to two gateways at once and once more afterwards.
async function deliverSome({ deployment, keys }: MixedReal): Promise<void> {
  const key = newUuid();
  const told: (Execution | 'done' | undefined)[] = [];
  keys.set(key, told);
  const [first, second] = deployment.gateways;
  const answers = await Promise.all(
    [first, second].map(({ address }) => deliver(deployment, address, key)),
  );
  told.push(...answers.map(answer => answer.execution));
  told.push((await deliver(deployment, second.address, key)).execution);
}

function hostIds(deployment: Deployment): string[] {
  return [...deployment.engine.addresses.keys()];
}

function pick<T>(items: readonly T[], choice: number): T {
  return items[choice % items.length];
}
