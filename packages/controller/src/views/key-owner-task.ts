/** Keeps the key owners of the failure domain in step with the gateways that are heard. */
import type { KeyOwner } from '@hingescale/core';
import { changeKeyOwners } from '@hingescale/core';
import { sleep, Task } from '@hingescale/runtime';

import type { LeaseTask } from '../lease/lease-task.js';
import type { GatewayRoster } from './gateway-roster.js';

/** Options of the key owner task. */
export type KeyOwnerTaskOptions = {
  readonly lease: LeaseTask;
  readonly roster: GatewayRoster;
  readonly periodMs: number;
  readonly keyMemoryMs: number;
  /** After a start or a change of holder, gateways get this long to be heard. */
  readonly settleMs: number;
};

/** Changes the key table when gateways come and go; runs while the lease is held. */
export class KeyOwnerTask extends Task<Record<never, never>> {
  readonly #options: KeyOwnerTaskOptions;

  constructor(options: KeyOwnerTaskOptions) {
    super();
    this.#options = options;
  }

  /** Starts watching the gateways. */
  start(): void {
    const { lease, settleMs, periodMs } = this.#options;
    this.run(async () => {
      while (!this.stopped) {
        if (lease.holds()) {
          await sleep(settleMs, this.signal);
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
    const wanted = roster.owners();
    const present = lease.lease?.keys.owners ?? [];
    // Without any gateway there is nobody to own keys; the table stays for their return.
    if (wanted.length > 0 && !sameOwners(wanted, present)) {
      lease.changeKeys(table =>
        sameOwners(wanted, table.owners)
          ? table
          : changeKeyOwners(table, wanted, Date.now(), keyMemoryMs),
      );
    }
  }
}

function sameOwners(a: readonly KeyOwner[], b: readonly KeyOwner[]): boolean {
  const names = (owners: readonly KeyOwner[]): string =>
    owners.map(owner => owner.instance).join(',');
  return names(a) === names(b);
}
