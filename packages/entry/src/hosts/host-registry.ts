/** What this entry host believes of all upstream hosts, fed by a watch of the object store. */
import { isLaterRevision } from '@hingescale/core';
import Emittery from 'emittery';

import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import type { ObjectChange, ObjectList, StoredObject } from '../store/object-store.js';
import type { StateOrder } from '../store/restored-list.js';
import type { DepartedHost, HostEntry, HostIncarnation, HostReading } from './host-entry.js';
import { incarnationOf, isSameStart } from './host-entry.js';
import { StartMemory } from './start-memory.js';

/** Messages of the registry. */
export type HostMessages = {
  /** Any host has come, changed or gone. */
  readonly changed: undefined;
  readonly departed: HostEntry;
};

/** Reads a host from the value of its object, whatever that is; does not throw. */
export type HostReader = (id: string, value: unknown) => HostReading;

/** An entry that can not be read. */
type Unreadable = { readonly id: string; readonly revision: number; readonly reason: string };

/** An entry that was received and taken over. */
export type TakenEntry = {
  readonly entry: HostEntry;
  /** Revision of the store at which it was written. */
  readonly revision: number;
  /**
   * `first`: from this process's first list; `new`: of a host not known before, or not this start of it; `back`:
   * of a host whose entry had gone less than a minute ago; `known`: a newer entry of a host that is present.
   */
  readonly standing: 'first' | 'new' | 'back' | 'known';
};

/** The changes of one answer of the store or a peer. */
export type HostBatch = {
  readonly taken: readonly TakenEntry[];
  /** Hosts that are gone, and earlier starts of hosts whose process has started again under the same id. */
  readonly departed: readonly HostEntry[];
};

const FORGET_DEPARTED_MS = 60_000;
/** Hosts of one answer up to which each has a line: a rack or a scale-out, not a whole list. */
const MOST_LINES = 20;

/** The hosts, by id and by service. */
export class HostRegistry {
  readonly messages = new Emittery<HostMessages>();
  readonly #read: HostReader;
  readonly #log: Log;
  readonly #batchTaken: (batch: HostBatch) => void;
  readonly #counters: Counters | undefined;
  readonly #hosts = new Map<string, HostEntry>();
  readonly #revisions = new Map<string, number>();
  readonly #departed = new Map<string, DepartedHost>();
  /** Starts of hosts that have said that they are shutting down; see {@link noteLeaving}. */
  readonly #leaving = new StartMemory<true>();
  #byService: Map<string, HostEntry[]> | undefined;
  #version = 0;
  #isListed = false;

  /** `batchTaken` is called for each answer, before any request can be sent to hosts of it. */
  constructor(
    read: HostReader,
    log: Log,
    batchTaken: (batch: HostBatch) => void = (): void => undefined,
    counters?: Counters,
  ) {
    this.#counters = counters;
    this.#read = read;
    this.#log = log;
    this.#batchTaken = batchTaken;
  }

  /** Rises with each change, so that derived views know when to be made anew. */
  get version(): number {
    return this.#version;
  }

  /** A host whose entry is there. */
  get(id: string): HostEntry | undefined {
    return this.#hosts.get(id);
  }

  /**
   * What is known of a host now: its entry, or where that has gone the one that was known when the host was chosen.
   */
  latestOf(chosen: HostEntry): HostEntry {
    const entry = this.#hosts.get(chosen.id);
    return entry ?? { ...chosen, accepting: chosen.accepting && !this.#isLeaving(chosen) };
  }

  /** Hosts of a service whose entries are there. */
  ofService(service: string): readonly HostEntry[] {
    this.#byService ??= groupByService(this.#hosts.values());
    return this.#byService.get(service) ?? [];
  }

  /** Hosts of a service whose entries went in the last minute. */
  departedOf(service: string): readonly DepartedHost[] {
    return [...this.#departed.values()].filter(host => host.entry.service === service);
  }

  /**
   * A host has said that it is shutting down. Its entry says so later, or never, and may have been written before:
   * entries of this start of it count as of one that does not accept requests from now on.
   */
  noteLeaving(host: HostIncarnation): void {
    this.#leaving.set(host, true);
    const entry = this.#hosts.get(host.id);
    if (entry !== undefined && incarnationOf(entry) === incarnationOf(host)) {
      this.#hosts.set(host.id, { ...entry, accepting: false });
      this.#noteChange();
    }
  }

  /**
   * Which of two entries of a host is later; for `WatchedKind`. A start is later than those before it, and that a
   * host shuts down is the last that it says.
   */
  readonly isLater: StateOrder = (listed, known) => {
    const [reading, knownReading] = [listed, known].map(({ name, value }) =>
      this.#read(name, value),
    );
    if (reading?.kind !== 'host' || knownReading?.kind !== 'host') {
      return undefined;
    }
    const { entry } = reading;
    const start = entry.startedAt ?? 0;
    const knownStart = knownReading.entry.startedAt ?? 0;
    if (start !== knownStart) {
      return start > knownStart;
    }
    return entry.accepting ? undefined : true;
  };

  /** Takes the whole list; hosts not in it are gone. */
  takeList(list: ObjectList): void {
    const present = new Set(list.objects.map(object => object.name));
    const gone = [...this.#hosts.keys()].filter(id => !present.has(id));
    const departed = gone.flatMap(id => this.#remove(id));
    const taken = this.#putAll(list.objects, departed);
    this.#isListed = true;
    this.#finish({ taken, departed });
  }

  /**
   * Takes changes, in the order in which they were made, as one change of this registry: views that
   * are derived from it are made anew once for all of them.
   */
  takeChanges(changes: readonly ObjectChange[]): void {
    const taken: TakenEntry[] = [];
    const departed: HostEntry[] = [];
    for (const { object, deleted } of changes) {
      if (deleted) {
        departed.push(...this.#remove(object.name));
      } else {
        taken.push(...this.#putAll([object], departed));
      }
    }
    this.#finish({ taken, departed });
  }

  // A host whose entry can not be read any more is gone as one without an entry is: nothing new is sent there,
  // and what runs there ends by itself. The others hold.
  #putAll(objects: readonly StoredObject[], departed: HostEntry[]): TakenEntry[] {
    const taken: TakenEntry[] = [];
    const unreadable: Unreadable[] = [];
    for (const object of objects) {
      const known = this.#revisions.get(object.name);
      if (known === undefined || isLaterRevision(object.revision, known)) {
        const reading = this.#read(object.name, object.value);
        if (reading.kind === 'host') {
          taken.push(...this.#put(object, reading.entry, departed));
        } else {
          unreadable.push({ id: object.name, revision: object.revision, reason: reading.reason });
          departed.push(...this.#remove(object.name));
        }
      }
    }
    this.#logUnreadable(unreadable);
    return taken;
  }

  #finish(batch: HostBatch): void {
    this.#logDepartures(batch.departed.map(({ id }) => id));
    const arrived = batch.taken.filter(({ standing }) => standing !== 'known');
    this.#logArrivals(arrived.map(({ entry }) => entry));
    this.#batchTaken(batch);
    this.#noteChange();
  }

  // A host whose process has started again under its id knows nothing of before: its earlier start has departed.
  #put(object: StoredObject, entry: HostEntry, departed: HostEntry[]): readonly TakenEntry[] {
    const { name, revision } = object;
    const last = this.#hosts.get(name) ?? this.#departed.get(name)?.entry;
    this.#revisions.set(name, revision);
    if (isEarlierStart(entry, last)) {
      this.#log.warn('late entry of an earlier start ignored', { host: name, revision });
      return [];
    }
    const isRestart = last !== undefined && !isSameStart(last.startedAt, entry.startedAt);
    if (isRestart) {
      this.#log.info('host started again', { host: name, startedAt: entry.startedAt });
      departed.push(...this.#remove(name));
      this.#revisions.set(name, revision);
    }
    const before = isRestart ? undefined : last;
    const standing = this.#standingOf(name, before);
    const lastModel = entry.loadedModel ?? before?.lastModel;
    const accepting = entry.accepting && !this.#isLeaving(entry);
    this.#hosts.set(name, { ...entry, lastModel, accepting });
    this.#departed.delete(name);
    return [{ entry, revision, standing }];
  }

  #isLeaving(host: HostIncarnation): boolean {
    return this.#leaving.has(host);
  }

  #standingOf(id: string, before: HostEntry | undefined): TakenEntry['standing'] {
    if (before !== undefined && this.#hosts.has(id)) {
      return 'known';
    }
    if (!this.#isListed) {
      return 'first';
    }
    return before === undefined ? 'new' : 'back';
  }

  #logUnreadable(unreadable: readonly Unreadable[]): void {
    if (unreadable.length === 0) {
      return;
    }
    this.#counters?.count('host_entries_unreadable_total', {}, unreadable.length);
    for (const { id, revision, reason } of unreadable.slice(0, MOST_LINES)) {
      this.#log.warn('host entry can not be read', { host: id, revision, reason });
    }
  }

  // The first list would otherwise fill the log's bound of lines and hide what follows it.
  #logArrivals(arrived: readonly HostEntry[]): void {
    if (arrived.length > MOST_LINES) {
      this.#log.info('hosts arrived', { count: arrived.length, first: arrived[0]?.id });
      return;
    }
    for (const { id, fabricDomain } of arrived) {
      this.#log.info('host arrived', { host: id, domain: fabricDomain });
    }
  }

  #logDepartures(gone: readonly string[]): void {
    if (gone.length > MOST_LINES) {
      this.#log.info('hosts departed', { count: gone.length, first: gone[0] });
      return;
    }
    for (const host of gone) {
      const group = this.#departed.get(host)?.entry.membership?.group;
      this.#log.info('host departed', { host, group });
    }
  }

  // The entry that was removed; empty if there was none.
  #remove(id: string): readonly HostEntry[] {
    const entry = this.#hosts.get(id);
    if (entry === undefined) {
      return [];
    }
    this.#hosts.delete(id);
    this.#revisions.delete(id);
    this.#departed.set(id, { entry, since: monotonicMs() });
    void this.messages.emit('departed', entry);
    return [entry];
  }

  #noteChange(): void {
    this.#version += 1;
    this.#byService = undefined;
    this.#forgetOld();
    void this.messages.emit('changed', undefined);
  }

  #forgetOld(): void {
    const oldest = monotonicMs() - FORGET_DEPARTED_MS;
    for (const [id, host] of this.#departed) {
      if (host.since < oldest) {
        this.#departed.delete(id);
      }
    }
  }
}

function isEarlierStart(entry: HostEntry, last: HostEntry | undefined): boolean {
  const [before, now] = [last?.startedAt, entry.startedAt];
  return before !== undefined && now !== undefined && now < before;
}

function groupByService(hosts: Iterable<HostEntry>): Map<string, HostEntry[]> {
  const byService = new Map<string, HostEntry[]>();
  for (const host of hosts) {
    const list = byService.get(host.service) ?? [];
    list.push(host);
    byService.set(host.service, list);
  }
  return byService;
}
