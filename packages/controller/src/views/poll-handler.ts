/** Answers polls of gateways and of other controllers. */
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
  readonly name: string;
  readonly failureDomain: string;
  readonly certificateMs: number;
  readonly lease: LeaseTask;
  readonly holder: ConfigurationHolder;
  readonly prober: MemberProber;
  readonly roster: GatewayRoster;
  readonly remotes: RemoteDomains;
  /** The own view, or undefined while this process does not vouch for it. */
  readonly ownView: () => DomainView | undefined;
  /** The orders to evacuate failure domains; undefined before they were read from the platform. */
  readonly evacuations: () => readonly VersionedEvacuation[] | undefined;
  readonly loads: () => readonly LoadReport[];
  readonly cacheEvents: (from: Readonly<Record<string, number>>) => readonly GroupCacheEvents[];
};

/** Answers polls. */
export class PollHandler {
  readonly #options: PollHandlerOptions;

  constructor(options: PollHandlerOptions) {
    this.#options = options;
  }

  /** Answers one poll. */
  answer(poll: PollRequest): PollReply {
    const { name, lease, holder, roster, ownView } = this.#options;
    if (poll.configuration !== undefined) {
      holder.offer(poll.configuration);
    }
    const view = ownView();
    const fromGateway = poll.role === 'gateway';
    if (fromGateway) {
      roster.take(poll);
    }
    return {
      controller: name,
      active: lease.holds(),
      vouching: view !== undefined,
      activeAddress: lease.lease?.address ?? '',
      revision: holder.revision,
      configuration: poll.revision < holder.revision ? holder.current : undefined,
      wantConfiguration: poll.revision > holder.revision,
      evacuations: fromGateway ? this.#options.evacuations() : undefined,
      usage: fromGateway ? roster.usageWithout(poll.instance) : [],
      cacheEvents: fromGateway ? this.#options.cacheEvents(poll.cacheFrom) : [],
      ...this.#domains(poll, view, fromGateway),
    };
  }

  /** Certificates of the own groups that may be used now. */
  ownCertificates(view: DomainView): Certificate[] {
    const { prober, certificateMs } = this.#options;
    const answers = prober.answers();
    const now = monotonicMs();
    return view.groups.flatMap(({ group }) => {
      // A draining group still finishes streams, which need its certificate.
      const serving = group.state === 'ready' || group.state === 'draining';
      const expiry = serving ? certificateExpiry(group, answers, certificateMs) : 0;
      const remainingMs = (expiry ?? 0) - now;
      return remainingMs > 0 ? [{ group: group.id, epoch: group.epoch, remainingMs }] : [];
    });
  }

  // Other controllers only get this failure domain; gateways get all that is known.
  #domains(
    poll: PollRequest,
    view: DomainView | undefined,
    withRemotes: boolean,
  ): Pick<PollReply, 'views' | 'certificates' | 'loads' | 'keys'> {
    const { remotes, loads } = this.#options;
    const own = view === undefined ? [] : [view];
    const views = withRemotes ? [...own, ...remotes.views()] : own;
    const certificates = view === undefined ? [] : this.ownCertificates(view);
    const grant = this.#grant();
    return {
      views: views.filter(entry => poll.views[entry.failureDomain] !== entry.version),
      certificates: withRemotes ? [...certificates, ...remotes.certificates()] : certificates,
      loads: withRemotes ? [...loads(), ...remotes.loads()] : loads(),
      keys: withRemotes ? [...grant, ...remotes.grants()] : grant,
    };
  }

  #grant(): KeyGrant[] {
    const { lease, failureDomain } = this.#options;
    const table = lease.lease?.keys;
    const remainingMs = lease.confirmedAt + (table?.leaseMs ?? 0) - monotonicMs();
    if (table === undefined || !Number.isFinite(remainingMs)) {
      return [];
    }
    return [{ failureDomain, table, remainingMs }];
  }
}
