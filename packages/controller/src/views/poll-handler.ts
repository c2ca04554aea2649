/** Answers the polls of gateways and of other controllers. */
import type { Certificate, DomainView, VersionedEvacuation } from '@hingescale/core';
import { certificateExpiry } from '@hingescale/core';
import type {
  GroupCacheEvents,
  KeyGrant,
  LoadReport,
  PollReply,
  PollRequest,
} from '@hingescale/link';
import type { ConfigurationHolder } from '@hingescale/object-store';
import { monotonicMs } from '@hingescale/runtime';
import type { MemberProber } from '@hingescale/upstream';

import type { LeaseTask } from '../lease/lease-task.js';
import type { GatewayRoster } from './gateway-roster.js';
import type { RemoteDomains } from './remote-domains.js';

/** Options of the poll handler. */
export type PollHandlerOptions = {
  /** Name of this controller. */
  readonly controllerName: string;
  readonly failureDomain: string;
  /** Lifetime of a readiness certificate, in milliseconds. */
  readonly certificateLifetimeMs: number;
  readonly lease: LeaseTask;
  readonly configurationHolder: ConfigurationHolder;
  readonly prober: MemberProber;
  readonly roster: GatewayRoster;
  readonly remoteDomains: RemoteDomains;
  /** View of this failure domain; undefined while this controller is not the last known lease holder. */
  readonly ownView: () => DomainView | undefined;
  /** The evacuation orders; undefined until they have been read from the platform. */
  readonly evacuations: () => readonly VersionedEvacuation[] | undefined;
  readonly loadReports: () => readonly LoadReport[];
  /** Cache events of all groups from the given numbers on, by group. */
  readonly cacheEvents: (from: Readonly<Record<string, number>>) => readonly GroupCacheEvents[];
};

/** Builds the answers to polls from the last known state of the failure domains. */
export class PollHandler {
  readonly #options: PollHandlerOptions;

  constructor(options: PollHandlerOptions) {
    this.#options = options;
  }

  /** Answers one poll; also takes over a newer configuration that it carries, and records polls of gateways. */
  answer(poll: PollRequest): PollReply {
    const { controllerName, lease, configurationHolder, roster, ownView } = this.#options;
    if (poll.configuration !== undefined) {
      configurationHolder.offer(poll.configuration);
    }
    const view = ownView();
    const fromGateway = poll.role === 'gateway';
    if (fromGateway) {
      roster.recordPoll(poll);
    }
    return {
      controller: controllerName,
      active: lease.holds(),
      vouching: view !== undefined,
      activeAddress: lease.lease?.address ?? '',
      revision: configurationHolder.revision,
      configuration:
        poll.revision < configurationHolder.revision ? configurationHolder.current : undefined,
      wantConfiguration: poll.revision > configurationHolder.revision,
      evacuations: fromGateway ? this.#options.evacuations() : undefined,
      usage: fromGateway ? roster.usageOfOthers(poll.instance) : [],
      cacheEvents: fromGateway ? this.#options.cacheEvents(poll.cacheFrom) : [],
      ...this.#domainState(poll, view, fromGateway),
    };
  }

  /** Readiness certificates that are valid now, for the groups in a view of this failure domain. */
  ownCertificates(view: DomainView): Certificate[] {
    const { prober, certificateLifetimeMs } = this.#options;
    const answers = prober.answers();
    const now = monotonicMs();
    return view.groups.flatMap(({ group }) => {
      // A draining group also gets one, because the streams that it finishes need it.
      const serving = group.state === 'ready' || group.state === 'draining';
      const expiry = serving ? certificateExpiry(group, answers, certificateLifetimeMs) : 0;
      const remainingMs = (expiry ?? 0) - now;
      return remainingMs > 0 ? [{ group: group.id, epoch: group.epoch, remainingMs }] : [];
    });
  }

  // Other controllers get the state of this failure domain only; gateways get that of all failure domains.
  #domainState(
    poll: PollRequest,
    view: DomainView | undefined,
    withRemotes: boolean,
  ): Pick<PollReply, 'views' | 'certificates' | 'loads' | 'keys'> {
    const { remoteDomains, loadReports } = this.#options;
    const ownViews = view === undefined ? [] : [view];
    const views = withRemotes ? [...ownViews, ...remoteDomains.views()] : ownViews;
    const certificates = view === undefined ? [] : this.ownCertificates(view);
    const ownGrants = this.#keyGrants();
    return {
      views: views.filter(entry => poll.views[entry.failureDomain] !== entry.version),
      certificates: withRemotes ? [...certificates, ...remoteDomains.certificates()] : certificates,
      loads: withRemotes ? [...loadReports(), ...remoteDomains.loads()] : loadReports(),
      keys: withRemotes ? [...ownGrants, ...remoteDomains.grants()] : ownGrants,
    };
  }

  #keyGrants(): KeyGrant[] {
    const { lease, failureDomain } = this.#options;
    const table = lease.lease?.keys;
    const remainingMs = lease.confirmedAt + (table?.leaseMs ?? 0) - monotonicMs();
    if (table === undefined || !Number.isFinite(remainingMs)) {
      return [];
    }
    return [{ failureDomain, table, remainingMs }];
  }
}
