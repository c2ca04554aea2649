/** `npm run bench:load`: routing, limits and faults under open-loop load on loopback. */
import type { Profile } from '@hingescale/proofs';
import { Deployment, PROFILES } from '@hingescale/proofs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import type { ArrivalOptions } from './load/arrivals.js';
import { makeArrivals } from './load/arrivals.js';
import type { LoadResult, LoadTarget } from './load/open-loop.js';
import { runLoad } from './load/open-loop.js';

const GROUPS = 8;
const HOSTS_PER_GROUP = 2;
const SLOTS = 8;
const TOKEN_MS = 20;
const TOKENS = 20;
const PREFIX_BLOCKS = 12;
const SLOWNESS = 8;
const FLAP_MS = 900;
/** The head is killed after 0.3 of the length of the load. */
const KILL_AFTER_MS_PER_SECOND = 300;
/** Service levels in ms from the project's brief. */
const LATENCY_LIMITS = { firstTokenMs: 1_200, betweenTokensMs: 47 };
/** Time of a request in ms besides its tokens. */
const REQUEST_OVERHEAD_MS = 60;
/** Requests per second that the groups can sustain, from their slots and the time per request. */
const SUSTAINABLE_RATE = (GROUPS * SLOTS) / ((TOKENS * TOKEN_MS + REQUEST_OVERHEAD_MS) / 1000);

const options = await yargs(hideBin(process.argv))
  .option('profile', { choices: ['acquiring', 'caudal'] as const, default: 'acquiring' as const })
  .option('seed', { type: 'number', default: 1 })
  .option('seconds', { type: 'number', default: 8, describe: 'length of each part' })
  .option('baseline', { type: 'boolean', default: true, describe: 'run the other routers too' })
  .option('part', { choices: ['routing', 'overload', 'flood', 'faults', 'overhead'] as const })
  .strict()
  .parseAsync();

const profile: Profile = PROFILES[options.profile];
const parts = { routing, overload, flood, faults, overhead };
for (const [name, part] of Object.entries(parts)) {
  if (options.part === undefined || options.part === name) {
    console.log(`\n== ${name} (${options.profile}, seed ${options.seed}) ==`);
    await part();
  }
}
process.exit(0);

async function routing(): Promise<void> {
  const strategies = options.baseline
    ? ['expected', 'least-in-flight', 'round-robin', 'random']
    : ['expected'];
  const p95 = new Map<string, number>();
  for (const strategy of strategies) {
    const result = await withDeployment(strategy, deployment => load(deployment, evenRates(0.7)));
    print(strategy, result);
    p95.set(strategy, result.firstToken.quantile(0.95));
  }
  for (const [strategy, value] of p95) {
    console.log(
      `p95 first token, expected/${strategy}: ${((p95.get('expected') ?? 0) / value).toFixed(2)}`,
    );
  }
}

async function overload(): Promise<void> {
  const results: LoadResult[] = [];
  for (const factor of [0.9, 2]) {
    const result = await withDeployment('expected', deployment =>
      load(deployment, evenRates(factor)),
    );
    print(`${factor} of sustainable`, result);
    results.push(result);
  }
  const [peak, over] = results.map(result => result.good / options.seconds);
  console.log(`goodput at twice the load / peak: ${(over / peak).toFixed(2)}`);
}

async function flood(): Promise<void> {
  const baseRates = evenRates(0.6);
  const flooded = [baseRates[0] * 10, ...baseRates.slice(1)];
  const otherShares: number[] = [];
  for (const [name, rates] of [
    ['calm', baseRates],
    ['flooded', flooded],
  ] as const) {
    const result = await withDeployment('expected', deployment => load(deployment, rates));
    print(name, result);
    const share = result.goodByWorkspace.map((good, index) => good / result.sentByWorkspace[index]);
    console.log(`  good share by workspace: ${share.map(value => value.toFixed(3)).join(', ')}`);
    otherShares.push(sum(result.goodByWorkspace.slice(1)) / sum(result.sentByWorkspace.slice(1)));
  }
  console.log(
    `goodput of the others, flooded/calm: ${(otherShares[1] / otherShares[0]).toFixed(3)}`,
  );
}

async function faults(): Promise<void> {
  const healthy = await withDeployment('expected', deployment => load(deployment, evenRates(0.5)));
  print('healthy', healthy);
  const head = `${profile.failureDomains[0]}-h1`;
  const slow = await withDeployment('expected', deployment => {
    deployment.engine.host(head).setFaults({ slowness: SLOWNESS });
    return load(deployment, evenRates(0.5));
  });
  print('one group 8 times slower', slow);
  const dead = await withDeployment('expected', async deployment => {
    const running = load(deployment, evenRates(0.5));
    setTimeout(
      () => void deployment.engine.host(head).kill(),
      options.seconds * KILL_AFTER_MS_PER_SECOND,
    );
    return running;
  });
  print('one group dies', dead);
  const flapping = await withDeployment('expected', async deployment => {
    const host = deployment.engine.host(`${profile.failureDomains[0]}-h2`);
    let frozen = false;
    const timer = setInterval(() => {
      frozen = !frozen;
      host.setFaults({ frozen });
    }, FLAP_MS);
    const result = await load(deployment, evenRates(0.5));
    clearInterval(timer);
    return result;
  });
  print('one host flaps', flapping);
}

// Engines also accept requests that do not pass a gateway, if the headers name group and epoch.
async function overhead(): Promise<void> {
  const rates = evenRates(0.3);
  await withDeployment('expected', async deployment => {
    const [gateway] = deployment.gateways;
    const before = await deployment.metric(gateway.address, 'cpu_seconds');
    const through = await load(deployment, rates, { addresses: [gateway.address] });
    const cpu = (await deployment.metric(gateway.address, 'cpu_seconds')) - before;
    const rss = await deployment.metric(gateway.address, 'resident_bytes');
    print('through one gateway', through);
    const direct = await runLoad(directTarget(deployment), arrivals(rates), LATENCY_LIMITS);
    print('direct', direct);
    const added = through.firstToken.quantile(0.5) - direct.firstToken.quantile(0.5);
    console.log(
      `added at p50: ${added.toFixed(2)} ms; gateway CPU ${((cpu / through.tokens) * 1e6).toFixed(1)} ms per 1,000 tokens, so ${(through.tokens / cpu).toFixed(0)} tokens a second and core; resident ${(rss / 1e6).toFixed(0)} MB`,
    );
    return through;
  });
}

function directTarget(deployment: Deployment): LoadTarget {
  const heads = [...deployment.engine.addresses.keys()]
    .map(id => deployment.engine.host(id))
    .filter(host => host.host.leading);
  let sent = 0;
  return {
    ...target(deployment),
    addresses: heads.map(head => head.address.replace('http://', '')),
    headers: () => {
      const { group, epoch } = heads[sent % GROUPS].host.membership;
      sent += 1;
      return {
        'hingescale-request-id': `direct-${sent}`,
        'hingescale-group': group ?? '',
        'hingescale-epoch': String(epoch),
      };
    },
  };
}

async function withDeployment(
  strategy: string,
  measure: (deployment: Deployment) => Promise<LoadResult>,
): Promise<LoadResult> {
  const deployment = await Deployment.start({
    profile: options.profile,
    gatewaysPerDomain: 2,
    hostsPerDomain: GROUPS * HOSTS_PER_GROUP,
    configuration: { hostsPerGroup: HOSTS_PER_GROUP, replicas: GROUPS, slots: SLOTS },
    engine: { tokenMs: TOKEN_MS, cacheCapacity: 150 },
    routing: { strategy },
  });
  try {
    await deployment.ready(GROUPS);
    return await measure(deployment);
  } finally {
    await deployment.stop();
  }
}

function load(
  deployment: Deployment,
  rates: readonly number[],
  overrides: Partial<LoadTarget> = {},
): Promise<LoadResult> {
  return runLoad({ ...target(deployment), ...overrides }, arrivals(rates), LATENCY_LIMITS);
}

function target(deployment: Deployment): LoadTarget {
  return {
    addresses: deployment.gateways.map(gateway => gateway.address),
    model: profile.model,
    workspaces: profile.workspaces,
    deadlineMs: LATENCY_LIMITS.firstTokenMs,
  };
}

function arrivals(rates: readonly number[]): ReturnType<typeof makeArrivals> {
  const shape: ArrivalOptions = {
    seed: options.seed,
    seconds: options.seconds,
    rates,
    sharedPrefixes: 40,
    prefixBlocks: PREFIX_BLOCKS,
    tokens: TOKENS,
  };
  return makeArrivals(shape);
}

function evenRates(factor: number): number[] {
  return profile.workspaces.map(() => (SUSTAINABLE_RATE * factor) / profile.workspaces.length);
}

function print(name: string, result: LoadResult): void {
  const first = [0.5, 0.95, 0.99].map(share => result.firstToken.quantile(share).toFixed(0));
  const between = [0.5, 0.95, 0.99].map(share => result.betweenTokens.quantile(share).toFixed(1));
  console.log(
    `${name.padEnd(26)} sent ${result.sent}, whole ${result.whole}, good ${result.good}, refused ${result.refused} (p99 ${result.refusal.quantile(0.99).toFixed(0)} ms), failed ${result.failed}; first token ${first.join('/')} ms, between ${between.join('/')} ms at p50/p95/p99`,
  );
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
