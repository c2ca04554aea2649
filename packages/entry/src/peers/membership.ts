/** Registers this entry host in the store and keeps track of all registered entry hosts. */
import { isOfEarlierEra } from '@hingescale/core';

import { FailureSeries } from '../server/failure-series.js';
import type { Log } from '../server/log.js';
import { runTask } from '../server/run-task.js';
import { monotonicMs, sleep } from '../server/time.js';
import type { ObjectChange, ObjectList, ObjectStore, StoredObject } from '../store/object-store.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import type { KindObserver } from '../store/watched-kind.js';
import type { Candidates, Member } from './member.js';
import { candidatesOf, firstRemoteMembers, readMember } from './member.js';

export type MembershipOptions = {
  readonly self: Member;
  /** Addresses of peers that are used until registrations have been read; some of these may have been removed. */
  readonly seeds: readonly string[];
  readonly store: ObjectStore;
  readonly log: Log;
};

/** The known registered entry hosts; the object is replaced only when a host is added or removed. */
export type MemberView = {
  readonly names: readonly string[];
  /** Time at which this set of hosts was first observed, in monotonic milliseconds. */
  readonly since: number;
};

const NO_NAMES: readonly string[] = [];
/** Mean pause before registering is retried, in milliseconds; each pause is 0.5 to 1.5 times as long. */
const RETRY_MS = 1_000;
/**
 * Time over which entry hosts spread their new registrations after the store was restored from an older copy, in
 * milliseconds: three hundred hosts then make a hundred writes a second.
 */
const REGISTER_SPREAD_MS = 3_000;
/**
 * Longest wait for the first list of members before this host registers, in milliseconds. A store that is
 * reachable answers within milliseconds; while it is not, registering would fail as well.
 */
const FIRST_LIST_TIMEOUT_MS = 300;

/** Keeps the registration of this host in the store, and the registrations of all entry hosts as last observed. */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #members = new Map<string, Member>();
  readonly #abort = new AbortController();
  #candidates: Candidates | undefined;
  #view: MemberView | undefined;
  /** True from the registration until the store loses it by being restored from an older copy. */
  #isRegistered = false;
  #resolveFirstList: () => void = () => undefined;
  readonly #firstList = new Promise<void>(resolve => {
    this.#resolveFirstList = resolve;
  });

  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** Receives the registrations from a watch of the store. */
  get observer(): KindObserver {
    return {
      listed: (list: ObjectList): void => {
        this.#members.clear();
        list.objects.forEach(object => {
          this.#setMember(object);
        });
        this.#updateView();
        this.#resolveFirstList();
        this.#checkRegistration(list);
      },
      changed: (changes: readonly ObjectChange[]): void => {
        changes.forEach(change => {
          this.#applyChange(change);
        });
        this.#updateView();
      },
      confirmed: (): void => undefined,
    };
  }

  /** Number of registered hosts, this one included; 0 until registrations have been read. */
  get count(): number {
    return this.#members.size;
  }

  /** The registered hosts and the time since which the set is unchanged; undefined while no host is known. */
  get view(): MemberView | undefined {
    return this.#view;
  }

  /** All registered hosts, this one included. */
  get all(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** Returns a registered host by its name. */
  get(name: string): Member | undefined {
    return this.#members.get(name);
  }

  /** The names in {@link view}, in no particular order; empty while no host is known. */
  get names(): readonly string[] {
    return this.#view?.names ?? NO_NAMES;
  }

  /** The peers that this host may follow. */
  get candidates(): Candidates {
    this.#candidates ??= this.#computeCandidates();
    return this.#candidates;
  }

  /** The highest-ranked hosts of each other failure domain. */
  get firstRemoteMembers(): readonly Member[] {
    return firstRemoteMembers(this.#options.self, [...this.#members.values()]);
  }

  /** Resolves once registrations have been read, after {@link FIRST_LIST_TIMEOUT_MS} at the latest. */
  async waitForFirstList(): Promise<void> {
    await Promise.race([this.#firstList, sleep(FIRST_LIST_TIMEOUT_MS, this.#abort.signal)]);
  }

  /** Registers this host, with retries until it succeeds; does nothing where a restarted host is still registered. */
  async register(): Promise<void> {
    const { self } = this.#options;
    await this.waitForFirstList();
    if (isSameRegistration(this.#members.get(self.name), self)) {
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
        failures.recordFailure(error);
        await sleep(RETRY_MS * (0.5 + Math.random()), this.#abort.signal);
      }
    }
  }

  /** Stops retries of the registration. */
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
      isSameRegistration(readMember(created.object), self)
    ) {
      return;
    }
    const { revision } = created.object;
    const replaced = await store.replace(OBJECT_KINDS.members, name, value, revision);
    if (replaced.kind === 'conflict') {
      throw new Error('another process registered this host at the same time');
    }
  }

  #applyChange({ object, deleted }: ObjectChange): void {
    if (deleted) {
      this.#members.delete(object.name);
      this.#candidates = undefined;
    } else {
      this.#setMember(object);
    }
  }

  #setMember(object: StoredObject): void {
    const member = readMember(object);
    if (member !== undefined) {
      this.#members.set(object.name, member);
      this.#candidates = undefined;
    }
  }

  #updateView(): void {
    const names = this.#view?.names ?? [];
    if (names.length !== this.#members.size || names.some(name => !this.#members.has(name))) {
      this.#view = { names: [...this.#members.keys()], since: monotonicMs() };
    }
  }

  #computeCandidates(): Candidates {
    const { self, seeds } = this.#options;
    if (this.#members.size > 0) {
      return candidatesOf(self, [...this.#members.values()]);
    }
    const seedMembers = seeds
      .filter(address => address !== self.address)
      .map(address => ({ name: address, address, failureDomain: '', power: 0 }));
    return { above: [], below: seedMembers, isAmongFirst: true };
  }
}

function isSameRegistration(member: Member | undefined, self: Member): boolean {
  return (
    member !== undefined &&
    member.address === self.address &&
    member.failureDomain === self.failureDomain &&
    member.power === self.power
  );
}
