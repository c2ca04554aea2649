/** Orders to evacuate failure domains, as objects in the platform. */
import type { Evacuation, VersionedEvacuation } from '@hingescale/core';
import { Result } from 'true-myth';

import type { PlatformClient, StoredObject } from './platform-client.js';
import type { PlatformError } from './platform-error.js';

/**
 * Writes an order, unless the one in force says the same; returns the order in force. Fails with `conflict`
 * when another order was written meanwhile.
 */
export async function writeEvacuation(
  client: PlatformClient,
  evacuation: Evacuation,
): Promise<Result<StoredObject<Evacuation>, PlatformError>> {
  const { failureDomain } = evacuation;
  const present = await client.read<Evacuation>('evacuation', failureDomain);
  if (present.isErr) {
    return present.error.reason === 'missing'
      ? client.create('evacuation', failureDomain, evacuation)
      : Result.err(present.error);
  }
  const { version, value } = present.value;
  return value.evacuated === evacuation.evacuated
    ? present
    : client.update('evacuation', failureDomain, version, evacuation);
}

/** Stored orders in the form in which they are passed on to gateways. */
export function versioned(
  objects: Iterable<StoredObject<Evacuation>>,
): readonly VersionedEvacuation[] {
  return [...objects].map(({ version, value }) => ({ version, evacuation: value }));
}
