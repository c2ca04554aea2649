/** One line whenever the number of serving groups changes, with what it was decided from. */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { Log } from '../server/log.js';
import type { ReplicaGroup } from './replica-groups.js';
import { headState } from './replica-groups.js';

/** Hosts that do not serve. */
export type IdleHosts = {
  /** Groups that are being formed. */
  readonly forming: number;
  readonly free: number;
  readonly staging: number;
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
    this.#log.info('capacity changed', { open: text, demand: shares.join(','), ...idle });
  }
}
