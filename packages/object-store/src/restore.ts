/** Writes objects again that the platform lost when it was restored from an older copy. */
import type { ConfigurationHead, ConfigurationRevision, Revision } from '@hingescale/core';
import { eraOf } from '@hingescale/core';
import type { Result } from 'true-myth';

import { writeParts } from './configuration-store.js';
import type { ObjectKind, PlatformClient, StoredObject } from './platform-client.js';
import type { PlatformError } from './platform-error.js';
import type { ObjectWatcher } from './watcher.js';

/**
 * Writes the lost objects of a kind that `isOwn` selects and returns the names of those written. Objects whose write
 * fails stay lost, so that the next call tries them again.
 */
export async function restoreLost<T>(
  client: PlatformClient,
  kind: ObjectKind,
  watcher: ObjectWatcher<T>,
  isOwn: (value: T) => boolean,
): Promise<readonly string[]> {
  const restored: string[] = [];
  for (const object of watcher.lost.filter(({ value }) => isOwn(value))) {
    const written = await writeAgain(client, kind, object);
    if (written.isOk) {
      await watcher.take([written.value]);
      restored.push(object.name);
    }
  }
  return restored;
}

/** Writes the configuration in force again if the platform has lost it; returns true when it was written. */
export async function restoreConfiguration(
  client: PlatformClient,
  watcher: ObjectWatcher<ConfigurationHead>,
  inForce: ConfigurationRevision | undefined,
): Promise<boolean> {
  const [head] = watcher.lost;
  if (head === undefined || head.value.operation !== inForce?.head.operation) {
    return false;
  }
  const parts = await writeParts(client, inForce.files);
  if (parts.isErr) {
    return false;
  }
  const restored = await restoreLost(client, 'configuration', watcher, () => true);
  return restored.length > 0;
}

// Updates the object that the copy holds, at the copy's version; creates an object that the copy lacks.
function writeAgain<T>(
  client: PlatformClient,
  kind: ObjectKind,
  { name, version, value }: StoredObject<T>,
): Promise<Result<StoredObject<T>, PlatformError>> {
  return isOfCurrentEra(client, version)
    ? client.update(kind, name, version, value)
    : client.create(kind, name, value);
}

function isOfCurrentEra(client: PlatformClient, version: Revision): boolean {
  return eraOf(version) === client.era;
}
