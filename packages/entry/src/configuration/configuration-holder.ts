/** The configuration in force at this entry host, and how recently the store has confirmed it. */
import { elapsedMs } from '../server/elapsed-time.js';
import type { Log } from '../server/log.js';
import type { ObjectChange, ObjectList, StoredObject } from '../store/object-store.js';
import type { StateOrder } from '../store/restored-list.js';
import { RouteTable } from './route-table.js';
import type { ServingConfiguration } from './serving-configuration.js';

/** Reads the configuration from the value of its object. */
export type ConfigurationReader = (value: unknown) => ServingConfiguration;

/** Options of a holder. */
export type ConfigurationHolderOptions = {
  readonly read: ConfigurationReader;
  /** Name of the object that holds the configuration. */
  readonly objectName: string;
  readonly log: Log;
};

/** For how long keys may be honoured without a confirmation of the store. */
export type KeyBounds = {
  /** A key that was taken away is not honoured later than this, in milliseconds. */
  readonly keyRevocationMs: number;
  readonly keysFailClosed: boolean;
};

/** Part of the revocation bound that is left for requests already in progress, in milliseconds. */
const KEY_MARGIN_MS = 500;

/** Keeps the newest version that was ever seen; nothing older is applied after it. */
export class ConfigurationHolder {
  readonly #options: ConfigurationHolderOptions;
  #table: RouteTable | undefined;
  #revision = -1;
  #confirmedAt = -Infinity;

  constructor(options: ConfigurationHolderOptions) {
    this.#options = options;
  }

  /** Routes in force; undefined until the first configuration has come. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Milliseconds since the store was last asked a question that it has answered. */
  get confirmationAgeMs(): number {
    return elapsedMs() - this.#confirmedAt;
  }

  /** True while the configuration was confirmed recently enough to honour keys by it. */
  keysHold({ keyRevocationMs, keysFailClosed }: KeyBounds): boolean {
    return !keysFailClosed || this.confirmationAgeMs < keyRevocationMs - KEY_MARGIN_MS;
  }

  /** Takes the whole list. */
  takeList(list: ObjectList): void {
    const object = list.objects.find(candidate => candidate.name === this.#options.objectName);
    if (object !== undefined) {
      this.#apply(object);
    }
  }

  /** Takes changes, in the order in which they were made. */
  takeChanges(changes: readonly ObjectChange[]): void {
    for (const { object, deleted } of changes) {
      if (!deleted && object.name === this.#options.objectName) {
        this.#apply(object);
      }
    }
  }

  /** The store has answered a question that was sent at `sentAt` (milliseconds that count suspensions). */
  confirm(sentAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, sentAt);
  }

  /** True where a state of the configuration's object has at least the version of another; for `WatchedKind`. */
  readonly isLater: StateOrder = (listed, known) => {
    if (listed.name !== this.#options.objectName) {
      return undefined;
    }
    const [version, knownVersion] = [this.#versionOf(listed), this.#versionOf(known)];
    const isReadable = version !== undefined && knownVersion !== undefined;
    return isReadable ? version >= knownVersion : undefined;
  };

  #versionOf(object: StoredObject): number | undefined {
    try {
      return this.#options.read(object.value).version;
    } catch {
      // Logged where it is applied.
      return undefined;
    }
  }

  #apply(object: StoredObject): void {
    if (object.revision === this.#revision) {
      return;
    }
    const { read, log } = this.#options;
    let table: RouteTable;
    try {
      table = new RouteTable(read(object.value));
    } catch (error) {
      log.error('configuration unreadable', { revision: object.revision, cause: String(error) });
      return;
    }
    const before = this.#table?.version;
    if (before === table.version) {
      this.#revision = object.revision;
      return;
    }
    if (before !== undefined && table.version < before) {
      log.warn('older configuration ignored', { version: table.version, inForce: before });
      return;
    }
    this.#revision = object.revision;
    this.#table = table;
    log.info('configuration applied', {
      version: table.version,
      revision: object.revision,
      before,
    });
  }
}
