/** Waits until a revision is in force on every process that is heard. */
import type { ControllerStatus } from '@hingescale/controller';
import { monotonicMs, sleep } from '@hingescale/runtime';

import type { AdminClient } from './admin-client.js';

const STEP_MS = 200;

/** Processes that have not confirmed the revision when the time is over; none when all have. */
export async function waitInForce(
  client: AdminClient,
  revision: number,
  timeoutMs: number,
): Promise<string[]> {
  const until = monotonicMs() + timeoutMs;
  for (;;) {
    const behind = notConfirmed(await client.statuses(), revision);
    if (behind.length === 0 || monotonicMs() > until) {
      return behind;
    }
    await sleep(STEP_MS);
  }
}

/** Names of processes with a lower revision. */
export function notConfirmed(statuses: readonly ControllerStatus[], revision: number): string[] {
  const behind = new Set<string>();
  for (const status of statuses) {
    if (status.revision < revision) {
      behind.add(status.controller);
    }
    for (const gateway of status.gateways) {
      if (gateway.revision < revision) {
        behind.add(gateway.instance);
      }
    }
  }
  return [...behind].sort();
}
