/** Holds the configuration in force at this entry host and the time at which the store last confirmed it. */
import { elapsedMs } from '../server/elapsed-time.js';
import type { Log } from '../server/log.js';
import type { ObjectChange, ObjectList, StoredObject } from '../store/object-store.js';
import type { StateOrder } from '../store/restored-list.js';
import { RouteTable } from './route-table.js';
import type { ServingConfiguration } from './serving-configuration.js';

/** Parses the configuration from the value of its object in the store; throws if the value is invalid. */
export type ConfigurationReader = (value: unknown) => ServingConfiguration;

/** Options of {@link ConfigurationHolder}. */
export type ConfigurationHolderOptions = {
  readonly read: ConfigurationReader;
  /** Name of the configuration's object in the store. */
  readonly objectName: string;
  /** Time after which an acknowledged configuration has to be in force, in milliseconds. */
  readonly applyMs: number;
  readonly log: Log;
};

/** Bounds on how long keys are accepted without a confirmation from the store. */
export type KeyBounds = {
  /** Time within which a revoked key stops being accepted, in milliseconds. */
  readonly keyRevocationMs: number;
  /** True if keys are rejected once the configuration is unconfirmed for too long. */
  readonly keysFailClosed: boolean;
};

/** Part of the revocation bound reserved for requests already in progress, in milliseconds. */
const KEY_MARGIN_MS = 500;

/** Keeps the newest configuration version received so far; an older one is never applied after it. */
export class ConfigurationHolder {
  readonly #options: ConfigurationHolderOptions;
  #table: RouteTable | undefined;
  #revision = -1;
  #confirmedAt = -Infinity;
  #confirmedBy: string | undefined;

  constructor(options: ConfigurationHolderOptions) {
    this.#options = options;
  }

  /** Routes in force; undefined until the first configuration has been received. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Milliseconds since the latest request to the store that it has answered was sent. */
  get confirmationAgeMs(): number {
    return elapsedMs() - this.#confirmedAt;
  }

  /**
   * True while every configuration that has to be in force by now is known, so that a route or key that the known one
   * lacks may be rejected.
   */
  get isConfirmedInTime(): boolean {
    return this.confirmationAgeMs <= this.#options.applyMs;
  }

  /** True while the configuration is confirmed recently enough to accept the keys in it. */
  areKeysConfirmed({ keyRevocationMs, keysFailClosed }: KeyBounds): boolean {
    return !keysFailClosed || this.confirmationAgeMs < keyRevocationMs - KEY_MARGIN_MS;
  }

  /** Applies the configuration from a list of all objects. */
  applyList(list: ObjectList): void {
    const object = list.objects.find(candidate => candidate.name === this.#options.objectName);
    if (object !== undefined) {
      this.#apply(object);
    }
  }

  /** Applies the changes to the configuration, in the order in which they were made. */
  applyChanges(changes: readonly ObjectChange[]): void {
    for (const { object, deleted } of changes) {
      if (!deleted && object.name === this.#options.objectName) {
        this.#apply(object);
      }
    }
  }

  /** Name of the reader (a peer or the store) that reported the latest confirmation; undefined before the first. */
  get confirmedBy(): string | undefined {
    return this.#confirmedBy;
  }

  /**
   * Records that the store has answered a request sent at `sentAt` (ms, on a clock that includes suspensions), as
   * reported by the reader `from`.
   */
  confirm(sentAt: number, from: string): void {
    if (sentAt >= this.#confirmedAt) {
      this.#confirmedAt = sentAt;
      this.#confirmedBy = from;
    }
  }

  /**
   * Compares two states of the configuration's object for `WatchedKind`: true if the listed one has at least the version
   * of the known one; undefined for other objects or if either cannot be read.
   */
  readonly isAtLeastAsNew: StateOrder = (listed, known) => {
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
      // The error is logged when the object is applied.
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
