import { expect } from 'chai';

import { ElapsedClock } from '../server/elapsed-time.js';
import { silentLog } from '../server/log.js';
import type { ObjectStore, StoredObject, WriteAnswer } from '../store/object-store.js';
import { StoreError } from '../store/object-store.js';
import type { LeaseTiming } from './lease-task.js';
import { LeaseTask } from './lease-task.js';

const TIMING: LeaseTiming = { renewMs: 30, holdMs: 120, expiryMs: 250 };

/** A store of one object whose writes, or the answers to them, can be lost. */
class LeaseStore {
  object: StoredObject | undefined;
  /** What is lost: nothing, writes before they are carried out, or answers after. */
  fails: 'nothing' | 'before' | 'after' = 'nothing';
  /** Delay of answers to writes, in milliseconds; the write itself is immediate. */
  answerMs = 0;
  #revision = 10;

  readonly store: ObjectStore = {
    list: () => Promise.reject(new StoreError('refused', 'not used')),
    watch: () => Promise.reject(new StoreError('refused', 'not used')),
    read: () => Promise.resolve(this.object),
    create: (_kind, name, value) => this.#write(this.object === undefined, name, value),
    replace: (_kind, name, value, revision) =>
      this.#write(this.object?.revision === revision, name, value),
    remove: () => Promise.reject(new StoreError('refused', 'not used')),
    close: () => undefined,
  };

  async #write(fits: boolean, name: string, value: unknown): Promise<WriteAnswer> {
    const answer = this.#writeAtOnce(fits, name, value);
    await new Promise(resolve => setTimeout(resolve, this.answerMs));
    return answer;
  }

  #writeAtOnce(fits: boolean, name: string, value: unknown): Promise<WriteAnswer> {
    if (this.fails === 'before') {
      return Promise.reject(new StoreError('unanswered', 'lost'));
    }
    if (!fits) {
      return Promise.resolve({ kind: 'conflict', object: this.object });
    }
    this.#revision += 1;
    this.object = { name, revision: this.#revision, value };
    if (this.fails === 'after') {
      return Promise.reject(new StoreError('unanswered', 'answer lost'));
    }
    return Promise.resolve({ kind: 'written', object: this.object });
  }
}

function candidate(store: LeaseStore, host: string, start = 1, clock?: ElapsedClock): LeaseTask {
  const options = { store: store.store, host, instance: `${host}-${start}` };
  return new LeaseTask({ ...options, timing: TIMING, clock, log: silentLog() });
}

/** Clock of a machine that can be suspended, while wall-clock time continues. */
class SuspendableClock extends ElapsedClock {
  readonly #suspend: (ms: number) => void;

  constructor() {
    let suspendedMs = 0;
    super({ steadyMs: () => performance.now(), wallMs: () => Date.now() + suspendedMs });
    this.#suspend = ms => {
      suspendedMs += ms;
    };
  }

  suspend(ms: number): void {
    this.#suspend(ms);
  }
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

describe('lease', () => {
  let store: LeaseStore;
  let tasks: LeaseTask[];

  beforeEach(() => {
    store = new LeaseStore();
    tasks = [];
  });

  afterEach(() => {
    tasks.forEach(task => {
      task.stopWithoutRelease();
    });
  });

  function start(host: string, incarnation = 1): LeaseTask {
    const task = candidate(store, host, incarnation);
    tasks.push(task);
    void task.run();
    return task;
  }

  // Guards against a lease that is kept by an entry host which can send no orders.
  it('is released while its holder can send no orders, and taken by another host', async () => {
    let canAct = true;
    const first = new LeaseTask({
      store: store.store,
      host: 'a',
      instance: 'a-1',
      canAct: () => canAct,
      timing: TIMING,
      log: silentLog(),
    });
    tasks.push(first);
    void first.run();
    await wait(2 * TIMING.renewMs);
    const second = start('b');
    expect(first.term).to.not.equal(undefined);
    canAct = false;
    await wait(4 * TIMING.renewMs);
    expect(first.term).to.equal(undefined);
    expect(second.term).to.not.equal(undefined);
  });

  it('is held by one at a time', async () => {
    const all = ['a', 'b', 'c'].map(host => start(host));
    for (let round = 0; round < 20; round++) {
      await wait(20);
      expect(all.filter(task => task.term !== undefined).length).to.be.at.most(1);
    }
    expect(all.filter(task => task.term !== undefined)).to.have.length(1);
  });

  it('passes to another host with a higher term after its expiry, and not before', async () => {
    const first = start('a');
    await wait(60);
    const term = first.term ?? 0;
    const second = start('b');
    await wait(60);
    first.stopWithoutRelease();
    await wait(100);
    expect(second.term).to.equal(undefined);
    await wait(350);
    expect(second.term).to.be.greaterThan(term);
  });

  it('lapses at a holder that cannot renew, before others may acquire it', async () => {
    const first = start('a');
    const second = start('b');
    await wait(60);
    const [holder, other] = first.term === undefined ? [second, first] : [first, second];
    store.fails = 'before';
    await wait(TIMING.holdMs + 40);
    expect(holder.term).to.equal(undefined);
    expect(other.term).to.equal(undefined);
  });

  it('is kept when the answer of a renewal was lost', async () => {
    const first = start('a');
    await wait(60);
    store.fails = 'after';
    await wait(40);
    store.fails = 'nothing';
    await wait(80);
    expect(first.term).to.be.a('number');
  });

  it('passes at once to the next start of the host that held it', async () => {
    const first = start('a', 1);
    await wait(60);
    expect(first.term).to.be.a('number');
    first.stopWithoutRelease();
    const again = start('a', 2);
    await wait(70);
    expect(again.term).to.be.greaterThan(first.term ?? 0);
  });

  it('is released by a planned stop', async () => {
    const first = start('a');
    await wait(60);
    await first.stop();
    const second = start('b');
    await wait(90);
    expect(second.term).to.be.a('number');
  });

  describe('of a host that was suspended', () => {
    const SUSPENSIONS_MS = [200, 400, 1_000, 5_000, 30_000];
    let clock: SuspendableClock;
    let holder: LeaseTask;

    beforeEach(async () => {
      clock = new SuspendableClock();
      holder = candidate(store, 'a', 1, clock);
      tasks.push(holder);
      void holder.run();
      await wait(60);
      expect(holder.term).to.be.a('number');
    });

    function writeLeaseOfOtherHost(): void {
      const revision = (store.object?.revision ?? 0) + 1;
      store.object = { name: 'order-giver', revision, value: { holder: 'b-1', host: 'b' } };
    }

    it('is no longer held once another host may hold it', () => {
      for (const ms of SUSPENSIONS_MS) {
        clock.suspend(ms);
        expect(holder.term === undefined).to.equal(ms >= TIMING.holdMs);
      }
    });

    it('stays with the host that acquired it during the suspension', async () => {
      writeLeaseOfOtherHost();
      clock.suspend(5_000);
      expect(holder.term).to.equal(undefined);
      await wait(TIMING.holdMs);
      expect(holder.term).to.equal(undefined);
      expect((store.object?.value as { holder: string }).holder).to.equal('b-1');
    });

    it('is acquired again at once, with a higher term, if no other host acquired it', async () => {
      const term = holder.term ?? 0;
      clock.suspend(5_000);
      expect(holder.term).to.equal(undefined);
      await wait(60);
      expect(holder.term).to.be.greaterThan(term);
    });

    it('is not extended by the answer to a renewal sent before the suspension', async () => {
      store.answerMs = 60;
      await wait(TIMING.renewMs + 10);
      clock.suspend(5_000);
      writeLeaseOfOtherHost();
      await wait(100);
      expect(holder.term).to.equal(undefined);
    });

    it('is not acquired by the answer to a takeover sent before the suspension', async () => {
      const other = new SuspendableClock();
      store.object = undefined;
      store.answerMs = 60;
      const late = candidate(store, 'c', 1, other);
      tasks.push(late);
      holder.stopWithoutRelease();
      void late.run();
      await wait(20);
      other.suspend(5_000);
      writeLeaseOfOtherHost();
      await wait(100);
      expect(late.term).to.equal(undefined);
    });
  });
});
