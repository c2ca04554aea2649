/** Logs a line whenever the number of serving groups changes, with the demand and free hosts behind the change. */
import type { Log } from '../server/log.js';
import type { FleetDomain, FleetView } from './fleet-view.js';
import type { ReplicaGroup } from './replica-groups.js';
import { headState } from './replica-groups.js';

/** Capacity changes in progress; the fields are logged under their own names. */
export type CapacityInProgress = {
  /** Number of groups that are being formed. */
  readonly forming: number;
  /** Number of hosts that are staging a model. */
  readonly staging: number;
};

/** Logs changes in the number of open groups per model. */
export class CapacityLog {
  readonly #log: Log;
  #lastText = '';

  constructor(log: Log) {
    this.#log = log;
  }

  /** Logs the numbers of open groups per model outside evacuated failure domains when one of them has changed. */
  logIfChanged(
    groups: readonly ReplicaGroup[],
    fleet: FleetView,
    inProgress: CapacityInProgress,
  ): void {
    const { profile, domains, evacuated } = fleet;
    const evacuatedDomains = new Set(evacuated.map(domain => domain.failureDomain));
    const open = groups.filter(group => headState(group) === 'open');
    const usable = open.filter(
      ({ head }) => head !== undefined && !evacuatedDomains.has(head.failureDomain),
    );
    const text = profile.models
      .map(({ name }) => `${name}:${usable.filter(({ model }) => model === name).length}`)
      .join(',');
    if (text === this.#lastText) {
      return;
    }
    this.#lastText = text;
    const workShares = profile.models.map(model => `${model.name}:${model.workShare.toFixed(2)}`);
    const domainsWithFreeHosts = domains.filter(domain => domain.free.length > 0);
    const spares = domainsWithFreeHosts.map(
      domain => `${domain.fabricDomain}(${describeSpares(domain)})`,
    );
    this.#log.info('capacity changed', {
      open: text,
      evacuated: open.length - usable.length,
      demand: workShares.join(','),
      ...inProgress,
      free: domains.reduce((sum, domain) => sum + domain.free.length, 0),
      spares: spares.join(' '),
    });
  }
}

// Counts the free hosts of a domain by their last or newest staged model, such as "large:3,-:1".
function describeSpares(domain: FleetDomain): string {
  const counts = new Map<string, number>();
  for (const host of domain.free) {
    const model = host.lastModel ?? host.stagedModels.at(-1) ?? '-';
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  return [...counts].map(([model, count]) => `${model}:${count}`).join(',');
}
