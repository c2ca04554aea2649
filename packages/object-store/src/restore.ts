/** Writes again what the platform has lost by coming back from an older copy. */
import type { ConfigurationHead, ConfigurationRevision, Revision } from '@hingescale/core';
import { eraOf } from '@hingescale/core';
import type { Result } from 'true-myth';

import { writeParts } from './configuration-store.js';
import type { ObjectKind, PlatformClient, StoredObject } from './platform-client.js';
import type { PlatformError } from './platform-error.js';
import type { ObjectWatcher } from './watcher.js';

/** Writes the lost objects of a kind that `isOwn` names; those that fail are left for the next time. */
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

/** Writes the configuration in force again where the platform has lost it; true when it was written. */
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

// Under the version of the copy's object; one that the copy lacks is created.
function writeAgain<T>(
  client: PlatformClient,
  kind: ObjectKind,
  { name, version, value }: StoredObject<T>,
): Promise<Result<StoredObject<T>, PlatformError>> {
  return isCurrent(client, version)
    ? client.update(kind, name, version, value)
    : client.create(kind, name, value);
}

function isCurrent(client: PlatformClient, version: Revision): boolean {
  return eraOf(version) === client.era;
}
