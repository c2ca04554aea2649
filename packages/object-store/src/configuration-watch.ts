/** Watches the head object and passes each new revision to the configuration holder. */
import type { ConfigurationHead } from '@hingescale/core';

import type { ConfigurationHolder } from './configuration-holder.js';
import { readParts } from './configuration-store.js';
import type { PlatformClient } from './platform-client.js';
import { ObjectWatcher } from './watcher.js';

/** Starts a watch of the head that updates the holder; stopping the returned watcher ends it. */
export function watchConfiguration(
  client: PlatformClient,
  holder: ConfigurationHolder,
  waitMs: number,
): ObjectWatcher<ConfigurationHead> {
  const watcher = new ObjectWatcher<ConfigurationHead>(client, 'configuration', waitMs);
  watcher.messages.on('changed', async data => {
    for (const object of data) {
      await offerHead(client, holder, object.value);
    }
  });
  watcher.start();
  return watcher;
}

const PART_ATTEMPTS = 20;
const PART_RETRY_MS = 250;

// Retries, because parts may be temporarily unreadable and the watch reports a head only once.
async function offerHead(
  client: PlatformClient,
  holder: ConfigurationHolder,
  head: ConfigurationHead,
): Promise<void> {
  for (let attempt = 0; attempt < PART_ATTEMPTS && head.revision > holder.revision; attempt++) {
    const revision = await readParts(client, head);
    if (revision.isOk) {
      holder.offer(revision.value);
      return;
    }
    await new Promise(resolve => setTimeout(resolve, PART_RETRY_MS));
  }
}
