/** Holds the configuration in force, which is only ever replaced by a higher revision. */
import type { Configuration, ConfigurationRevision } from '@hingescale/core';
import { readConfiguration } from '@hingescale/core';
import type { Log, Metrics } from '@hingescale/runtime';
import Emittery from 'emittery';

/** Events of the holder; `applied` carries the revision that came into force. */
export type ConfigurationMessages = { applied: ConfigurationRevision };

/** Holds the configuration of a process and emits an event for each new revision. */
export class ConfigurationHolder {
  readonly messages = new Emittery<ConfigurationMessages>();
  readonly #log: Log;
  readonly #metrics: Metrics;
  #revision: ConfigurationRevision | undefined;
  #configuration: Configuration | undefined;

  constructor(log: Log, metrics: Metrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Number of the revision in force; 0 when there is none. */
  get revision(): number {
    return this.#revision?.head.revision ?? 0;
  }

  /** The revision in force with its file texts, as it is passed to other processes. */
  get current(): ConfigurationRevision | undefined {
    return this.#revision;
  }

  /** The configuration in force, parsed; undefined when there is none. */
  get configuration(): Configuration | undefined {
    return this.#configuration;
  }

  /** Applies a revision if it is higher than the current one and valid; returns true when it was applied. */
  offer(offered: ConfigurationRevision): boolean {
    if (offered.head.revision <= this.revision) {
      return false;
    }
    const parsed = readConfiguration(offered.files);
    if (parsed.isErr) {
      this.#metrics.count('configuration_rejected_total');
      this.#log.error('configuration rejected', {
        revision: offered.head.revision,
      });
      return false;
    }
    this.#revision = offered;
    this.#configuration = parsed.value;
    this.#metrics.gauge('configuration_revision', offered.head.revision);
    this.#log.info('configuration in force', {
      revision: offered.head.revision,
    });
    void this.messages.emit('applied', offered);
    return true;
  }
}
