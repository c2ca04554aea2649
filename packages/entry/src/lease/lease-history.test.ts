/**
 * The lease while the store comes back from older copies, at drawn moments, with writes whose answers are lost and
 * writes that are done late. Guards against two entry hosts that give orders at once, and against epochs that
 * hosts have seen before.
 */
import { eraOf, numberInEra, revisionIn } from '@hingescale/core';
import { expect } from 'chai';
import fc from 'fast-check';

import { EpochSeries } from '../groups/epoch-series.js';
import { silentLog } from '../server/log.js';
import type { ObjectStore, StoredObject, WriteAnswer } from '../store/object-store.js';
import { StoreError } from '../store/object-store.js';
import type { LeaseTiming } from './lease-task.js';
import { LeaseTask } from './lease-task.js';

const TIMING: LeaseTiming = { renewMs: 20, holdMs: 80, expiryMs: 170 };
const DAY_MS = 1_500;
const DRAWS = 12;

type State = { readonly number: number; readonly object: StoredObject | undefined };
type Write = { readonly fits: () => boolean; readonly name: string; readonly value: unknown };

/** How the next write is treated. */
type Treatment = 'done' | 'answer-lost' | 'late';

/** One object whose store can come back from a copy. */
class FallingStore {
  treatments: Treatment[] = [];
  #era = 1;
  #state: State = { number: 10, object: undefined };
  #history: { readonly at: number; readonly state: State }[] = [];

  readonly store: ObjectStore = {
    list: () => Promise.reject(new StoreError('refused', 'not used')),
    watch: () => Promise.reject(new StoreError('refused', 'not used')),
    read: () => Promise.resolve(this.#shown()),
    create: (_kind, name, value) =>
      this.#write({ fits: () => this.#state.object === undefined, name, value }),
    replace: (_kind, name, value, revision) => this.#replace(name, value, revision),
    remove: () => Promise.reject(new StoreError('refused', 'not used')),
    close: () => undefined,
  };

  /** Comes back as it was some milliseconds ago. */
  comeBackFrom(ageMs: number): void {
    const at = performance.now() - ageMs;
    const copy = this.#history.filter(entry => entry.at <= at).at(-1);
    this.#era += 1;
    this.#state = copy?.state ?? { number: 10, object: undefined };
  }

  // As the platform's client does: a revision of an earlier era is not sent, and one that was sent before names
  // the number only.
  async #replace(name: string, value: unknown, revision: number): Promise<WriteAnswer> {
    if (eraOf(revision) !== this.#era) {
      return { kind: 'conflict', object: this.#shown() };
    }
    const number = numberInEra(revision);
    const fits = (): boolean => numberInEra(this.#state.object?.revision ?? 0) === number;
    const answer = await this.#write({ fits, name, value });
    const isSameEra =
      answer.object === undefined || eraOf(answer.object.revision) === eraOf(revision);
    return isSameEra ? answer : { kind: 'conflict', object: answer.object };
  }

  async #write(write: Write): Promise<WriteAnswer> {
    const treatment = this.treatments.shift() ?? 'done';
    if (treatment === 'late') {
      setTimeout(() => this.#apply(write), 60);
      throw new StoreError('unanswered', 'done later');
    }
    const answer = this.#apply(write);
    await new Promise(resolve => setTimeout(resolve, 2));
    if (treatment === 'answer-lost') {
      throw new StoreError('unanswered', 'answer lost');
    }
    return answer;
  }

  #apply({ fits, name, value }: Write): WriteAnswer {
    if (!fits()) {
      return { kind: 'conflict', object: this.#shown() };
    }
    const number = this.#state.number + 1;
    const object = { name, revision: revisionIn(this.#era, number), value };
    this.#state = { number, object };
    this.#history.push({ at: performance.now(), state: this.#state });
    return { kind: 'written', object };
  }

  #shown(): StoredObject | undefined {
    const { object } = this.#state;
    return object && { ...object, revision: revisionIn(this.#era, numberInEra(object.revision)) };
  }
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

type Fall = { readonly afterMs: number; readonly ageMs: number };
type Day = { readonly falls: readonly Fall[]; readonly treatments: readonly Treatment[] };

const fall: fc.Arbitrary<Fall> = fc.record({
  afterMs: fc.integer({ min: 40, max: 500 }),
  ageMs: fc.integer({ min: 5, max: 400 }),
});
const treatment: fc.Arbitrary<Treatment> = fc.constantFrom(
  'done',
  'done',
  'done',
  'done',
  'answer-lost',
  'late',
);
const day: fc.Arbitrary<Day> = fc.record({
  falls: fc.array(fall, { minLength: 1, maxLength: 5 }),
  treatments: fc.array(treatment, { minLength: 10, maxLength: 60 }),
});

/** Plays a day with three candidates; gives the most holders at once and the epochs that they gave, in order. */
async function play({ falls, treatments }: Day): Promise<{ most: number; epochs: number[] }> {
  const store = new FallingStore();
  store.treatments = [...treatments];
  const series = new Map<LeaseTask, EpochSeries>();
  for (const host of ['a', 'b', 'c']) {
    const options = { store: store.store, host, instance: `${host}-1`, timing: TIMING };
    const task = new LeaseTask({ ...options, log: silentLog() });
    series.set(task, new EpochSeries());
    void task.run();
  }
  let most = 0;
  const epochs: number[] = [];
  const look = setInterval(() => {
    const holders = [...series].filter(([task]) => task.renewedAt !== undefined);
    most = Math.max(most, holders.length);
    holders.forEach(([task, own]) => epochs.push(own.next(task.renewedAt ?? 0) ?? NaN));
  }, 3);
  const until = performance.now() + DAY_MS;
  for (const { afterMs, ageMs } of falls) {
    await wait(afterMs);
    store.comeBackFrom(ageMs);
  }
  await wait(Math.max(0, until - performance.now()));
  clearInterval(look);
  for (const task of series.keys()) {
    task.abandon();
  }
  return { most, epochs };
}

describe('the lease of a store that comes back from older copies', () => {
  // Two entry hosts held the lease for a second, after the store had come back.
  it('is held by one at a time, with epochs that only rise, and is held again', async () => {
    await fc.assert(
      fc.asyncProperty(day, async drawn => {
        const { most, epochs } = await play(drawn);
        expect(most).to.equal(1);
        expect(
          epochs.every((epoch, index) => index === 0 || epoch > (epochs[index - 1] ?? 0)),
        ).to.equal(true);
      }),
      { numRuns: Number(process.env.LEASE_DRAWS ?? DRAWS), endOnFailure: true },
    );
  }).timeout(600_000);

  it('is held on by its holder when the copy shows an earlier one', async () => {
    const store = new FallingStore();
    const holder = new LeaseTask({
      store: store.store,
      host: 'a',
      instance: 'a-1',
      timing: TIMING,
      log: silentLog(),
    });
    const lost: string[] = [];
    holder.messages.on('lost', ({ reason }) => {
      lost.push(reason);
    });
    void holder.run();
    await wait(100);
    const { term } = holder;
    store.comeBackFrom(50);
    await wait(300);
    expect(holder.term).to.equal(term);
    expect(lost).to.have.length(0);
    holder.abandon();
  });
});

describe('epochs of groups', () => {
  it('are above those of an earlier era, whatever numbers its revisions had', () => {
    const before = new EpochSeries().next(revisionIn(1, 900_000)) ?? Infinity;
    const after = new EpochSeries().next(revisionIn(2, 3));
    expect(after).to.be.above(before);
    expect(Number.isSafeInteger(after)).to.equal(true);
  });

  it('are above those of releases that had no era', () => {
    expect(new EpochSeries().next(5)).to.be.above(40_000 * 100_000 + 99_999);
  });

  it('end with one renewal and go on with the next', () => {
    const series = new EpochSeries();
    const given = Array.from({ length: 5_000 }, () => series.next(7));
    const last = given.filter(epoch => epoch !== undefined).at(-1);
    expect(given.at(-1)).to.equal(undefined);
    expect(series.next(8)).to.be.above(last ?? Infinity);
  });
});
