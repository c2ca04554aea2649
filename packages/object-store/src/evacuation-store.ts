/** Stores the orders to evacuate failure domains in the platform. */
import type { Evacuation, VersionedEvacuation } from '@hingescale/core';
import { Result } from 'true-myth';

import type { PlatformClient, StoredObject } from './platform-client.js';
import type { PlatformError } from './platform-error.js';

/**
 * Writes an order unless the stored one has the same `evacuated` value; returns the stored order. Fails with
 * `conflict` when another order was written meanwhile.
 */
export async function writeEvacuation(
  client: PlatformClient,
  evacuation: Evacuation,
): Promise<Result<StoredObject<Evacuation>, PlatformError>> {
  const { failureDomain } = evacuation;
  const existing = await client.read<Evacuation>('evacuation', failureDomain);
  if (existing.isErr) {
    return existing.error.reason === 'missing'
      ? client.create('evacuation', failureDomain, evacuation)
      : Result.err(existing.error);
  }
  const { version, value } = existing.value;
  return value.evacuated === evacuation.evacuated
    ? existing
    : client.update('evacuation', failureDomain, version, evacuation);
}

/** Converts stored orders to the form that is sent to gateways. */
export function versioned(
  objects: Iterable<StoredObject<Evacuation>>,
): readonly VersionedEvacuation[] {
  return [...objects].map(({ version, value }) => ({ version, evacuation: value }));
}
