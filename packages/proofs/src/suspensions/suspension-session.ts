/** Suspends processes of a deployment under load, and tells which callers did not get their whole answer. */
import { sleep } from '@hingescale/runtime';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { Child, LogLine } from '../deployment/child.js';
import { Deployment, eventually } from '../deployment/deployment.js';
import type { Delivery } from '../deployment/load.js';
import { breaches, callersIds, isOwnWholeAnswer, Load } from '../deployment/load.js';
import type { SuspensionCase } from './suspension-cases.js';

/** Options of a session. */
export type SuspensionOptions = {
  readonly seed: number;
  readonly rounds: number;
};

/** How a session went. */
export type SuspensionReport = {
  readonly requests: number;
  /** What callers got who did not get their whole answer. */
  readonly notWhole: readonly string[];
  /** Broken promises. */
  readonly breaches: readonly string[];
  /** Warnings and group orders of the entry processes, in the order of each process. */
  readonly lines: readonly (LogLine & { readonly process: string })[];
};

const GROUPS = 2;
const HOSTS = 9;
const CALLERS = 4;
const TOKENS = 40;
const LEAST_PAUSE_MS = 300;
const MOST_PAUSE_MS = 900;
/** Time between an operator's order and the first suspension after it. */
const MOST_AFTER_ORDER_MS = 800;
const SETTLED_WITHIN_MS = 30_000;
/** The defaults of the settings, so that silences relate to them as in production. */
const TIMING = {
  'heartbeat-ms': 250,
  'probe-ms': 250,
  'certificate-ms': 1_500,
  'lease-ms': 3_000,
  'key-lease-ms': 6_000,
};

/** Runs one session. */
export async function runSuspensions(
  suspension: SuspensionCase,
  { seed, rounds }: SuspensionOptions,
): Promise<SuspensionReport> {
  const generator = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(generator);
  const deployment = await Deployment.start({
    controllersPerDomain: 2,
    gatewaysPerDomain: 2,
    hostsPerDomain: HOSTS,
    configuration: { replicas: GROUPS },
    timing: TIMING,
    standInsApart: true,
  });
  try {
    await deployment.ready(GROUPS);
    const load = new Load(deployment, { callers: CALLERS, tokens: TOKENS });
    for (let round = 0; round < rounds; round++) {
      await runRound(deployment, suspension, round, draw);
    }
    return await reportOf(deployment, await load.stop());
  } finally {
    await deployment.stop();
  }
}

async function runRound(
  deployment: Deployment,
  suspension: SuspensionCase,
  round: number,
  draw: () => number,
): Promise<void> {
  const drained = `${deployment.domains[0]}-h${1 + Math.floor(draw() * HOSTS)}`;
  switch (suspension.operator) {
    case 'none':
      await sleep(between(LEAST_PAUSE_MS, MOST_PAUSE_MS, draw));
      break;
    case 'drains a host':
      await setCordon(deployment, drained, true);
      await sleep(draw() * MOST_AFTER_ORDER_MS);
      break;
    case 'upgrades the model':
      await deployment.apply({ version: String(round + 2) });
      await sleep(draw() * MOST_AFTER_ORDER_MS);
      break;
  }
  const subjects = suspension.subjects(deployment, draw);
  const sharedMs = between(suspension.leastMs, suspension.mostMs, draw);
  const times = subjects.map(() =>
    suspension.together ? sharedMs : between(suspension.leastMs, suspension.mostMs, draw),
  );
  await Promise.all(subjects.map((child, index) => suspend(child, times[index])));
  if (suspension.operator !== 'none') {
    await settled(deployment);
  }
  if (suspension.operator === 'drains a host') {
    await setCordon(deployment, drained, false);
  }
}

async function suspend(child: Child, ms: number): Promise<void> {
  child.signal('SIGSTOP');
  await sleep(ms);
  child.signal('SIGCONT');
}

// Only the controller that holds the lease takes the order.
async function setCordon(deployment: Deployment, host: string, cordoned: boolean): Promise<void> {
  const path = `/v1/hosts/${host}/drain`;
  await eventually(`${host} is ${cordoned ? 'drained' : 'taken back'}`, async () => {
    const answers = await Promise.all(
      deployment.controllers.map(controller =>
        deployment.admin<{ status?: number }>(controller, path, cordoned ? 'PUT' : 'DELETE'),
      ),
    );
    return answers.some(answer => answer.status === undefined);
  });
}

async function settled(deployment: Deployment): Promise<void> {
  await eventually(
    'all groups are ready',
    async () => {
      const ready = await Promise.all(
        deployment.gateways.map(gateway => deployment.readyGroups(gateway)),
      );
      const [status] = await Promise.all(
        deployment.controllers.map(controller =>
          deployment.admin<{ groups: { state: string }[] }>(controller, '/v1/status'),
        ),
      );
      const isWhole = ready.every(count => count >= GROUPS);
      return isWhole && status.groups.every(({ state }) => state === 'ready');
    },
    SETTLED_WITHIN_MS,
  );
}

async function reportOf(
  deployment: Deployment,
  deliveries: readonly Delivery[],
): Promise<SuspensionReport> {
  const ran = callersIds((await deployment.standIns?.runs()) ?? []);
  const notWhole = deliveries.filter(delivery => !isOwnWholeAnswer(delivery));
  return {
    requests: deliveries.length,
    notWhole: notWhole.map(({ requestId, answer }) => {
      const { code, detail } = answer.problem ?? { code: 'none', detail: answer.body.slice(-100) };
      return `${requestId} ${answer.status} ${answer.execution ?? 'broken'} ${code}: ${detail ?? ''}`;
    }),
    breaches: breaches(deliveries, ran).map(
      ({ kind, delivery }) => `${delivery.requestId} ${kind}`,
    ),
    lines: [...deployment.controllers, ...deployment.gateways].flatMap(({ name, child }) =>
      child.lines.map(line => ({ process: name, ...line })),
    ),
  };
}

function between(least: number, most: number, draw: () => number): number {
  return least + draw() * (most - least);
}
