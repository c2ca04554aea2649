/** Options of an entry host. */
import type { ConfigurationReader } from './configuration/configuration-holder.js';
import type { HostOrders } from './groups/host-orders.js';
import type { HostParser } from './hosts/host-registry.js';
import type { PromptPartReader } from './requests/prompt-parts.js';
import type { RelayHeaders } from './requests/relay-headers.js';
import type { EntrySettings } from './server/entry-settings.js';
import type { Log } from './server/log.js';
import type { ObjectStore } from './store/object-store.js';

/** Settings, and the parts that a platform's adapter supplies. */
export type EntryHostOptions = {
  readonly settings: EntrySettings;
  readonly store: ObjectStore;
  readonly orders: HostOrders;
  readonly headers: RelayHeaders;
  readonly readPromptParts: PromptPartReader;
  readonly readConfiguration: ConfigurationReader;
  /** Name of the store object that holds the configuration. */
  readonly configurationName: string;
  /** Reads the entry of a host from a store object. */
  readonly readHost: HostParser;
  readonly log: Log;
};
