/** Slow start at one entry host: connects the tracking of cold hosts with the rate limit on requests to them. */
import type { HostBatch } from '../hosts/host-registry.js';
import { monotonicMs } from '../server/time.js';
import type { ColdHostsOptions } from './cold-hosts.js';
import { ColdHosts } from './cold-hosts.js';
import type { ColdSendsOptions } from './cold-sends.js';
import { ColdSends } from './cold-sends.js';

/** The settings of slow start. */
type SlowStartBounds = ReturnType<ColdSendsOptions['bounds']> & { readonly heartbeatMs: number };

/** Options of {@link SlowStartLimits}. */
export type SlowStartLimitsOptions = Omit<ColdSendsOptions, 'coldPeriodOf' | 'bounds'> &
  Pick<ColdHostsOptions, 'log'> & {
    /** Called for each use, since settings may change. */
    readonly bounds: () => SlowStartBounds;
  };

/** Tracks cold hosts and limits the requests to them, by this process's monotonic clock. */
export class SlowStartLimits {
  /** The rate limit on requests to cold hosts. */
  readonly sends: ColdSends;
  readonly #hosts: ColdHosts;

  constructor(options: SlowStartLimitsOptions) {
    const { slowStartOf, bounds, log } = options;
    this.#hosts = new ColdHosts({ slowStartOf, heartbeatMs: () => bounds().heartbeatMs, log });
    this.sends = new ColdSends({
      ...options,
      coldPeriodOf: (host, now) => this.#hosts.coldPeriodOf(host, now),
    });
  }

  /** Number of hosts that count as cold now. */
  get coldHosts(): number {
    return this.#hosts.count(monotonicMs());
  }

  /** Applies the host entries of one answer of the store or a peer. */
  readonly applyBatch = (batch: HostBatch): void => {
    this.#hosts.applyBatch(batch, monotonicMs());
  };

  /** Records that the evacuation of a failure domain ended at a revision of the store. */
  readonly noteEvacuationEnd = (failureDomain: string, revision: number): void => {
    this.#hosts.noteEvacuationEnd(failureDomain, revision, monotonicMs());
  };
}
