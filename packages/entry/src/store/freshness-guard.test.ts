/** Tests when the guard of a kind's age reads the store. */
import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import { Counters } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import { FreshnessGuard } from './freshness-guard.js';
import type { KindReader } from './kind-reader.js';
import type { ReadOutcome } from './reader-selector.js';

const LIMIT_MS = 100;
/** Longest delay of a read beyond the limit: its random part, and the shortest pause between two checks. */
const MAX_DELAY_MS = 0.15 * LIMIT_MS + 60;

const STORE: KindReader = {
  name: 'store',
  hasViews: false,
  read: () => Promise.reject(new Error('not used')),
};

/** A guard of a kind that is confirmed only by the guard's own reads. */
class GuardedKind {
  readonly ages: number[] = [];
  readonly outcomes: ReadOutcome[] = [];
  confirmedAt: number | undefined = monotonicMs();
  answers = true;
  isStoreUsable = true;
  readonly guard = new FreshnessGuard({
    kind: 'configuration',
    readers: {
      takeStore: () => (this.isStoreUsable ? STORE : undefined),
      recordOutcome: (_reader, outcome) => {
        this.outcomes.push(outcome);
      },
    },
    ageMs: () => this.#ageMs,
    readNow: () => {
      this.ages.push(this.#ageMs ?? Infinity);
      if (!this.answers) {
        return Promise.reject(new Error('no answer'));
      }
      this.confirmedAt = monotonicMs();
      return Promise.resolve();
    },
    limitMs: LIMIT_MS,
    log: silentLog(),
    counters: new Counters(),
  });

  get #ageMs(): number | undefined {
    return this.confirmedAt === undefined ? undefined : monotonicMs() - this.confirmedAt;
  }

  async runFor(ms: number): Promise<void> {
    const run = this.guard.run();
    await new Promise(resolve => setTimeout(resolve, ms));
    this.guard.stop();
    await run;
  }
}

describe('a freshness guard', () => {
  it('reads the store each time that the last confirmation reaches the limit', async () => {
    const kind = new GuardedKind();
    await kind.runFor(6 * LIMIT_MS);
    expect(kind.ages.length).to.be.within(3, 6);
    expect(Math.min(...kind.ages)).to.be.at.least(LIMIT_MS);
    expect(Math.max(...kind.ages)).to.be.at.most(LIMIT_MS + MAX_DELAY_MS);
  });

  it('does not read the store while the watch confirms the kind', async () => {
    const kind = new GuardedKind();
    const confirming = setInterval(() => {
      kind.confirmedAt = monotonicMs();
    }, LIMIT_MS / 4);
    await kind.runFor(5 * LIMIT_MS);
    clearInterval(confirming);
    expect(kind.ages).to.deep.equal([]);
  });

  it('does not read the store before the first list, nor while it is avoided', async () => {
    const starting = new GuardedKind();
    starting.confirmedAt = undefined;
    const avoiding = new GuardedKind();
    avoiding.isStoreUsable = false;
    await Promise.all([starting.runFor(4 * LIMIT_MS), avoiding.runFor(4 * LIMIT_MS)]);
    expect([...starting.ages, ...avoiding.ages]).to.deep.equal([]);
  });

  it('records failed reads, and pauses after each', async () => {
    const kind = new GuardedKind();
    kind.answers = false;
    await kind.runFor(6 * LIMIT_MS);
    expect(kind.outcomes.length).to.be.within(2, 8);
    expect(kind.outcomes.every(outcome => outcome === 'failed')).to.equal(true);
  });
});
