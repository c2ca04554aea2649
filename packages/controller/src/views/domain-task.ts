/** Rebuilds the view of this controller's failure domain when ledgers, hosts or configuration change. */
import type { DomainView, Ledger } from '@hingescale/core';
import { buildView } from '@hingescale/core';
import type { ConfigurationHolder, HostWatcher, ObjectWatcher } from '@hingescale/object-store';
import { Task } from '@hingescale/runtime';
import type { MemberProber } from '@hingescale/upstream';

import type { LoadCollector } from './load-collector.js';

/** Options of the domain task. */
export type DomainTaskOptions = {
  readonly failureDomain: string;
  readonly configurationHolder: ConfigurationHolder;
  readonly hosts: HostWatcher;
  readonly ledgers: ObjectWatcher<Ledger>;
  readonly prober: MemberProber;
  readonly collector: LoadCollector;
  /** True while this controller is the last known lease holder; a lapsed lease does not end it. */
  readonly isLastKnownLeaseHolder: () => boolean;
};

/** Messages of the domain task: `changed` carries a view whose version differs from the previous one. */
export type DomainMessages = { changed: DomainView };

/** Maintains the view of one failure domain and the targets of the prober and the load collector. */
export class DomainTask extends Task<DomainMessages> {
  readonly #options: DomainTaskOptions;
  #view: DomainView | undefined;

  constructor(options: DomainTaskOptions) {
    super();
    this.#options = options;
  }

  /** The latest view; undefined while this controller is not the last known lease holder. */
  get view(): DomainView | undefined {
    return this.#options.isLastKnownLeaseHolder() ? this.#view : undefined;
  }

  /** Subscribes to changes of the configuration, the hosts and the ledgers. */
  start(): void {
    const { configurationHolder, hosts, ledgers } = this.#options;
    const rebuild = (): void => {
      this.rebuild();
    };
    configurationHolder.messages.on('applied', rebuild);
    hosts.messages.on('changed', rebuild);
    ledgers.messages.on('changed', rebuild);
  }

  /**
   * Rebuilds the view and passes its hosts to the prober and its heads to the load collector. Does nothing before the
   * configuration, the hosts and the ledgers have been read.
   */
  rebuild(): void {
    const { failureDomain, configurationHolder, hosts, ledgers, prober, collector } = this.#options;
    const configuration = configurationHolder.configuration;
    if (configuration === undefined || !hosts.synced || !ledgers.synced) {
      return;
    }
    const ownHosts = hosts.hosts.filter(host => host.failureDomain === failureDomain);
    const storedLedgers = [...ledgers.objects.values()].map(object => object.value);
    const view = buildView(failureDomain, configuration, ownHosts, storedLedgers);
    const isProber = this.#options.isLastKnownLeaseHolder();
    // The host list also contains hosts of plain services, which do not implement the protocol of model engines.
    const modelUpstreams = new Set([...configuration.models.values()].map(model => model.upstream));
    const targets = ownHosts
      .filter(host => modelUpstreams.has(host.upstream))
      .map(host => ({ host: host.id, address: host.address }));
    prober.retarget(isProber ? targets : []);
    const ready = view.groups.filter(entry => entry.group.state === 'ready');
    const heads = ready.map(({ group, members }) => ({
      group,
      address: members[0].address,
    }));
    collector.setTargets(isProber ? heads : []);
    const changed = view.version !== this.#view?.version;
    this.#view = view;
    if (changed) {
      void this.messages.emit('changed', view);
    }
  }
}
