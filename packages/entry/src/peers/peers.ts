/**
 * What entry hosts tell each other: the objects that they follow, what they add up, and stalled
 * groups.
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
import { monotonicMs, sleep } from '../server/time.js';
import type { KindReader, KindView } from '../store/kind-reader.js';
import { storeReader } from '../store/kind-reader.js';
import type { ObjectKind, ObjectStore } from '../store/object-store.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import type { ReaderChoice, WatchedKind } from '../store/watched-kind.js';
import type { Member } from './member.js';
import { Membership } from './membership.js';
import type { Counts, SuspectRequest } from './peer-messages.js';
import { PEER_REQUESTS } from './peer-messages.js';
import { peerReader } from './peer-reader.js';
import { createPeerServer } from './peer-server.js';
import { readTallyReply } from './read-messages.js';
import { PeerReaderChoice } from './reader-choice.js';
import type { ReportSources } from './shared-reports.js';
import { SharedReports } from './shared-reports.js';
import { SharedTally } from './shared-tally.js';

/** Options of the peers. */
export type PeersOptions = ReportSources & {
  readonly self: Member;
  /** Addresses (`ip:port`) of some peers; they may be gone. */
  readonly seeds: readonly string[];
  /** Shared by all entry hosts; empty where the network is trusted. */
  readonly key: string;
  readonly store: ObjectStore;
  /** What this host knows itself, for its followers. */
  readonly watchOf: (kind: ObjectKind) => WatchedKind | undefined;
  /** Requests of this host in progress at upstream hosts. */
  readonly ownLoads: () => Counts;
  /** Recent work of this host's requests by model. */
  readonly ownWork: () => Counts;
  /** Name of the entry host that gives orders, as far as it is known. */
  readonly orderGiver: () => string | undefined;
  /** This host gives orders, and a group is reported as stalled. */
  readonly suspected: (request: SuspectRequest) => void;
  /** True for hosts that requests may go to, by their name. */
  readonly isRoutable: (name: string) => boolean;
  /** Groups that lack a member, as far as this host sees members. */
  readonly lackingGroups: () => readonly string[];
  /** An entry host of the own failure domain could not connect to a host of another or the own one. */
  readonly unreachable: (failureDomain: string, hostId: string) => void;
  /** A group was ejected that was not before. */
  readonly ejected: () => void;
  /** Other entry hosts have told of lost runs. */
  readonly runReportsHeard: (reports: readonly RunReport[]) => void;
  /** Other entry hosts have told of hosts that are shutting down. */
  readonly leavingHeard: (hosts: readonly HostIncarnation[]) => void;
  /** Names this start of the process. */
  readonly instance: string;
  readonly log: Log;
  readonly counters: Counters;
};

/** A group that this host has met, without who has met it. */
export type SuspectedGroup = Omit<OutlierReport, 'reporter' | 'reporterDomain' | 'ageMs'>;

const EXCHANGE_PERIOD_MS = 250;
/** The same for hosts that follow a peer, which brings the tally of all, in milliseconds. */
const IDLE_EXCHANGE_PERIOD_MS = 1_000;
const REQUEST_TIMEOUT_MS = 400;
/** The same group is not reported again within this time, in milliseconds. */
const SUSPICION_PERIOD_MS = 500;
/**
 * Entry hosts up to which each starts from the store: 100 lists of 300 hosts are 10 MB, a tenth of a
 * second on a link of 1,000 Mbit/s.
 */
const MOST_MEMBERS_AT_STORE = 100;
/** A suspicion goes up to two followed hosts, and from there to the host that gives orders. */
const SUSPICION_HOPS = 3;

/** The peers of this entry host. */
export class Peers {
  /** The registered entry hosts. */
  readonly membership: Membership;
  /** What all of them have added up, as far as it is known here. */
  readonly tally: SharedTally;
  /** Groups that entry hosts have found stalled or slow. */
  readonly outliers = new OutlierReports();
  readonly #options: PeersOptions;
  readonly #links: LinkPool;
  readonly #server: LinkServer;
  readonly #store: KindReader;
  readonly #choice: PeerReaderChoice;
  readonly #readers = new Map<string, KindReader>();
  readonly #suspectedAt = new Map<string, number>();
  #toldLacking: ReadonlySet<string> = new Set();
  readonly #abort = new AbortController();
  readonly #suspicionFailures: FailureSeries;
  readonly #tallyFailures: FailureSeries;
  readonly #reports: SharedReports;

  constructor(options: PeersOptions) {
    this.#options = options;
    this.#suspicionFailures = new FailureSeries(options.log, 'pass a suspicion on');
    this.#tallyFailures = new FailureSeries(options.log, 'ask a failure domain for its tally');
    const { self, seeds, key, store, watchOf, log } = options;
    this.membership = new Membership({ self, seeds, store, log });
    this.tally = new SharedTally({ loads: options.ownLoads, work: options.ownWork });
    const identity = { role: 'entry', name: self.name, failureDomain: self.failureDomain } as const;
    this.#links = new LinkPool({ key, identity });
    this.#server = createPeerServer({
      listen: self.address,
      key,
      failureDomain: self.failureDomain,
      watchOf,
      tally: this.tally,
      outliers: this.outliers,
      runReportsHeard: options.runReportsHeard,
      limitReports: () => options.limitReports.since(0),
      leavingHeard: options.leavingHeard,
      limitReportsHeard: (reports, from) => {
        this.#reports.limitsHeard(reports, from);
      },
      instance: options.instance,
      mayBeFollowed: () => this.#choice.mayBeFollowed,
      isRoutable: options.isRoutable,
      lackingGroups: options.lackingGroups,
      suspected: request => {
        this.#noteOutliers([request.report]);
        this.#passOn(request);
      },
    });
    this.#store = storeReader(store);
    this.#choice = new PeerReaderChoice({
      store: this.#store,
      candidates: () => this.membership.candidates,
      readerOf: member => this.#readerOf(member),
    });
    this.#reports = new SharedReports({
      ...options,
      links: this.#links,
      neighbours: () => this.#neighbours(),
      addressOf: name => this.membership.get(name)?.address,
    });
  }

  /** Where kinds are read from. */
  get readers(): ReaderChoice {
    return this.#choice;
  }

  /** True while this host follows the store itself. */
  get followsStore(): boolean {
    return this.#choice.followsStore;
  }

  /**
   * True for the first host of each failure domain, as far as it can be reached. Only these look at
   * the lease: one of them has always seen it long enough to take it over as soon as it lapses.
   */
  get mayLead(): boolean {
    const { failureDomain } = this.#options.self;
    // During an outage of the store every host would take over from the others, and call it in vain.
    if (this.#choice.isAvoided(this.#store.name)) {
      return false;
    }
    return !this.membership.candidates.above.some(
      member =>
        member.failureDomain === failureDomain &&
        !this.#choice.isAvoided(this.#readerOf(member).name),
    );
  }

  /**
   * How much of the hosts this host needs: all where others follow it, and among the first of a failure
   * domain, who may have to give orders. A successor that has followed all hosts knows which model each
   * free one can rejoin in 0.2 s, which entries do not tell. Whether the hosts before this one answer
   * does not matter: when hundreds start at once, each would count itself among the first.
   */
  get hostsView(): KindView {
    const { self, orderGiver } = this.#options;
    const leads = orderGiver() === self.name;
    const { isAmongFirst } = this.membership.candidates;
    return leads || isAmongFirst || this.tally.loads.hasFollowers ? 'full' : 'routing';
  }

  /** Groups that lack a member, as the followed host has told. */
  get toldLacking(): ReadonlySet<string> {
    return this.#toldLacking;
  }

  /**
   * Whom a host that starts has its first list of hosts from. The store answers at once, while peers
   * may be starting as well, a quarter of a second later when all have lost power. But hundreds of
   * hosts that start at once would ask it for megabytes each.
   */
  get firstReader(): KindReader | undefined {
    return this.membership.count <= MOST_MEMBERS_AT_STORE ? this.#store : undefined;
  }

  /** Listens for peers, registers this host, and begins to exchange tallies. */
  async start(): Promise<void> {
    await this.#server.listen();
    void this.membership.register();
    void this.#exchange();
  }

  /** Reports a stalled group to the order giver. */
  suspect(service: string, group: SuspectedGroup): void {
    const now = monotonicMs();
    if (now - (this.#suspectedAt.get(group.target) ?? -Infinity) < SUSPICION_PERIOD_MS) {
      return;
    }
    this.#suspectedAt.set(group.target, now);
    const { name: reporter, failureDomain: reporterDomain } = this.#options.self;
    const report: OutlierReport = { ...group, reporter, reporterDomain, ageMs: 0 };
    this.#noteOutliers([report]);
    this.#passOn({ service, report, hops: SUSPICION_HOPS });
  }

  /** Tells other entry hosts of new run reports. */
  shareRunReports(): void {
    this.#reports.shareRuns();
  }

  /** Tells other entry hosts of new limits that hosts have named. */
  shareLimits(): void {
    this.#reports.shareLimits();
  }

  /** Tells other entry hosts of hosts that have said that they are shutting down. */
  shareLeaving(): void {
    this.#reports.shareLeaving();
  }

  /** Closes all links. */
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
      const link = this.#links.to(member.address);
      reader = peerReader(member.address, link, this.tally, ({ outliers, lackingGroups }) => {
        this.#noteOutliers(outliers);
        this.#toldLacking = new Set(lackingGroups);
      });
      this.#readers.set(member.address, reader);
    }
    return reader;
  }

  // Hosts that follow this one hear of a new outlier at once: it travels with the answers that they
  // wait for, in a few milliseconds instead of the quarter of a second between two questions.
  #noteOutliers(reports: readonly OutlierReport[]): void {
    const { self, unreachable } = this.#options;
    let isNews = false;
    for (const report of reports) {
      const outcome = this.outliers.note(report);
      isNews ||= outcome === 'ejected';
      const fromHere = report.reporterDomain === self.failureDomain;
      if (outcome !== 'known' && report.isUnreachable && fromHere) {
        unreachable(report.targetDomain, report.targetHost);
      }
    }
    if (isNews) {
      this.#options.counters.count('outliers_ejected_total');
      this.#options.watchOf(OBJECT_KINDS.hosts)?.cache.wakeAll();
      this.#options.ejected();
    }
  }

  // All whom this host exchanges anything with: whom it follows and who follows it, and whoever follows the
  // store also the host that gives orders, and failure domains that nobody of follows it.
  #neighbours(): readonly string[] {
    const { self, orderGiver } = this.#options;
    const { above } = this.membership.candidates;
    const followed = above.find(member => !this.#choice.isAvoided(this.#readerOf(member).name));
    const beside = [this.membership.get(orderGiver() ?? ''), ...this.#firstReachable()];
    const upwards = followed === undefined || this.followsStore ? beside : [followed];
    const followers = this.tally.loads.followers.map(name => this.membership.get(name));
    const addresses = [...upwards, ...followers].flatMap(member => member?.address ?? []);
    return [...new Set(addresses)].filter(address => address !== self.address);
  }

  #passOn(request: SuspectRequest): void {
    const { self, orderGiver, suspected, counters } = this.#options;
    const giver = orderGiver();
    if (giver === self.name) {
      suspected(request);
      return;
    }
    // Only a host that follows the store looks at the lease; what others saw of it may be old.
    const upToDate = giver !== undefined && this.followsStore;
    const known = upToDate ? this.membership.get(giver) : undefined;
    const above = this.membership.candidates.above.find(
      member => !this.#choice.isAvoided(this.#readerOf(member).name),
    );
    const to = known ?? above ?? this.membership.remoteHeads[0];
    if (to === undefined || request.hops <= 0) {
      counters.count('suspicions_dropped_total');
      return;
    }
    const passed: SuspectRequest = { ...request, hops: request.hops - 1 };
    this.#links
      .to(to.address)
      .request(PEER_REQUESTS.suspect, passed, REQUEST_TIMEOUT_MS)
      .then(() => {
        this.#suspicionFailures.succeeded();
      })
      .catch((error: unknown) => {
        counters.count('suspicions_dropped_total');
        this.#suspicionFailures.failed(error);
      });
  }

  // Hosts that follow the store ask failure domains of which nobody follows them for their tally.
  async #exchange(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const periodMs = this.followsStore ? EXCHANGE_PERIOD_MS : IDLE_EXCHANGE_PERIOD_MS;
      await sleep(periodMs, this.#abort.signal);
      if (this.followsStore) {
        await Promise.all(this.#firstReachable().map(member => this.#askTally(member)));
      }
      // There may be other neighbours now, who have not heard of them.
      this.#reports.shareAll();
    }
  }

  #firstReachable(): readonly Member[] {
    const chosen = new Map<string, Member>();
    for (const member of this.membership.remoteHeads) {
      if (this.tally.hasFollowerIn(member.failureDomain)) {
        continue;
      }
      const taken = chosen.get(member.failureDomain);
      if (taken === undefined || this.#choice.isAvoided(taken.address)) {
        chosen.set(member.failureDomain, member);
      }
    }
    return [...chosen.values()];
  }

  async #askTally(member: Member): Promise<void> {
    const reader = this.#readerOf(member);
    try {
      const link = this.#links.to(member.address);
      const reply = await link.request<unknown>(PEER_REQUESTS.tally, null, REQUEST_TIMEOUT_MS);
      this.tally.noteDomain(member.failureDomain, readTallyReply(reply));
      this.#tallyFailures.succeeded();
    } catch (error) {
      this.#choice.note(reader, 'failed');
      this.#tallyFailures.failed(error);
    }
  }
}
