/** Follows the head object and offers each new revision to the holder. */
import type { ConfigurationHead } from '@hingescale/core';

import type { ConfigurationHolder } from './configuration-holder.js';
import { readParts } from './configuration-store.js';
import type { PlatformClient } from './platform-client.js';
import { ObjectWatcher } from './watcher.js';

/** Starts a watch of the head that feeds the holder; stop the returned watcher to end it. */
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

// Parts may be unreadable for a moment; the head itself will not be reported again.
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
