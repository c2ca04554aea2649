/** Everything that an entry host needs to forward requests to peers and to take those that peers forward. */
import type { HostEntry } from '../hosts/host-entry.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import { UpstreamIsolation } from '../isolation/upstream-isolation.js';
import type { Member } from '../peers/member.js';
import type { ForwardingStatus } from '../peers/peer-messages.js';
import type { Peers } from '../peers/peers.js';
import { probeHost } from '../quarantine/host-probe.js';
import type { RequestIntake } from '../requests/request-intake.js';
import type { HostActivities } from '../routing/host-activity.js';
import type { CallerGuard } from '../server/caller-guard.js';
import { CallerServer } from '../server/caller-server.js';
import type { EntrySettings, SocketAddress } from '../server/entry-settings.js';
import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { runTask } from '../server/run-task.js';
import { Forwarding } from './forwarding.js';
import { PeerDirectory } from './peer-directory.js';
import { readForwarded } from './peer-headers.js';

/** The components that forwarding uses; those given as functions are created later. */
export type ForwardingParts = {
  readonly settings: EntrySettings;
  readonly registry: HostRegistry;
  readonly activities: HostActivities;
  readonly peers: () => Peers | undefined;
  readonly intake: () => RequestIntake;
  /** True while this entry host accepts new requests. */
  readonly isReady: () => boolean;
  readonly guard: CallerGuard;
  readonly log: Log;
  readonly counters: Counters;
};

/** Forwarded requests in progress that an entry host accepts, for each core of its processor. */
const MAX_FORWARDED_PER_CORE = 300;

/** Time without reach after which another entry host should send orders, in milliseconds. */
const ORDERS_HANDOVER_MS = 1_000;

/** Detects isolation, forwards requests, and accepts forwarded ones. */
export class ForwardingService {
  readonly isolation: UpstreamIsolation;
  /** Undefined where the settings name no address for forwarded requests. */
  readonly forwarding: Forwarding | undefined;
  readonly #parts: ForwardingParts;
  readonly #abort = new AbortController();
  readonly #address: SocketAddress | undefined;
  /** Accepts the requests that peers forward. */
  readonly server: CallerServer;

  constructor(parts: ForwardingParts) {
    this.#parts = parts;
    this.#address = parts.settings.peers?.forwarding;
    this.isolation = createIsolation(parts);
    this.forwarding =
      this.#address === undefined ? undefined : createForwarding(parts, this.isolation);
    this.server = new CallerServer((request, response) => {
      parts.intake().handle(request, response, readForwarded(request.headers));
    }, parts.guard.forSide('forwarding'));
  }

  /**
   * False while this entry host can send no orders, since it has not reached the hosts that take them for a while. If no
   * peer is known to reach them either, their silence is no reason to hand orders over to another entry host.
   */
  get canSendOrders(): boolean {
    const { registry } = this.#parts;
    return !this.isolation
      .isolatedFor(ORDERS_HANDOVER_MS)
      .filter(service => registry.ofService(service).some(takesOrders))
      .some(service => this.forwarding?.directory.hasPeerFor(service) === true);
  }

  /** Starts to accept forwarded requests; while the address is in use, this host serves its own callers only. */
  start(): void {
    if (this.#address !== undefined) {
      const { ip: host, port } = this.#address;
      const { log } = this.#parts;
      const { signal } = this.#abort;
      const options = { name: 'forwarding', host, port, retryMs: Infinity, log, signal };
      runTask(log, 'listen', this.server.listen(options));
    }
  }

  /** Stops listening, all probes and all questions to peers. */
  stop(): void {
    this.#abort.abort();
    this.server.close();
    this.forwarding?.stop();
    this.isolation.stop();
  }

  /** Answers a peer that asks whether this entry host takes forwarded requests for some services. */
  async status(services: readonly string[]): Promise<ForwardingStatus> {
    const { settings, intake, isReady } = this.#parts;
    const load = intake().open.forwardedCount;
    const most = MAX_FORWARDED_PER_CORE * (settings.peers?.power ?? 0);
    const accepts = isReady() && this.server.isListening && load < most;
    const reached = await Promise.all(
      services.map(async service => ((await this.isolation.isReached(service)) ? [service] : [])),
    );
    return { port: this.#address?.port ?? 0, accepts, reached: reached.flat(), load };
  }
}

// Hosts that failed during the isolation are not avoided once one of them is within reach again.
function createIsolation({
  registry,
  activities,
  log,
  counters,
}: ForwardingParts): UpstreamIsolation {
  const isolation = new UpstreamIsolation({
    contacts: activities.contacts,
    hostsOf: service => registry.ofService(service),
    probe: host => probeHost(host, activities.connectTimes.timeoutMs(host.failureDomain)),
    log,
    counters,
  });
  isolation.messages.on('connected', ({ service }) => {
    activities.forgetFailures(registry.ofService(service));
  });
  return isolation;
}

function createForwarding(
  { settings, peers, log }: ForwardingParts,
  isolation: UpstreamIsolation,
): Forwarding {
  const { name, failureDomain, regions } = settings;
  const failures = new FailureSeries(log, 'ask a peer whether it takes forwarded requests');
  return new Forwarding({
    isolation,
    directory: new PeerDirectory({
      self: { name, failureDomain },
      members: () => peers()?.membership.all ?? [],
      ask: (member, services) => askPeer(peers(), member, services, failures),
    }),
    regionOf: domain => regions.find(region => region.failureDomain === domain)?.region,
  });
}

async function askPeer(
  peers: Peers | undefined,
  member: Member,
  services: readonly string[],
  failures: FailureSeries,
): Promise<ForwardingStatus> {
  try {
    if (peers === undefined) {
      throw new Error('this entry host has no peers');
    }
    const status = await peers.askForwardingStatus(member, services);
    failures.recordSuccess();
    return status;
  } catch (error) {
    failures.recordFailure(error);
    throw error;
  }
}

// Hosts of plain services take no orders.
function takesOrders({ fabricDomain }: HostEntry): boolean {
  return fabricDomain !== undefined;
}
