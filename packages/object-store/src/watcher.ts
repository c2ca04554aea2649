/** Watches of one kind of object, and of the host list, as tasks that keep the newest state. */
import type { Host } from '@hingescale/core';
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

/** Keeps the objects of a kind; never goes back to an older version of one. */
export class ObjectWatcher<T> extends Task<WatcherMessages<T>> {
  readonly #client: PlatformClient;
  readonly #kind: ObjectKind;
  readonly #waitMs: number;
  readonly #objects = new Map<string, StoredObject<T>>();
  #after = 0;
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
    for (const object of newer) {
      this.#objects.set(object.name, object);
    }
    if (newer.length > 0) {
      await this.messages.emit('changed', newer);
    }
  }
}

/** What the host watcher tells. */
export type HostWatcherMessages = { changed: readonly Host[] };

/** Keeps the platform's list of hosts. */
export class HostWatcher extends Task<HostWatcherMessages> {
  readonly #client: PlatformClient;
  readonly #waitMs: number;
  #hosts: readonly Host[] = [];
  #version = 0;
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
