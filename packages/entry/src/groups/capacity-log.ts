/** One line whenever the number of serving groups changes, with what it was decided from. */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { Log } from '../server/log.js';
import type { FleetDomain } from './fleet-view.js';
import type { ReplicaGroup } from './replica-groups.js';
import { headState } from './replica-groups.js';

/** Hosts that do not serve. */
export type IdleHosts = {
  /** Groups that are being formed. */
  readonly forming: number;
  readonly free: number;
  readonly staging: number;
  /** Free hosts by fabric domain. */
  readonly domains: readonly FleetDomain[];
};

/** Writes the lines. */
export class CapacityLog {
  readonly #log: Log;
  #last = '';

  constructor(log: Log) {
    this.#log = log;
  }

  /** Looks whether the serving groups have changed. */
  note(groups: readonly ReplicaGroup[], profile: EngineProfile, idle: IdleHosts): void {
    const open = profile.models.map(model => {
      const serving = groups.filter(
        group => group.model === model.name && headState(group) === 'open',
      );
      return `${model.name}:${serving.length}`;
    });
    const text = open.join(',');
    if (text === this.#last) {
      return;
    }
    this.#last = text;
    const shares = profile.models.map(model => `${model.name}:${model.workShare.toFixed(2)}`);
    const { forming, free, staging, domains } = idle;
    const withFree = domains.filter(domain => domain.free.length > 0);
    const spares = withFree.map(domain => `${domain.fabricDomain}(${sparesOf(domain)})`);
    this.#log.info('capacity changed', {
      open: text,
      demand: shares.join(','),
      forming,
      free,
      staging,
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
