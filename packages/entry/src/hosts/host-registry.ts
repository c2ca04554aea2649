/** Known upstream hosts of this entry host, updated by a watch of the object store. */
import { isLaterRevision } from '@hingescale/core';
import Emittery from 'emittery';

import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import type { ObjectChange, ObjectList, StoredObject } from '../store/object-store.js';
import type { StateOrder } from '../store/restored-list.js';
import type { DepartedHost, HostEntry, HostIncarnation, HostParseResult } from './host-entry.js';
import { incarnationOf, isSameStart } from './host-entry.js';
import { HostStartMap } from './host-start-map.js';

/** Events of the registry. */
export type HostMessages = {
  /** A host was added, changed or removed. */
  readonly changed: undefined;
  /** A host's entry was removed, or its process restarted; carries the last known entry. */
  readonly departed: HostEntry;
};

/** Parses a host from the value of its object, whatever that is; does not throw. */
export type HostParser = (id: string, value: unknown) => HostParseResult;

/** An entry that cannot be parsed. */
type UnreadableEntry = { readonly id: string; readonly revision: number; readonly reason: string };

/** An entry that was received and applied. */
export type AppliedEntry = {
  readonly entry: HostEntry;
  /** Revision of the store at which it was written. */
  readonly revision: number;
  /**
   * `first`: from this process's first list; `new`: of a host, or a start of a host, that was not known before;
   * `back`: of a host whose entry was removed less than a minute ago; `known`: a newer entry of a present host.
   */
  readonly standing: 'first' | 'new' | 'back' | 'known';
};

/** The changes from one answer of the store or a peer. */
export type HostBatch = {
  readonly applied: readonly AppliedEntry[];
  /** Hosts that were removed, and earlier starts of hosts whose process has restarted under the same id. */
  readonly departed: readonly HostEntry[];
};

/** How long the entry of a removed host is remembered, in milliseconds. */
const FORGET_DEPARTED_MS = 60_000;
/** Most hosts of one answer that get a log line each: enough for a rack or a scale-out, not for a whole list. */
const MAX_HOST_LINES = 20;

/** The upstream hosts, by id and by service. */
export class HostRegistry {
  readonly messages = new Emittery<HostMessages>();
  readonly #parse: HostParser;
  readonly #log: Log;
  readonly #onBatch: (batch: HostBatch) => void;
  readonly #counters: Counters | undefined;
  readonly #hosts = new Map<string, HostEntry>();
  readonly #revisions = new Map<string, number>();
  readonly #departed = new Map<string, DepartedHost>();
  /** Starts of hosts that have announced their shutdown; see {@link recordShutdown}. */
  readonly #leaving = new HostStartMap<true>();
  #byService: Map<string, HostEntry[]> | undefined;
  #version = 0;
  #isListed = false;

  /** `onBatch` is called for each answer, before any request can be sent to hosts of it. */
  constructor(
    read: HostParser,
    log: Log,
    onBatch: (batch: HostBatch) => void = (): void => undefined,
    counters?: Counters,
  ) {
    this.#counters = counters;
    this.#parse = read;
    this.#log = log;
    this.#onBatch = onBatch;
  }

  /** Rises with each change, so that derived views can tell when to recompute. */
  get version(): number {
    return this.#version;
  }

  /** The entry of a present host. */
  get(id: string): HostEntry | undefined {
    return this.#hosts.get(id);
  }

  /** The host's present entry or, if that was removed, the one that was known when the host was chosen. */
  latestOf(chosen: HostEntry): HostEntry {
    const entry = this.#hosts.get(chosen.id);
    return entry ?? { ...chosen, accepting: chosen.accepting && !this.#isLeaving(chosen) };
  }

  /** The present hosts of a service. */
  ofService(service: string): readonly HostEntry[] {
    this.#byService ??= groupByService(this.#hosts.values());
    return this.#byService.get(service) ?? [];
  }

  /** Hosts of a service whose entries were removed in the last minute. */
  departedOf(service: string): readonly DepartedHost[] {
    return [...this.#departed.values()].filter(host => host.entry.service === service);
  }

  /**
   * Records that a host announced its shutdown. Its entry may say so later or never, and an entry written before may
   * still arrive: from now on all entries of this start count as not accepting requests.
   */
  recordShutdown(host: HostIncarnation): void {
    this.#leaving.set(host, true);
    const entry = this.#hosts.get(host.id);
    if (entry !== undefined && incarnationOf(entry) === incarnationOf(host)) {
      this.#hosts.set(host.id, { ...entry, accepting: false });
      this.#noteChange();
    }
  }

  /**
   * Which of two entries of a host is later; for `WatchedKind`. A start is later than earlier starts of the host,
   * and within a start the announcement of the shutdown is the last state.
   */
  readonly isLater: StateOrder = (listed, known) => {
    const [reading, knownReading] = [listed, known].map(({ name, value }) =>
      this.#parse(name, value),
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

  /** Applies the whole list; hosts that are not in it are removed. */
  applyList(list: ObjectList): void {
    const present = new Set(list.objects.map(object => object.name));
    const removedIds = [...this.#hosts.keys()].filter(id => !present.has(id));
    const departed = removedIds.flatMap(id => this.#remove(id));
    const applied = this.#applyAll(list.objects, departed);
    this.#isListed = true;
    this.#finishBatch({ applied, departed });
  }

  /**
   * Applies changes, in the order in which they were made, as one change of this registry, so that derived views
   * are recomputed once for all of them.
   */
  applyChanges(changes: readonly ObjectChange[]): void {
    const applied: AppliedEntry[] = [];
    const departed: HostEntry[] = [];
    for (const { object, deleted } of changes) {
      if (deleted) {
        departed.push(...this.#remove(object.name));
      } else {
        applied.push(...this.#applyAll([object], departed));
      }
    }
    this.#finishBatch({ applied, departed });
  }

  // A host whose entry can no longer be parsed is treated as removed: no new requests are sent to it, and those in
  // progress run to their end. The other hosts are not affected.
  #applyAll(objects: readonly StoredObject[], departed: HostEntry[]): AppliedEntry[] {
    const applied: AppliedEntry[] = [];
    const unreadable: UnreadableEntry[] = [];
    for (const object of objects) {
      const known = this.#revisions.get(object.name);
      if (known === undefined || isLaterRevision(object.revision, known)) {
        const reading = this.#parse(object.name, object.value);
        if (reading.kind === 'host') {
          applied.push(...this.#applyEntry(object, reading.entry, departed));
        } else {
          unreadable.push({ id: object.name, revision: object.revision, reason: reading.reason });
          departed.push(...this.#remove(object.name));
        }
      }
    }
    this.#logUnreadable(unreadable);
    return applied;
  }

  #finishBatch(batch: HostBatch): void {
    this.#logDepartures(batch.departed.map(({ id }) => id));
    const arrived = batch.applied.filter(({ standing }) => standing !== 'known');
    this.#logArrivals(arrived.map(({ entry }) => entry));
    this.#onBatch(batch);
    this.#noteChange();
  }

  // A restarted process has none of the state of its earlier start, which therefore counts as departed.
  #applyEntry(
    object: StoredObject,
    entry: HostEntry,
    departed: HostEntry[],
  ): readonly AppliedEntry[] {
    const { name, revision } = object;
    const last = this.#hosts.get(name) ?? this.#departed.get(name)?.entry;
    this.#revisions.set(name, revision);
    if (isEarlierStart(entry, last)) {
      this.#log.warn('ignored a late entry of an earlier start of the host', {
        host: name,
        revision,
      });
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

  #standingOf(id: string, before: HostEntry | undefined): AppliedEntry['standing'] {
    if (before !== undefined && this.#hosts.has(id)) {
      return 'known';
    }
    if (!this.#isListed) {
      return 'first';
    }
    return before === undefined ? 'new' : 'back';
  }

  #logUnreadable(unreadable: readonly UnreadableEntry[]): void {
    if (unreadable.length === 0) {
      return;
    }
    this.#counters?.count('host_entries_unreadable_total', {}, unreadable.length);
    for (const { id, revision, reason } of unreadable.slice(0, MAX_HOST_LINES)) {
      this.#log.warn('host entry cannot be parsed', { host: id, revision, reason });
    }
  }

  // One line per host of the first list would use up the log's line limit and suppress the lines that follow.
  #logArrivals(arrived: readonly HostEntry[]): void {
    if (arrived.length > MAX_HOST_LINES) {
      this.#log.info('hosts arrived', { count: arrived.length, first: arrived[0]?.id });
      return;
    }
    for (const { id, fabricDomain } of arrived) {
      this.#log.info('host arrived', { host: id, domain: fabricDomain });
    }
  }

  #logDepartures(ids: readonly string[]): void {
    if (ids.length > MAX_HOST_LINES) {
      this.#log.info('hosts departed', { count: ids.length, first: ids[0] });
      return;
    }
    for (const host of ids) {
      const group = this.#departed.get(host)?.entry.membership?.group;
      this.#log.info('host departed', { host, group });
    }
  }

  // Returns the removed entry; empty if there was none.
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
    this.#forgetOldDepartures();
    void this.messages.emit('changed', undefined);
  }

  #forgetOldDepartures(): void {
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
