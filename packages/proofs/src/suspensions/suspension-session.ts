/** Suspends processes of a deployment under load, and reports the callers that did not get a complete answer. */
import { sleep } from '@hingescale/runtime';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { Child, LogLine } from '../deployment/child.js';
import { Deployment, eventually } from '../deployment/deployment.js';
import type { Delivery } from '../deployment/load.js';
import { callerRequestIds, findBreaches, isOwnWholeAnswer, Load } from '../deployment/load.js';
import type { SuspensionCase } from './suspension-cases.js';

/** Seed of the random choices, and number of rounds of suspensions. */
export type SuspensionOptions = {
  readonly seed: number;
  readonly rounds: number;
};

/** Result of a session. */
export type SuspensionReport = {
  readonly requests: number;
  /** One line for each request without a complete answer: id, status, execution, problem. */
  readonly notWhole: readonly string[];
  /** Requests whose answers broke a guarantee. */
  readonly breaches: readonly string[];
  /** Log lines of all entry processes, process by process. */
  readonly lines: readonly (LogLine & { readonly process: string })[];
};

const GROUPS = 2;
const HOSTS = 9;
const CALLERS = 4;
/** Tokens per request. */
const TOKENS = 40;
const MIN_PAUSE_MS = 300;
const MAX_PAUSE_MS = 900;
/** Longest time between an operator's action and the suspension that follows it. */
const MAX_DELAY_AFTER_ORDER_MS = 800;
const READY_TIMEOUT_MS = 30_000;
/** The default settings, so that suspensions have the same ratio to these times as in production. */
const TIMING = {
  'heartbeat-ms': 250,
  'probe-ms': 250,
  'certificate-ms': 1_500,
  'lease-ms': 3_000,
  'key-lease-ms': 6_000,
};

/** Starts a deployment and a load, suspends processes for the given rounds and reports the answers. */
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
    separateStandInsProcess: true,
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
      await sleep(uniformBetween(MIN_PAUSE_MS, MAX_PAUSE_MS, draw));
      break;
    case 'drains a host':
      await setCordon(deployment, drained, true);
      await sleep(draw() * MAX_DELAY_AFTER_ORDER_MS);
      break;
    case 'upgrades the model':
      await deployment.apply({ version: String(round + 2) });
      await sleep(draw() * MAX_DELAY_AFTER_ORDER_MS);
      break;
  }
  const subjects = suspension.subjects(deployment, draw);
  const sharedMs = uniformBetween(suspension.leastMs, suspension.mostMs, draw);
  const times = subjects.map(() =>
    suspension.together ? sharedMs : uniformBetween(suspension.leastMs, suspension.mostMs, draw),
  );
  await Promise.all(subjects.map((child, index) => suspend(child, times[index])));
  if (suspension.operator !== 'none') {
    await groupsReady(deployment);
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

// Only the lease holder accepts the request, so it is sent to all controllers.
async function setCordon(deployment: Deployment, host: string, cordoned: boolean): Promise<void> {
  const path = `/v1/hosts/${host}/drain`;
  await eventually(`${host} is ${cordoned ? 'drained' : 'no longer drained'}`, async () => {
    const answers = await Promise.all(
      deployment.controllers.map(controller =>
        deployment.admin<{ status?: number }>(controller, path, cordoned ? 'PUT' : 'DELETE'),
      ),
    );
    return answers.some(answer => answer.status === undefined);
  });
}

async function groupsReady(deployment: Deployment): Promise<void> {
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
      const isReadyAtGateways = ready.every(count => count >= GROUPS);
      return isReadyAtGateways && status.groups.every(({ state }) => state === 'ready');
    },
    READY_TIMEOUT_MS,
  );
}

async function reportOf(
  deployment: Deployment,
  deliveries: readonly Delivery[],
): Promise<SuspensionReport> {
  const ran = callerRequestIds((await deployment.standIns?.runs()) ?? []);
  const notWhole = deliveries.filter(delivery => !isOwnWholeAnswer(delivery));
  return {
    requests: deliveries.length,
    notWhole: notWhole.map(({ requestId, answer }) => {
      const { code, detail } = answer.problem ?? { code: 'none', detail: answer.body.slice(-100) };
      return `${requestId} ${answer.status} ${answer.execution ?? 'broken'} ${code}: ${detail ?? ''}`;
    }),
    breaches: findBreaches(deliveries, ran).map(
      ({ kind, delivery }) => `${delivery.requestId} ${kind}`,
    ),
    lines: [...deployment.controllers, ...deployment.gateways].flatMap(({ name, child }) =>
      child.lines.map(line => ({ process: name, ...line })),
    ),
  };
}

function uniformBetween(min: number, max: number, draw: () => number): number {
  return min + draw() * (max - min);
}
