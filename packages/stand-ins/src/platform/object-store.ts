/** Objects with versions, as the platform keeps them: one version counter for the whole store. */

/** An object as stored. */
export type StoredValue = {
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  readonly value: unknown;
};

/** Result of a conditional write. */
export type WriteOutcome = {
  readonly ok: boolean;
  readonly stored: StoredValue | undefined;
};

/** What a write demands of the present object: `absent`, a version, or nothing. */
export type WriteCondition = 'absent' | number | 'any';

/** What the store held at one moment. */
export type StoreCopy = {
  readonly objects: ReadonlyMap<string, StoredValue>;
  readonly version: number;
};

const KEPT_HISTORY = 20_000;

/** The store; waiting watches are woken by every write. */
export class ObjectStore {
  #objects = new Map<string, StoredValue>();
  readonly #waiting = new Set<() => void>();
  readonly #history: StoredValue[] = [];
  #version = 0;
  #era = 0;

  /** Counts how often the store has come back from an older copy. */
  get era(): number {
    return this.#era;
  }

  /** Version of the newest write. */
  get version(): number {
    return this.#version;
  }

  /** Every version of the objects of a kind, oldest first, for the proofs. */
  history(kind: string): StoredValue[] {
    return this.#history.filter(stored => stored.kind === kind);
  }

  /** Reads an object. */
  read(kind: string, name: string): StoredValue | undefined {
    return this.#objects.get(`${kind}/${name}`);
  }

  /** All objects of a kind that changed after a version. */
  changedAfter(kind: string, after: number): StoredValue[] {
    return [...this.#objects.values()].filter(
      object => object.kind === kind && object.version > after,
    );
  }

  /** Writes an object when the condition holds. */
  write(kind: string, name: string, value: unknown, condition: WriteCondition): WriteOutcome {
    const present = this.read(kind, name);
    const allowed =
      condition === 'any' ||
      (condition === 'absent' ? present === undefined : present?.version === condition);
    if (!allowed) {
      return { ok: false, stored: present };
    }
    const stored = { kind, name, version: this.#nextVersion(), value };
    this.#objects.set(`${kind}/${name}`, stored);
    this.#history.push(stored);
    if (this.#history.length > KEPT_HISTORY) {
      this.#history.shift();
    }
    return { ok: true, stored };
  }

  /** Copies what the store holds now. */
  copy(): StoreCopy {
    return { objects: new Map(this.#objects), version: this.#version };
  }

  /** Comes back as it was at the copy: what was written since is gone, and versions are given out again. */
  comeBackFrom({ objects, version }: StoreCopy): void {
    this.#objects = new Map(objects);
    this.#version = version;
    this.#era += 1;
    this.#wake();
  }

  /** Counts a change that is not an object, such as one of the host list. */
  touch(): number {
    return this.#nextVersion();
  }

  /** Resolves at the next change, or after `ms`. */
  waitForChange(ms: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.#waiting.add(wake);
    });
  }

  #nextVersion(): number {
    this.#version += 1;
    this.#wake();
    return this.#version;
  }

  #wake(): void {
    for (const wake of [...this.#waiting]) {
      wake();
    }
  }
}
