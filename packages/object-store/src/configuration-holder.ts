/** Holds the configuration in force; only ever moves to a higher revision. */
import type { Configuration, ConfigurationRevision } from '@hingescale/core';
import { readConfiguration } from '@hingescale/core';
import type { Log, Metrics } from '@hingescale/runtime';
import Emittery from 'emittery';

/** What the holder tells. */
export type ConfigurationMessages = { applied: ConfigurationRevision };

/** The configuration of a process. */
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

  /** Revision in force; 0 for none. */
  get revision(): number {
    return this.#revision?.head.revision ?? 0;
  }

  /** The revision in force with its texts, to hand on. */
  get current(): ConfigurationRevision | undefined {
    return this.#revision;
  }

  /** The configuration in force. */
  get configuration(): Configuration | undefined {
    return this.#configuration;
  }

  /** Puts a revision in force when it is higher than the present one; true when it was. */
  offer(offered: ConfigurationRevision): boolean {
    if (offered.head.revision <= this.revision) {
      return false;
    }
    const checked = readConfiguration(offered.files);
    if (checked.isErr) {
      this.#metrics.count('configuration_rejected_total');
      this.#log.error('configuration rejected', {
        revision: offered.head.revision,
      });
      return false;
    }
    this.#revision = offered;
    this.#configuration = checked.value;
    this.#metrics.gauge('configuration_revision', offered.head.revision);
    this.#log.info('configuration in force', {
      revision: offered.head.revision,
    });
    void this.messages.emit('applied', offered);
    return true;
  }
}
