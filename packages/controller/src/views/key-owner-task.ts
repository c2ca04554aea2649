/** Updates the key owners of the failure domain when the set of gateways that poll the lease holder changes. */
import type { KeyOwner } from '@hingescale/core';
import { changeKeyOwners } from '@hingescale/core';
import { sleep, Task } from '@hingescale/runtime';

import type { LeaseTask } from '../lease/lease-task.js';
import type { GatewayRoster } from './gateway-roster.js';

/** Options of the key owner task. */
export type KeyOwnerTaskOptions = {
  readonly lease: LeaseTask;
  readonly roster: GatewayRoster;
  /** Time between two checks of the owners, in milliseconds. */
  readonly periodMs: number;
  /** Time for which idempotency keys are remembered, in milliseconds. */
  readonly keyMemoryMs: number;
  /** Time that gateways have for their first poll after a start or a change of lease holder, in milliseconds. */
  readonly initialDelayMs: number;
};

/** Changes the key owner table when gateways join or leave; acts only while this controller holds the lease. */
export class KeyOwnerTask extends Task<Record<never, never>> {
  readonly #options: KeyOwnerTaskOptions;

  constructor(options: KeyOwnerTaskOptions) {
    super();
    this.#options = options;
  }

  /** Starts the periodic check of the owners. */
  start(): void {
    const { lease, initialDelayMs, periodMs } = this.#options;
    this.run(async () => {
      while (!this.stopped) {
        if (lease.holds()) {
          await sleep(initialDelayMs, this.signal);
          while (lease.holds() && !this.stopped) {
            this.#update();
            await sleep(periodMs, this.signal);
          }
        }
        await sleep(periodMs, this.signal);
      }
    });
  }

  #update(): void {
    const { lease, roster, keyMemoryMs } = this.#options;
    const eligible = roster.owners();
    const current = lease.lease?.keys.owners ?? [];
    // While no gateway can own keys, the table stays as it is until gateways poll again.
    if (eligible.length > 0 && !sameOwners(eligible, current)) {
      lease.changeKeys(table =>
        sameOwners(eligible, table.owners)
          ? table
          : changeKeyOwners(table, eligible, Date.now(), keyMemoryMs),
      );
    }
  }
}

function sameOwners(a: readonly KeyOwner[], b: readonly KeyOwner[]): boolean {
  const instances = (owners: readonly KeyOwner[]): string =>
    owners.map(owner => owner.instance).join(',');
  return instances(a) === instances(b);
}
