/** Slow start at one entry host: wires together which hosts are cold and what may be sent to them. */
import type { HostBatch } from '../hosts/host-registry.js';
import { monotonicMs } from '../server/time.js';
import type { ColdHostsOptions } from './cold-hosts.js';
import { ColdHosts } from './cold-hosts.js';
import type { ColdSendsOptions } from './cold-sends.js';
import { ColdSends } from './cold-sends.js';

/** Bounds of slow start, as the settings give them. */
type SlowStartBounds = ReturnType<ColdSendsOptions['bounds']> & { readonly heartbeatMs: number };

/** Options of slow start. */
export type SlowStartLimitsOptions = Omit<ColdSendsOptions, 'spellOf' | 'bounds'> &
  Pick<ColdHostsOptions, 'log'> & {
    /** Asked anew each time, since settings may change. */
    readonly bounds: () => SlowStartBounds;
  };

/** Cold hosts and the sends to them, by this process's clock. */
export class SlowStartLimits {
  readonly sends: ColdSends;
  readonly #hosts: ColdHosts;

  constructor(options: SlowStartLimitsOptions) {
    const { slowStartOf, bounds, log } = options;
    this.#hosts = new ColdHosts({ slowStartOf, heartbeatMs: () => bounds().heartbeatMs, log });
    this.sends = new ColdSends({
      ...options,
      spellOf: (host, now) => this.#hosts.spellOf(host, now),
    });
  }

  /** Hosts that count as cold now. */
  get coldHosts(): number {
    return this.#hosts.count(monotonicMs());
  }

  /** Takes the hosts of one answer of the store or a peer. */
  readonly batchTaken = (batch: HostBatch): void => {
    this.#hosts.take(batch, monotonicMs());
  };

  /** The evacuation of a failure domain has ended at a revision of the store. */
  readonly evacuationEnded = (failureDomain: string, revision: number): void => {
    this.#hosts.evacuationEnded(failureDomain, revision, monotonicMs());
  };
}
