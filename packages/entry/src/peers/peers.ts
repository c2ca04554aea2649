/**
 * Connects this entry host to its peers, with which it exchanges objects of the store, tallies, reports, and
 * suspicions (reports of stalled groups).
 */
import type { LinkServer } from '@hingescale/link';
import { LinkPool } from '@hingescale/link';

import type { HostIncarnation } from '../hosts/host-entry.js';
import type { RunReport } from '../quarantine/run-report.js';
import type { OutlierReport } from '../routing/outlier-reports.js';
import { OutlierReports } from '../routing/outlier-reports.js';
import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { sleep } from '../server/time.js';
import type { KindReader, KindView } from '../store/kind-reader.js';
import { storeReader } from '../store/kind-reader.js';
import type { ObjectKind, ObjectStore } from '../store/object-store.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import type { ReaderSelector } from '../store/reader-selector.js';
import type { WatchedKind } from '../store/watched-kind.js';
import type { Member } from './member.js';
import { Membership } from './membership.js';
import { parseForwardingStatus, parseTallyReply } from './parse-messages.js';
import type {
  Counts,
  ForwardingRequest,
  ForwardingStatus,
  SuspectRequest,
} from './peer-messages.js';
import { PEER_REQUESTS } from './peer-messages.js';
import { peerReader } from './peer-reader.js';
import { createPeerServer } from './peer-server.js';
import { PeerReaderChoice } from './reader-choice.js';
import { RecentFollowers } from './recent-followers.js';
import type { ReportSources } from './shared-reports.js';
import { SharedReports } from './shared-reports.js';
import { SharedTally } from './shared-tally.js';
import type { SuspectedGroup } from './suspicion-sender.js';
import { SuspicionSender } from './suspicion-sender.js';

export type PeersOptions = ReportSources & {
  readonly self: Member;
  /** Addresses (`ip:port`) of some peers; some of these peers may have been removed. */
  readonly seeds: readonly string[];
  /** Key shared by all entry hosts; empty where the network is trusted. */
  readonly key: string;
  readonly store: ObjectStore;
  /** Returns this host's own watch of a kind, from which its followers are answered. */
  readonly watchOf: (kind: ObjectKind) => WatchedKind | undefined;
  /** Returns the number of requests of this host in progress, by upstream host. */
  readonly ownLoads: () => Counts;
  /** Returns the recent work of this host's requests, by model. */
  readonly ownWork: () => Counts;
  /** Returns the name of the lease holder; undefined while it is not known. */
  readonly leaseHolder: () => string | undefined;
  /** Called where this host is the lease holder and a group is reported as stalled. */
  readonly suspicionReceived: (request: SuspectRequest) => void;
  /** Returns true for the names of hosts that requests may be sent to. */
  readonly isRoutable: (name: string) => boolean;
  /** Returns the groups that lack a member, as far as this host sees members. */
  readonly lackingGroups: () => readonly string[];
  /** Called when an entry host of the own failure domain could not connect to a host in this or another one. */
  readonly hostUnreachable: (failureDomain: string, hostId: string) => void;
  /** Called when a group that was not ejected before has been ejected. */
  readonly groupEjected: () => void;
  /** Called with reports of lost and completed runs from other entry hosts. */
  readonly runReportsReceived: (reports: readonly RunReport[]) => void;
  /** Returns false while this host reaches no upstream host that takes orders. */
  readonly canSendOrders: () => boolean;
  /** Returns whether this host takes forwarded requests for the services. */
  readonly forwardingStatus: (services: readonly string[]) => Promise<ForwardingStatus>;
  /** Called with hosts that other entry hosts reported as shutting down. */
  readonly leavingHostsReceived: (hosts: readonly HostIncarnation[]) => void;
  /** Identifies the incarnation of this entry host. */
  readonly instance: string;
  readonly log: Log;
  readonly counters: Counters;
};

/** Period in which a host that follows the store requests tallies and shares reports, in milliseconds. */
const EXCHANGE_PERIOD_MS = 250;
/** Period of a host that follows a peer and receives the tally of all hosts from it, in milliseconds. */
const IDLE_EXCHANGE_PERIOD_MS = 1_000;
const REQUEST_TIMEOUT_MS = 400;
/**
 * Largest number of entry hosts with which each reads its first list from the store: 100 lists of 300 hosts are
 * 10 MB, which take a tenth of a second on a link of 1,000 Mbit/s.
 */
const MAX_MEMBERS_AT_STORE = 100;

/** Links this entry host to its peers, serves their requests, and selects the readers of objects. */
export class Peers {
  /** Registrations of all entry hosts. */
  readonly membership: Membership;
  /** Sums over all entry hosts, as last reported to this one. */
  readonly tally: SharedTally;
  /** Reports of groups that entry hosts observed as stalled or slow. */
  readonly outliers = new OutlierReports();
  readonly #options: PeersOptions;
  readonly #links: LinkPool;
  readonly #server: LinkServer;
  readonly #store: KindReader;
  readonly #choice: PeerReaderChoice;
  readonly #readers = new Map<string, KindReader>();
  readonly #suspicions: SuspicionSender;
  readonly #followers = new RecentFollowers();
  #reportedLacking: ReadonlySet<string> = new Set();
  /** Whether peers reach hosts that take orders, as they last replied, by address. */
  readonly #canSendOrders = new Map<string, boolean>();
  readonly #abort = new AbortController();
  readonly #tallyFailures: FailureSeries;
  readonly #reports: SharedReports;

  constructor(options: PeersOptions) {
    this.#options = options;
    this.#tallyFailures = new FailureSeries(options.log, 'request the tally of a failure domain');
    const { self, seeds, key, store, watchOf, log } = options;
    this.membership = new Membership({ self, seeds, store, log });
    this.tally = new SharedTally({ loads: options.ownLoads, work: options.ownWork });
    const identity = { role: 'entry', name: self.name, failureDomain: self.failureDomain } as const;
    this.#links = new LinkPool({ key, identity });
    this.#server = createPeerServer({
      listen: self.address,
      key,
      log: options.log,
      failureDomain: self.failureDomain,
      watchOf,
      tally: this.tally,
      outliers: this.outliers,
      runReportsReceived: options.runReportsReceived,
      limitReports: () => options.limitReports.since(0),
      leavingHostsReceived: options.leavingHostsReceived,
      forwardingStatus: options.forwardingStatus,
      canSendOrders: options.canSendOrders,
      limitReportsReceived: (reports, from) => {
        this.#reports.limitReportsReceived(reports, from);
      },
      instance: options.instance,
      readReceived: from => {
        this.#followers.recordRead(from);
      },
      mayBeFollowed: () => this.#choice.mayBeFollowed,
      isRoutable: options.isRoutable,
      lackingGroups: options.lackingGroups,
      suspicionReceived: request => {
        this.#noteOutliers([request.report]);
        this.#suspicions.forward(request);
      },
    });
    this.#store = storeReader(store);
    this.#choice = new PeerReaderChoice({
      store: this.#store,
      candidates: () => this.membership.candidates,
      readerOf: member => this.#readerOf(member),
    });
    this.#suspicions = new SuspicionSender({
      self,
      links: this.#links,
      membership: this.membership,
      leaseHolder: options.leaseHolder,
      followsStore: () => this.followsStore,
      isUnreachable: address => this.#choice.isUnreachable(address),
      reportMade: report => {
        this.#noteOutliers([report]);
      },
      suspicionReceived: options.suspicionReceived,
      log,
      counters: options.counters,
    });
    this.#reports = new SharedReports({
      ...options,
      links: this.#links,
      neighbours: () => this.#neighbours(),
      addressOf: name => this.membership.get(name)?.address,
    });
  }

  /** Selects the reader of each read: a peer or the store. */
  get readers(): ReaderSelector {
    return this.#choice;
  }

  /** True while this host follows the store itself. */
  get followsStore(): boolean {
    return this.#choice.followsStore;
  }

  /**
   * True for the first reachable host of each failure domain. Only these hosts observe the lease, so that one of
   * them has always observed it for long enough to acquire it as soon as it lapses.
   */
  get isLeaseCandidate(): boolean {
    const { failureDomain } = this.#options.self;
    // During an outage of the store each host would become a candidate in turn and call the store to no effect.
    if (this.#choice.isBackingOff(this.#store.name)) {
      return false;
    }
    return !this.membership.candidates.above.some(
      member =>
        member.failureDomain === failureDomain &&
        !this.#choice.isBackingOff(this.#readerOf(member).name) &&
        this.#canSendOrders.get(member.address) !== false,
    );
  }

  /**
   * The view of the hosts that this entry host needs: the full one where others follow it, and on the first hosts of
   * a failure domain, which may become lease holder. A new lease holder that has followed all hosts knows which model
   * each free host can rejoin in 0.2 s, which the entries do not show. Whether the higher-ranked hosts answer is
   * ignored: when hundreds of hosts start at once, each would otherwise count itself among the first.
   */
  get hostsView(): KindView {
    const { self, leaseHolder } = this.#options;
    const leads = leaseHolder() === self.name;
    const { isAmongFirst } = this.membership.candidates;
    return leads || isAmongFirst || this.tally.loads.hasFollowers ? 'full' : 'routing';
  }

  /** Groups that lack a member, as last reported by the followed host. */
  get reportedLackingGroups(): ReadonlySet<string> {
    return this.#reportedLacking;
  }

  /**
   * The reader of the first list of hosts after a start; undefined selects it as usual. The store answers at once,
   * while peers may still be starting: after a power failure of all hosts they answer a quarter of a second later.
   * With hundreds of entry hosts, peers are read, since each host would request megabytes from the store at once.
   */
  get firstReader(): KindReader | undefined {
    return this.membership.count <= MAX_MEMBERS_AT_STORE ? this.#store : undefined;
  }

  /** Starts to listen for peers. */
  async listen(): Promise<void> {
    await this.#server.listen();
  }

  /** Starts to register this host, and to exchange tallies and reports. */
  start(): void {
    void this.membership.register();
    void this.#exchange();
  }

  /** Reports a stalled group to the lease holder. */
  suspect(service: string, group: SuspectedGroup): void {
    this.#suspicions.suspect(service, group);
  }

  /** Sends new run reports to other entry hosts. */
  shareRunReports(): void {
    this.#reports.shareRuns();
  }

  /** Sends new reports of rate limits to other entry hosts. */
  shareLimits(): void {
    this.#reports.shareLimits();
  }

  /** Sends reports of hosts that have announced their shutdown to other entry hosts. */
  shareLeavingHosts(): void {
    this.#reports.shareLeavingHosts();
  }

  /** Asks a peer whether it takes forwarded requests for the services; rejects if it does not answer. */
  async askForwardingStatus(
    { address }: Member,
    services: readonly string[],
  ): Promise<ForwardingStatus> {
    const request: ForwardingRequest = { services };
    const link = this.#links.clientFor(address);
    const reply = link.request<unknown>(PEER_REQUESTS.forwarding, request, REQUEST_TIMEOUT_MS);
    return parseForwardingStatus(await reply);
  }

  /** Stops all tasks and closes all links. */
  end(): void {
    this.#abort.abort();
    this.#reports.stop();
    this.membership.stop();
    this.#links.close();
    void this.#server.stop();
  }

  #readerOf(member: Member): KindReader {
    let reader = this.#readers.get(member.address);
    if (reader === undefined) {
      const link = this.#links.clientFor(member.address);
      reader = peerReader(member.address, link, this.tally, reply => {
        this.#noteOutliers(reply.outliers);
        this.#reportedLacking = new Set(reply.lackingGroups);
        this.#canSendOrders.set(member.address, reply.canSendOrders);
      });
      this.#readers.set(member.address, reader);
    }
    return reader;
  }

  // Followers of this host receive a new outlier within a few milliseconds, with the replies that they are waiting
  // for, instead of after the quarter of a second between two requests.
  #noteOutliers(reports: readonly OutlierReport[]): void {
    const { self, hostUnreachable } = this.#options;
    let hasNewEjection = false;
    for (const report of reports) {
      const outcome = this.outliers.note(report);
      if (outcome === 'ejected') {
        hasNewEjection = true;
        this.#logEjection(report);
      }
      const isFromOwnDomain = report.reporterDomain === self.failureDomain;
      if (outcome !== 'known' && report.isUnreachable && isFromOwnDomain) {
        hostUnreachable(report.targetDomain, report.targetHost);
      }
    }
    if (hasNewEjection) {
      this.#options.counters.count('outliers_ejected_total');
      this.#options.watchOf(OBJECT_KINDS.hosts)?.cache.endWaits();
      this.#options.groupEjected();
    }
  }

  #logEjection({
    target,
    targetHost,
    reporter,
    reporterDomain,
    isUnreachable,
  }: OutlierReport): void {
    this.#options.log.info('group ejected', {
      group: target,
      host: targetHost,
      lastReporter: reporter,
      reporterDomain,
      isUnreachable,
    });
  }

  // Addresses of all hosts that this one exchanges reports with: the peer it follows and its own followers. A host
  // that follows the store adds the lease holder and a host of each failure domain without followers of this host.
  // Peers that have lost the store are included: reports do not need it.
  #neighbours(): readonly string[] {
    const { self, leaseHolder } = this.#options;
    const { above } = this.membership.candidates;
    const followed = above.find(member => !this.#choice.isUnreachable(member.address));
    const storeNeighbours = [this.membership.get(leaseHolder() ?? ''), ...this.#firstReachable()];
    const aboveNeighbours =
      followed === undefined || this.followsStore ? storeNeighbours : [followed];
    const followers = this.#followers.names().map(name => this.membership.get(name));
    const addresses = [...aboveNeighbours, ...followers].flatMap(member => member?.address ?? []);
    return [...new Set(addresses)].filter(address => address !== self.address);
  }

  // A host that follows the store requests the tallies of failure domains in which no host follows it.
  async #exchange(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const periodMs = this.followsStore ? EXCHANGE_PERIOD_MS : IDLE_EXCHANGE_PERIOD_MS;
      await sleep(periodMs, this.#abort.signal);
      if (this.followsStore) {
        await Promise.all(this.#firstReachable().map(member => this.#requestTally(member)));
      }
      // Neighbours that are new since the last round have not received the reports yet.
      this.#reports.shareAll();
    }
  }

  #firstReachable(): readonly Member[] {
    const chosen = new Map<string, Member>();
    for (const member of this.membership.firstRemoteMembers) {
      if (this.tally.hasFollowerIn(member.failureDomain)) {
        continue;
      }
      const taken = chosen.get(member.failureDomain);
      if (taken === undefined || this.#choice.isUnreachable(taken.address)) {
        chosen.set(member.failureDomain, member);
      }
    }
    return [...chosen.values()];
  }

  async #requestTally(member: Member): Promise<void> {
    const reader = this.#readerOf(member);
    try {
      const link = this.#links.clientFor(member.address);
      const reply = await link.request<unknown>(PEER_REQUESTS.tally, null, REQUEST_TIMEOUT_MS);
      this.tally.noteDomain(member.failureDomain, parseTallyReply(reply));
      this.#tallyFailures.recordSuccess();
    } catch (error) {
      this.#choice.recordOutcome(reader, 'failed');
      this.#tallyFailures.recordFailure(error);
    }
  }
}
