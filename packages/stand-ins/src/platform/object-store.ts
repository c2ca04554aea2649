/** Versioned objects of the platform; one version counter serves the whole store. */

/** A stored object with the version of its latest write. */
export type StoredValue = {
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  readonly value: unknown;
};

/** Result of a conditional write: `stored` is the new object, or the unchanged one if the condition failed. */
export type WriteOutcome = {
  readonly ok: boolean;
  readonly stored: StoredValue | undefined;
};

/** Condition of a write: the object is absent, has a certain version, or may be in `any` state. */
export type WriteCondition = 'absent' | number | 'any';

/** Copy of all objects and the version counter of the store at one moment. */
export type StoreCopy = {
  readonly objects: ReadonlyMap<string, StoredValue>;
  readonly version: number;
};

/** Number of writes that the history keeps; older ones are dropped. */
const MAX_KEPT_HISTORY = 20_000;

/** Object store with conditional writes; every change wakes the waiting watches. */
export class ObjectStore {
  #objects = new Map<string, StoredValue>();
  readonly #waitingWatches = new Set<() => void>();
  readonly #history: StoredValue[] = [];
  #version = 0;
  #era = 0;

  /** Counts how often the store was restored from an older copy. */
  get era(): number {
    return this.#era;
  }

  /** Version of the latest change. */
  get version(): number {
    return this.#version;
  }

  /** Latest writes of all objects of a kind, oldest first; the proofs check them. */
  history(kind: string): StoredValue[] {
    return this.#history.filter(stored => stored.kind === kind);
  }

  /** Returns an object; undefined if it does not exist. */
  read(kind: string, name: string): StoredValue | undefined {
    return this.#objects.get(`${kind}/${name}`);
  }

  /** Returns all objects of a kind that changed after a version. */
  changedAfter(kind: string, after: number): StoredValue[] {
    return [...this.#objects.values()].filter(
      object => object.kind === kind && object.version > after,
    );
  }

  /** Writes an object if the condition holds. */
  write(kind: string, name: string, value: unknown, condition: WriteCondition): WriteOutcome {
    const current = this.read(kind, name);
    const conditionHolds =
      condition === 'any' ||
      (condition === 'absent' ? current === undefined : current?.version === condition);
    if (!conditionHolds) {
      return { ok: false, stored: current };
    }
    const stored = { kind, name, version: this.#nextVersion(), value };
    this.#objects.set(`${kind}/${name}`, stored);
    this.#history.push(stored);
    if (this.#history.length > MAX_KEPT_HISTORY) {
      this.#history.shift();
    }
    return { ok: true, stored };
  }

  /** Copies the present content of the store. */
  copy(): StoreCopy {
    return { objects: new Map(this.#objects), version: this.#version };
  }

  /** Restores the store from a copy: later writes are lost, and their versions are assigned a second time. */
  comeBackFrom({ objects, version }: StoreCopy): void {
    this.#objects = new Map(objects);
    this.#version = version;
    this.#era += 1;
    this.#wakeWatches();
  }

  /** Raises the version for a change that is not a write, such as one of the host list, and returns the version. */
  touch(): number {
    return this.#nextVersion();
  }

  /** Resolves at the next change, or after `ms` milliseconds. */
  waitForChange(ms: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer);
        this.#waitingWatches.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.#waitingWatches.add(wake);
    });
  }

  #nextVersion(): number {
    this.#version += 1;
    this.#wakeWatches();
    return this.#version;
  }

  #wakeWatches(): void {
    for (const wake of [...this.#waitingWatches]) {
      wake();
    }
  }
}
