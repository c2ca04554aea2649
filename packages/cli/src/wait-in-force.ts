/** Waits until a revision is in force on every process that a controller reports. */
import type { ControllerStatus } from '@hingescale/controller';
import { monotonicMs, sleep } from '@hingescale/runtime';

import type { AdminClient } from './admin-client.js';

/** Pause between two status queries, in milliseconds. */
const POLL_INTERVAL_MS = 200;

/** Returns the processes that have not confirmed the revision when the time limit ends; empty as soon as all have. */
export async function waitInForce(
  client: AdminClient,
  revision: number,
  timeoutMs: number,
): Promise<string[]> {
  const deadlineMs = monotonicMs() + timeoutMs;
  for (;;) {
    const unconfirmed = unconfirmedProcesses(await client.statuses(), revision);
    if (unconfirmed.length === 0 || monotonicMs() > deadlineMs) {
      return unconfirmed;
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Names of the controllers and gateways that report a lower revision, sorted. */
export function unconfirmedProcesses(
  statuses: readonly ControllerStatus[],
  revision: number,
): string[] {
  const unconfirmed = new Set<string>();
  for (const status of statuses) {
    if (status.revision < revision) {
      unconfirmed.add(status.controller);
    }
    for (const gateway of status.gateways) {
      if (gateway.revision < revision) {
        unconfirmed.add(gateway.instance);
      }
    }
  }
  return [...unconfirmed].sort();
}
