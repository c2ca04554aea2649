/** Registers this entry host in the store, and knows the others that did. */
import { isOfEarlierEra } from '@hingescale/core';

import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import { runTask } from '../server/run-task.js';
import { monotonicMs, sleep } from '../server/time.js';
import type { ObjectChange, ObjectList, ObjectStore, StoredObject } from '../store/object-store.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import type { KindObserver } from '../store/watched-kind.js';
import type { Candidates, Member } from './member.js';
import { candidatesOf, readMember, remoteHeads } from './member.js';

/** Options of the membership. */
export type MembershipOptions = {
  readonly self: Member;
  /** Peers' addresses that are known before any registration was read; they may be gone. */
  readonly seeds: readonly string[];
  readonly store: ObjectStore;
  readonly log: Log;
};

/** The registered entry hosts as this one knows them; the same object until one comes or goes. */
export type MemberView = {
  readonly names: readonly string[];
  /** When this view came into being, in monotonic milliseconds. */
  readonly since: number;
};

const NOBODY: readonly string[] = [];
const RETRY_MS = 1_000;
/**
 * Time over which all entry hosts register again after an older copy, in milliseconds: a hundred writes a second
 * of three hundred hosts.
 */
const REGISTER_SPREAD_MS = 3_000;
/**
 * Longest wait for the first list of members before this host registers, in milliseconds. The store
 * answers in milliseconds; without it registering would fail as well.
 */
const FIRST_LIST_MS = 300;

/** The registered entry hosts. */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #members = new Map<string, Member>();
  readonly #abort = new AbortController();
  #candidates: Candidates | undefined;
  #view: MemberView | undefined;
  /** Until the store has lost it by coming back from an older copy. */
  #isRegistered = false;
  #noteKnown: () => void = () => undefined;
  readonly #known = new Promise<void>(resolve => {
    this.#noteKnown = resolve;
  });

  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** Feeds the registrations that a watch brings. */
  get observer(): KindObserver {
    return {
      listed: (list: ObjectList): void => {
        this.#members.clear();
        list.objects.forEach(object => {
          this.#put(object);
        });
        this.#noteView();
        this.#noteKnown();
        this.#checkRegistration(list);
      },
      changed: (changes: readonly ObjectChange[]): void => {
        changes.forEach(change => {
          this.#take(change);
        });
        this.#noteView();
      },
      confirmed: (): void => undefined,
    };
  }

  /** Registered hosts, this one included; 0 while nothing was read. */
  get count(): number {
    return this.#members.size;
  }

  /** The registered hosts and since when they are these; undefined while none is known. */
  get view(): MemberView | undefined {
    return this.#view;
  }

  /** A registered host by its name. */
  get(name: string): Member | undefined {
    return this.#members.get(name);
  }

  /** The names of {@link view}, in no particular order; empty while none is known. */
  get names(): readonly string[] {
    return this.#view?.names ?? NOBODY;
  }

  /** Whom this host may follow. */
  get candidates(): Candidates {
    this.#candidates ??= this.#candidatesNow();
    return this.#candidates;
  }

  /** The first hosts of the other failure domains. */
  get remoteHeads(): readonly Member[] {
    return remoteHeads(this.#options.self, [...this.#members.values()]);
  }

  /** Resolves once the registrations were read, or after a moment without them. */
  async known(): Promise<void> {
    await Promise.race([this.#known, sleep(FIRST_LIST_MS, this.#abort.signal)]);
  }

  /** Registers until it is done; a process that starts again finds its host registered. */
  async register(): Promise<void> {
    const { self } = this.#options;
    await this.known();
    if (isSame(this.#members.get(self.name), self)) {
      this.#isRegistered = true;
      return;
    }
    await this.#registerUntilDone();
  }

  async #registerUntilDone(): Promise<void> {
    const { log, self } = this.#options;
    const failures = new FailureSeries(log, 'register this host');
    while (!this.#abort.signal.aborted) {
      try {
        await this.#registerOnce();
        this.#isRegistered = true;
        log.info('entry host registered', { address: self.address, power: self.power });
        return;
      } catch (error) {
        failures.failed(error);
        await sleep(RETRY_MS * (0.5 + Math.random()), this.#abort.signal);
      }
    }
  }

  /** Ends the registering. */
  stop(): void {
    this.#abort.abort();
  }

  #checkRegistration({ objects, revision }: ObjectList): void {
    const own = objects.find(({ name }) => name === this.#options.self.name);
    const isLost = own === undefined || isOfEarlierEra(own.revision, revision);
    if (this.#isRegistered && isLost) {
      this.#isRegistered = false;
      runTask(this.#options.log, 'register again', this.#registerAgain());
    }
  }

  async #registerAgain(): Promise<void> {
    await sleep(REGISTER_SPREAD_MS * Math.random(), this.#abort.signal);
    await this.#registerUntilDone();
  }

  async #registerOnce(): Promise<void> {
    const { store, self } = this.#options;
    const { name, ...value } = self;
    const created = await store.create(OBJECT_KINDS.members, name, value);
    if (
      created.kind === 'written' ||
      created.object === undefined ||
      isSame(readMember(created.object), self)
    ) {
      return;
    }
    const { revision } = created.object;
    const replaced = await store.replace(OBJECT_KINDS.members, name, value, revision);
    if (replaced.kind === 'conflict') {
      throw new Error('registered by another process');
    }
  }

  #take({ object, deleted }: ObjectChange): void {
    if (deleted) {
      this.#members.delete(object.name);
      this.#candidates = undefined;
    } else {
      this.#put(object);
    }
  }

  #put(object: StoredObject): void {
    const member = readMember(object);
    if (member !== undefined) {
      this.#members.set(object.name, member);
      this.#candidates = undefined;
    }
  }

  #noteView(): void {
    const names = this.#view?.names ?? [];
    if (names.length !== this.#members.size || names.some(name => !this.#members.has(name))) {
      this.#view = { names: [...this.#members.keys()], since: monotonicMs() };
    }
  }

  #candidatesNow(): Candidates {
    const { self, seeds } = this.#options;
    if (this.#members.size > 0) {
      return candidatesOf(self, [...this.#members.values()]);
    }
    const unknown = seeds
      .filter(address => address !== self.address)
      .map(address => ({ name: address, address, failureDomain: '', power: 0 }));
    return { above: [], below: unknown, isAmongFirst: true };
  }
}

function isSame(member: Member | undefined, self: Member): boolean {
  return (
    member !== undefined &&
    member.address === self.address &&
    member.failureDomain === self.failureDomain &&
    member.power === self.power
  );
}
