/** One line whenever the number of serving groups changes, with what it was decided from. */
import type { Log } from '../server/log.js';
import type { FleetDomain, FleetView } from './fleet-view.js';
import type { ReplicaGroup } from './replica-groups.js';
import { headState } from './replica-groups.js';

/** Changes of the capacity that are in progress. */
export type CapacityComing = {
  /** Groups that are being formed. */
  readonly forming: number;
  /** Hosts that are staging a model. */
  readonly staging: number;
};

/** Writes the lines. */
export class CapacityLog {
  readonly #log: Log;
  #last = '';

  constructor(log: Log) {
    this.#log = log;
  }

  /** Logs the open groups outside evacuated failure domains, if their numbers have changed. */
  note(groups: readonly ReplicaGroup[], fleet: FleetView, coming: CapacityComing): void {
    const { profile, domains, evacuated } = fleet;
    const notUsed = new Set(evacuated.map(domain => domain.failureDomain));
    const open = groups.filter(group => headState(group) === 'open');
    const usable = open.filter(
      ({ head }) => head !== undefined && !notUsed.has(head.failureDomain),
    );
    const text = profile.models
      .map(({ name }) => `${name}:${usable.filter(({ model }) => model === name).length}`)
      .join(',');
    if (text === this.#last) {
      return;
    }
    this.#last = text;
    const shares = profile.models.map(model => `${model.name}:${model.workShare.toFixed(2)}`);
    const withFree = domains.filter(domain => domain.free.length > 0);
    const spares = withFree.map(domain => `${domain.fabricDomain}(${sparesOf(domain)})`);
    this.#log.info('capacity changed', {
      open: text,
      evacuated: open.length - usable.length,
      demand: shares.join(','),
      ...coming,
      free: domains.reduce((sum, domain) => sum + domain.free.length, 0),
      spares: spares.join(' '),
    });
  }
}

// Free hosts of a domain by the model that lies on them.
function sparesOf(domain: FleetDomain): string {
  const counts = new Map<string, number>();
  for (const host of domain.free) {
    const model = host.lastModel ?? host.stagedModels.at(-1) ?? '-';
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  return [...counts].map(([model, count]) => `${model}:${count}`).join(',');
}
