/** `npm run measure:capacity`: memory, CPU time and messages per host and gateway, for docs/CAPACITY.md. */
import { KeyRecords } from '@hingescale/gateway';
import type { PollReply, PollRequest } from '@hingescale/link';
import { LINK_REQUESTS, LinkPool } from '@hingescale/link';
import type { DeployedController } from '@hingescale/proofs';
import { Deployment, eventually, LINK_KEY } from '@hingescale/proofs';
import { monotonicMs, newUuid, sleep } from '@hingescale/runtime';
import { encode } from 'cbor-x';

/** Hosts, groups and pollers by which the compared samples differ. */
const ADDED_HOSTS = 56;
const ADDED_GROUPS = 14;
const ADDED_POLLERS = 65;
const WARM_UP_MS = 2_000;
const MEASURE_S = 5;
const HEARTBEAT_MS = 250;
/** The default values of the timing settings. */
const TIMING = {
  'heartbeat-ms': HEARTBEAT_MS,
  'probe-ms': 250,
  'certificate-ms': 1_500,
  'lease-ms': 3_000,
  'key-lease-ms': 6_000,
};

/** Rates per second, CPU in cores, memory in MB, and the bytes of one poll with its reply. */
type Sample = {
  readonly name: string;
  readonly controllerCpu: number;
  readonly controllerMb: number;
  readonly gatewayCpu: number;
  readonly gatewayMb: number;
  readonly reads: number;
  readonly writes: number;
  readonly replyBytes: number;
};

const samples: Sample[] = [];
for (const [hosts, pollers] of [
  [8, 0],
  [64, 0],
  [64, ADDED_POLLERS],
] as const) {
  samples.push(await measure(hosts, pollers));
}
print();
measureKeyMemory();
process.exit(0);

async function measure(hosts: number, pollers: number): Promise<Sample> {
  const hostsPerGroup = 4;
  const groups = hosts / hostsPerGroup;
  const deployment = await Deployment.start({
    hostsPerDomain: hosts,
    timing: TIMING,
    configuration: { hostsPerGroup, replicas: groups },
  });
  await deployment.ready(groups);
  const [controller] = deployment.controllers;
  const [gateway] = deployment.gateways;
  const stopPolling = startPollers(controller, pollers);
  await sleep(WARM_UP_MS);
  const readCounters = async (): Promise<number[]> =>
    Promise.all([
      deployment.metric(controller.admin, 'cpu_seconds'),
      deployment.metric(gateway.address, 'cpu_seconds'),
      deployment.platform.calls.reads + deployment.platform.calls.watches,
      deployment.platform.calls.writes,
    ]);
  const before = await readCounters();
  await sleep(MEASURE_S * 1000);
  const after = await readCounters();
  const rates = after.map((value, index) => (value - before[index]) / MEASURE_S);
  const sample: Sample = {
    name: `${hosts} hosts, ${groups} groups, ${pollers + 1} gateways`,
    controllerCpu: rates[0],
    gatewayCpu: rates[1],
    reads: rates[2],
    writes: rates[3],
    controllerMb: (await deployment.metric(controller.admin, 'resident_bytes')) / 1e6,
    gatewayMb: (await deployment.metric(gateway.address, 'resident_bytes')) / 1e6,
    replyBytes: await replyBytes(controller),
  };
  stopPolling();
  if (pollers === 0 && hosts === 64) {
    await measureConfiguration(deployment);
  }
  await deployment.stop();
  return sample;
}

function startPollers(controller: DeployedController, count: number): () => void {
  const timers = Array.from({ length: count }, (_unused, index) => {
    const links = linkPoolOf(`poller-${index}`);
    const views: Record<string, string> = {};
    return setInterval(() => {
      void links
        .clientFor(controller.link)
        .request<PollReply>(LINK_REQUESTS.poll, pollRequestOf(`poller-${index}`, views), 1_000)
        .then(
          reply => {
            reply.views.forEach(view => {
              views[view.failureDomain] = view.version;
            });
          },
          () => undefined,
        );
    }, HEARTBEAT_MS);
  });
  return () => {
    timers.forEach(timer => {
      clearInterval(timer);
    });
  };
}

// Size of a poll and its reply in the steady state: the poller already has the view and the configuration.
async function replyBytes(controller: DeployedController): Promise<number> {
  const links = linkPoolOf('sizer');
  const views: Record<string, string> = {};
  const poll = (): Promise<PollReply> =>
    links
      .clientFor(controller.link)
      .request(LINK_REQUESTS.poll, pollRequestOf('sizer', views), 1_000);
  (await poll()).views.forEach(view => {
    views[view.failureDomain] = view.version;
  });
  const request = encode(pollRequestOf('sizer', views)).length;
  const reply = encode(await poll()).length;
  links.close();
  return request + reply;
}

function linkPoolOf(name: string): LinkPool {
  const identity = { role: 'gateway', name, failureDomain: 'maroussi-hall' } as const;
  return new LinkPool({ key: LINK_KEY, identity });
}

function pollRequestOf(instance: string, views: Record<string, string>): PollRequest {
  return {
    instance,
    address: '',
    failureDomain: 'maroussi-hall',
    role: 'gateway',
    revision: 1_000_000,
    views,
    cacheFrom: {},
    leaving: false,
    usage: [],
  };
}

async function measureConfiguration(deployment: Deployment): Promise<void> {
  const startedAt = monotonicMs();
  const revision = await deployment.apply({ slots: 31 });
  const acceptedAt = monotonicMs();
  await eventually('in force', async () => {
    const { address } = deployment.gateways[0];
    return (await deployment.metric(address, 'configuration_revision')) === revision;
  });
  const inForceMs = monotonicMs() - acceptedAt;
  console.log(
    `configuration: accepted in ${(acceptedAt - startedAt).toFixed(0)} ms, in force ${inForceMs.toFixed(0)} ms later`,
  );
}

function print(): void {
  for (const sample of samples) {
    console.log(
      `${sample.name}: controller ${(sample.controllerCpu * 100).toFixed(1)} % of a core, ${sample.controllerMb.toFixed(0)} MB; gateway ${(sample.gatewayCpu * 100).toFixed(1)} %, ${sample.gatewayMb.toFixed(0)} MB; platform ${sample.reads.toFixed(1)} reads and ${sample.writes.toFixed(1)} writes a second; a poll ${sample.replyBytes} bytes`,
    );
  }
  const [small, large, polled] = samples;
  const perHost = (large.controllerCpu - small.controllerCpu) / ADDED_HOSTS;
  const perGateway = (polled.controllerCpu - large.controllerCpu) / ADDED_POLLERS;
  const bytesPerGroup = (large.replyBytes - small.replyBytes) / ADDED_GROUPS;
  console.log(
    `slopes: controller ${(perHost * 1e6).toFixed(0)} us a second per host, ${(perGateway * 1e6).toFixed(0)} us a second per gateway; poll ${bytesPerGroup.toFixed(0)} bytes per group; controller memory ${((large.controllerMb - small.controllerMb) / ADDED_HOSTS).toFixed(2)} MB per host, ${((polled.controllerMb - large.controllerMb) / ADDED_POLLERS).toFixed(2)} MB per gateway`,
  );
}

function measureKeyMemory(): void {
  const count = 50_000;
  const records = new KeyRecords({ keepMs: 600_000, answerBytes: 1_000_000 });
  const before = process.memoryUsage().heapUsed;
  for (let index = 0; index < count; index++) {
    records.claim({
      workspace: 'workspace',
      key: newUuid(),
      fingerprint: 'f'.repeat(64) + String(index),
      claim: newUuid(),
      executor: 'gateway',
      deadlineMs: 60_000,
    });
  }
  const bytes = (process.memoryUsage().heapUsed - before) / count;
  console.log(`key records: ${bytes.toFixed(0)} bytes of heap each, without an answer`);
}
