/** Tasks that watch one kind of object or the host list and keep the newest state. */
import type { Host, Revision } from '@hingescale/core';
import { isOfEarlierEra, numberInEra } from '@hingescale/core';
import { sleep, Task } from '@hingescale/runtime';
import type { Result } from 'true-myth';

import type { ObjectKind, PlatformClient, StoredObject } from './platform-client.js';
import type { PlatformError } from './platform-error.js';

/** Events of an object watcher; `changed` carries the objects with a newer state. */
export type WatcherMessages<T> = { changed: readonly StoredObject<T>[] };

const RETRY_MS = 250;

/** Repeats a watch until the signal aborts, and passes each successful response to `handle`. */
async function repeatWatch<R>(
  watch: () => Promise<Result<R, PlatformError>>,
  handle: (response: R) => Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const response = await watch();
    if (response.isOk) {
      await handle(response.value);
    } else {
      await sleep(RETRY_MS, signal);
    }
  }
}

/**
 * Keeps the objects of a kind and never replaces one by an older state, even if the platform itself was restored from
 * an older copy. Objects that the platform lost in this way are kept and listed in `lost` until they are written
 * again.
 */
export class ObjectWatcher<T> extends Task<WatcherMessages<T>> {
  readonly #client: PlatformClient;
  readonly #kind: ObjectKind;
  readonly #waitMs: number;
  readonly #objects = new Map<string, StoredObject<T>>();
  /** Names of the objects that the platform holds in an earlier state than this watcher. */
  readonly #reverted = new Set<string>();
  /** Latest version of the platform that a response had; the next watch asks for later changes. */
  #after: Revision = 0;
  #synced = false;

  constructor(client: PlatformClient, kind: ObjectKind, waitMs: number) {
    super();
    this.#client = client;
    this.#kind = kind;
    this.#waitMs = waitMs;
  }

  /** True once the platform has responded. */
  get synced(): boolean {
    return this.#synced;
  }

  /** The newest known state of each object, by name. */
  get objects(): ReadonlyMap<string, StoredObject<T>> {
    return this.#objects;
  }

  /**
   * Objects that the platform has lost, and objects that it holds in an earlier state; the latter with the newest value
   * and with the version at which the platform holds the earlier state.
   */
  get lost(): readonly StoredObject<T>[] {
    return [...this.#objects.values()].filter(
      ({ name, version }) => this.#reverted.has(name) || isOfEarlierEra(version, this.#after),
    );
  }

  /** Starts watching. */
  start(): void {
    this.run(() =>
      repeatWatch(
        // The first call does not wait, so that the watcher is synced at once when there are no objects.
        () =>
          this.#client.watch<T>(
            this.#kind,
            this.#after,
            this.#synced ? this.#waitMs : 0,
            this.signal,
          ),
        async response => {
          this.#after = Math.max(this.#after, response.version);
          this.#synced = true;
          await this.take(response.objects);
        },
        this.signal,
      ),
    );
  }

  /** Merges objects into the known state; the watcher's owner also passes the objects that it has written. */
  async take(objects: readonly StoredObject<T>[]): Promise<void> {
    const newer = objects.filter(
      object => object.version > (this.#objects.get(object.name)?.version ?? 0),
    );
    const changed = newer.filter(object => !this.#keepIfReverted(object));
    for (const object of changed) {
      this.#objects.set(object.name, object);
      this.#reverted.delete(object.name);
    }
    if (changed.length > 0) {
      await this.messages.emit('changed', changed);
    }
  }

  // When the platform reports an earlier state of an object than the known one after a restore, keeps the known value
  // under the reported version and returns true. All numbers in the copy are below those of any change made after it
  // was taken, so that a lower number means an earlier state.
  #keepIfReverted(object: StoredObject<T>): boolean {
    const known = this.#objects.get(object.name);
    if (known === undefined || !isOfEarlierEra(known.version, object.version)) {
      return false;
    }
    const isEarlierState = numberInEra(object.version) < numberInEra(known.version);
    if (isEarlierState) {
      this.#objects.set(object.name, { ...known, version: object.version });
      this.#reverted.add(object.name);
    }
    return isEarlierState;
  }
}

/** Events of the host watcher; `changed` carries the new host list. */
export type HostWatcherMessages = { changed: readonly Host[] };

/** Watches the platform's host list and keeps its newest version. */
export class HostWatcher extends Task<HostWatcherMessages> {
  readonly #client: PlatformClient;
  readonly #waitMs: number;
  #hosts: readonly Host[] = [];
  #version: Revision = 0;
  #synced = false;

  constructor(client: PlatformClient, waitMs: number) {
    super();
    this.#client = client;
    this.#waitMs = waitMs;
  }

  /** True once the platform has responded. */
  get synced(): boolean {
    return this.#synced;
  }

  /** The newest known host list. */
  get hosts(): readonly Host[] {
    return this.#hosts;
  }

  /** Starts watching. */
  start(): void {
    this.run(() =>
      repeatWatch(
        () => this.#client.watchHosts(this.#version, this.#synced ? this.#waitMs : 0, this.signal),
        async list => {
          this.#synced = true;
          if (list.version > this.#version) {
            this.#version = list.version;
            this.#hosts = list.hosts;
            await this.messages.emit('changed', list.hosts);
          }
        },
        this.signal,
      ),
    );
  }
}
