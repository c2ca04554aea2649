/** Keeps the view of the own failure domain in step with ledgers, hosts and configuration. */
import type { DomainView, Ledger } from '@hingescale/core';
import { buildView } from '@hingescale/core';
import type { ConfigurationHolder, HostWatcher, ObjectWatcher } from '@hingescale/object-store';
import { Task } from '@hingescale/runtime';
import type { MemberProber } from '@hingescale/upstream';

import type { LoadCollector } from './load-collector.js';

/** Options of the domain task. */
export type DomainTaskOptions = {
  readonly failureDomain: string;
  readonly holder: ConfigurationHolder;
  readonly hosts: HostWatcher;
  readonly ledgers: ObjectWatcher<Ledger>;
  readonly prober: MemberProber;
  readonly collector: LoadCollector;
  /** True while this process may vouch for the failure domain. */
  readonly vouches: () => boolean;
};

/** What the domain task tells. */
export type DomainMessages = { changed: DomainView };

/** Owns the view of one failure domain. */
export class DomainTask extends Task<DomainMessages> {
  readonly #options: DomainTaskOptions;
  #view: DomainView | undefined;

  constructor(options: DomainTaskOptions) {
    super();
    this.#options = options;
  }

  /** The view, while this process vouches for it. */
  get view(): DomainView | undefined {
    return this.#options.vouches() ? this.#view : undefined;
  }

  /** Starts following its sources. */
  start(): void {
    const { holder, hosts, ledgers } = this.#options;
    const rebuild = (): void => {
      this.rebuild();
    };
    holder.messages.on('applied', rebuild);
    hosts.messages.on('changed', rebuild);
    ledgers.messages.on('changed', rebuild);
  }

  /** Builds the view anew and points the prober and the load collector at its hosts. */
  rebuild(): void {
    const { failureDomain, holder, hosts, ledgers, prober, collector } = this.#options;
    const configuration = holder.configuration;
    if (configuration === undefined || !hosts.synced || !ledgers.synced) {
      return;
    }
    const own = hosts.hosts.filter(host => host.failureDomain === failureDomain);
    const stored = [...ledgers.objects.values()].map(object => object.value);
    const view = buildView(failureDomain, configuration, own, stored);
    const probing = this.#options.vouches();
    // Runners of plain services are on the list too; they do not speak the engines' protocol.
    const engines = new Set([...configuration.models.values()].map(model => model.upstream));
    const targets = own
      .filter(host => engines.has(host.upstream))
      .map(host => ({ host: host.id, address: host.address }));
    prober.retarget(probing ? targets : []);
    const ready = view.groups.filter(entry => entry.group.state === 'ready');
    const leaders = ready.map(({ group, members }) => ({
      group,
      address: members[0].address,
    }));
    collector.retarget(probing ? leaders : []);
    const changed = view.version !== this.#view?.version;
    this.#view = view;
    if (changed) {
      void this.messages.emit('changed', view);
    }
  }
}
