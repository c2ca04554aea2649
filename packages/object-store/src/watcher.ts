/** Watches of one kind of object, and of the host list, as tasks that keep the newest state. */
import type { Host, Revision } from '@hingescale/core';
import { isOfEarlierEra, numberInEra } from '@hingescale/core';
import { sleep, Task } from '@hingescale/runtime';
import type { Result } from 'true-myth';

import type { ObjectKind, PlatformClient, StoredObject } from './platform-client.js';
import type { PlatformError } from './platform-error.js';

/** What a watcher tells. */
export type WatcherMessages<T> = { changed: readonly StoredObject<T>[] };

const RETRY_MS = 250;

/** Repeats a watch until the task stops; `take` gets each answer that came. */
async function follow<R>(
  watch: () => Promise<Result<R, PlatformError>>,
  take: (answer: R) => Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const answer = await watch();
    if (answer.isOk) {
      await take(answer.value);
    } else {
      await sleep(RETRY_MS, signal);
    }
  }
}

/**
 * Keeps the objects of a kind; never goes back to an older version of one, also where the platform does. What the
 * platform has lost by coming back from an older copy is kept until somebody writes it again.
 */
export class ObjectWatcher<T> extends Task<WatcherMessages<T>> {
  readonly #client: PlatformClient;
  readonly #kind: ObjectKind;
  readonly #waitMs: number;
  readonly #objects = new Map<string, StoredObject<T>>();
  /** Objects that the platform has in an earlier state. */
  readonly #reverted = new Set<string>();
  #after: Revision = 0;
  #synced = false;

  constructor(client: PlatformClient, kind: ObjectKind, waitMs: number) {
    super();
    this.#client = client;
    this.#kind = kind;
    this.#waitMs = waitMs;
  }

  /** True once the platform has answered. */
  get synced(): boolean {
    return this.#synced;
  }

  /** The newest known state of each object, by name. */
  get objects(): ReadonlyMap<string, StoredObject<T>> {
    return this.#objects;
  }

  /** Objects that the platform has lost, or has in an earlier state under the version given here. */
  get lost(): readonly StoredObject<T>[] {
    return [...this.#objects.values()].filter(
      ({ name, version }) => this.#reverted.has(name) || isOfEarlierEra(version, this.#after),
    );
  }

  /** Starts watching. */
  start(): void {
    this.run(() =>
      follow(
        // The first call does not wait, so that an empty kind counts as known at once.
        () =>
          this.#client.watch<T>(
            this.#kind,
            this.#after,
            this.#synced ? this.#waitMs : 0,
            this.signal,
          ),
        async answer => {
          this.#after = Math.max(this.#after, answer.version);
          this.#synced = true;
          await this.take(answer.objects);
        },
        this.signal,
      ),
    );
  }

  /** Takes objects, also from the watcher's owner after a write of its own. */
  async take(objects: readonly StoredObject<T>[]): Promise<void> {
    const newer = objects.filter(
      object => object.version > (this.#objects.get(object.name)?.version ?? 0),
    );
    const changed = newer.filter(object => !this.#keepsLater(object));
    for (const object of changed) {
      this.#objects.set(object.name, object);
      this.#reverted.delete(object.name);
    }
    if (changed.length > 0) {
      await this.messages.emit('changed', changed);
    }
  }

  // Whatever the copy holds has a number up to that of the copy, and so below that of any later change.
  #keepsLater(object: StoredObject<T>): boolean {
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

/** What the host watcher tells. */
export type HostWatcherMessages = { changed: readonly Host[] };

/** Keeps the platform's list of hosts. */
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

  /** True once the platform has answered. */
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
      follow(
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
