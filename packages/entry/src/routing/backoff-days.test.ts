/**
 * Days of hosts that ask for no requests, leave, start again and are overloaded, before one entry host, without a
 * network and by a clock that the test sets. Checked from what the hosts see: the sends that reach one while it wants
 * none, later than half a second after it said so, and those that reach one that is leaving; and for callers, that
 * none is turned away while some host would take its request.
 */
import { expect } from 'chai';
import fc from 'fast-check';

import type { Service } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { HostRegistry } from '../hosts/host-registry.js';
import { silentLog } from '../server/log.js';
import { Counters, Gauges } from '../server/metrics.js';
import { readTestHost, testHost } from '../testing/groups.js';
import type { EligibilityFacts } from './eligibility.js';
import { HostActivities } from './host-activity.js';
import { HostNotices, MOST_SPREAD_MS } from './host-notices.js';
import { SendEligibility } from './send-eligibility.js';
import type { TargetQuery } from './target-chooser.js';
import { TargetChooser } from './target-chooser.js';

const HOSTS = 4;
/** What a platform allows: so many sends, later than so many milliseconds after a host asked for none. */
const MOST_SENDS = 2;
const HEARD_AFTER_MS = 500;
const SERVICE: Service = {
  name: 's',
  maxConnections: 10,
  slowStart: undefined,
  engine: undefined,
};

/** What happens next: `host` is the number of one. */
type Step =
  | { readonly kind: 'rejects'; readonly host: number; readonly forMs: number }
  | { readonly kind: 'recovers' | 'leaves' | 'restarts'; readonly host: number }
  /** Requests come, each written some time after it was sent on its way, in order. */
  | {
      readonly kind: 'requests';
      readonly count: number;
      readonly everyMs: number;
      readonly onWayMs: number;
    }
  /** The entry host stands still; its steady clock does, too. */
  | { readonly kind: 'suspended' | 'passes'; readonly forMs: number };

/** A mechanism taken out, which the check must notice. */
type Without = 'term' | 'question-at-write' | 'start' | 'leaving';

/** A host as it is, whatever is believed of it. */
type Host = {
  startedAt: number;
  rejectsForMs: number;
  leaving: boolean;
  /** Times in which it wants none: real time, of this start. */
  terms: { from: number; until: number; sends: number; steadyUntil: number }[];
  sendsSinceLeft: number;
  /** When an answer said that it leaves; real time. */
  saidLeaving: number | undefined;
};

class Day {
  readonly #without: Without | undefined;
  readonly #hosts: Host[] = [];
  readonly #registry = new HostRegistry(
    (_, value) => readTestHost(value as HostEntry),
    silentLog(),
  );
  readonly #counters = new Counters();
  readonly #notices: HostNotices;
  readonly #chooser: TargetChooser;
  readonly #eligibility: SendEligibility;
  #steadyMs = 0;
  #realMs = 0;
  #revision = 0;
  /** Requests that were turned away although some host would have taken them. */
  wronglyRefused = 0;

  constructor(without?: Without) {
    this.#without = without;
    const gauges = new Gauges();
    this.#notices = new HostNotices({
      leaves: host => {
        if (without !== 'leaving') {
          this.#registry.noteLeaving(host);
        }
      },
      reported: () => undefined,
      log: silentLog(),
      counters: this.#counters,
      gauges,
      now: () => this.#steadyMs,
    });
    this.#eligibility = new SendEligibility(this.#facts(), this.#counters);
    this.#chooser = new TargetChooser(this.#registry, new HostActivities(), {
      failureDomain: 'a',
      othersAt: () => 0,
      eligibility: (host, homes) => this.#eligibility.of(host, homes, this.#steadyMs),
    });
    for (let index = 0; index < HOSTS; index++) {
      this.#hosts.push(newHost(1));
      this.#writeEntry(index);
    }
  }

  #facts(): EligibilityFacts {
    const startedAt = this.#without === 'start' ? 1 : undefined;
    return {
      evacuations: { isKnown: true, isEvacuated: () => false },
      paces: [],
      regionOf: () => undefined,
      backoffs: {
        backoffLeftMs: (host, now) =>
          this.#without === 'term'
            ? 0
            : this.#notices.backoffLeftMs(
                startedAt === undefined ? host : { ...host, startedAt },
                now,
              ),
      },
    };
  }

  /** Sends that reached hosts which wanted none, beyond what is allowed. */
  get badSends(): number {
    const inTerms = this.#hosts.flatMap(host => host.terms.map(term => term.sends));
    const toLeaving = this.#hosts.map(host => host.sendsSinceLeft);
    return [...inTerms.map(sends => Math.max(0, sends - MOST_SENDS)), ...toLeaving].reduce(
      (sum, one) => sum + one,
      0,
    );
  }

  play(steps: readonly Step[]): void {
    steps.forEach(step => {
      this.#step(step);
    });
  }

  #step(step: Step): void {
    switch (step.kind) {
      case 'rejects':
        this.#host(step.host).rejectsForMs = step.forMs;
        break;
      case 'recovers':
        this.#host(step.host).rejectsForMs = 0;
        break;
      case 'leaves':
        this.#host(step.host).leaving = true;
        break;
      case 'restarts':
        this.#hosts[step.host] = newHost(this.#host(step.host).startedAt + 1);
        this.#writeEntry(step.host);
        break;
      case 'requests':
        this.#requests(step);
        break;
      case 'suspended':
        this.#realMs += step.forMs;
        break;
      case 'passes':
        this.#pass(step.forMs);
        break;
    }
  }

  #requests({ count, everyMs, onWayMs }: Extract<Step, { kind: 'requests' }>): void {
    const onWay: { readonly entry: HostEntry; readonly writeAt: number }[] = [];
    for (let index = 0; index < count; index++) {
      while ((onWay[0]?.writeAt ?? Infinity) <= this.#steadyMs) {
        this.#write((onWay.shift() as { entry: HostEntry }).entry);
      }
      const entry = this.#claim(new Set());
      if (entry === undefined) {
        this.#noteRefusal();
      } else {
        onWay.push({ entry, writeAt: this.#steadyMs + onWayMs });
      }
      this.#pass(everyMs);
    }
    onWay.forEach(({ entry, writeAt }) => {
      this.#pass(Math.max(0, writeAt - this.#steadyMs));
      this.#write(entry);
    });
  }

  #claim(exclude: ReadonlySet<string>): HostEntry | undefined {
    const query: TargetQuery = { service: SERVICE, model: undefined, exclude, homeRegions: [] };
    const host = this.#chooser.choose(query)?.host;
    const verdict = host && this.#eligibility.take(host, [], this.#steadyMs);
    return verdict === 'eligible' ? host : undefined;
  }

  // A host that wants none for a time is left alone a little longer, and while the machine was suspended.
  #noteRefusal(): void {
    const isFree = this.#hosts.some(host => {
      const isQuiet = host.terms.every(
        ({ steadyUntil }) => steadyUntil + MOST_SPREAD_MS < this.#steadyMs,
      );
      return isQuiet && host.saidLeaving === undefined;
    });
    this.wronglyRefused += Number(isFree);
  }

  #write(entry: HostEntry): void {
    const latest = this.#registry.latestOf(entry);
    const mayWrite = this.#eligibility.stillMay(latest, [], this.#steadyMs);
    if (!mayWrite && this.#without !== 'question-at-write') {
      return;
    }
    const host = this.#host(Number(entry.id));
    host.terms
      .filter(({ from, until }) => this.#realMs > from + HEARD_AFTER_MS && this.#realMs < until)
      .forEach(term => {
        term.sends += 1;
      });
    host.sendsSinceLeft += Number(this.#realMs > (host.saidLeaving ?? Infinity));
    this.#answer(host, entry);
  }

  #answer(host: Host, entry: HostEntry): void {
    const backoffMs = host.rejectsForMs;
    if (backoffMs > 0) {
      const [until, steadyUntil] = [this.#realMs + backoffMs, this.#steadyMs + backoffMs];
      host.terms.push({ from: this.#realMs, until, sends: 0, steadyUntil });
    }
    if (host.leaving) {
      host.saidLeaving ??= this.#realMs;
    }
    const heardOf = this.#without === 'start' ? { ...entry, startedAt: 1 } : entry;
    this.#notices.hear(heardOf, { backoffMs, isLeaving: host.leaving });
  }

  #pass(ms: number): void {
    this.#steadyMs += ms;
    this.#realMs += ms;
  }

  #host(index: number): Host {
    return this.#hosts[index] as Host;
  }

  #writeEntry(index: number): void {
    const { startedAt } = this.#host(index);
    const value = testHost(String(index), { service: 's', startedAt, fabricDomain: undefined });
    this.#revision += 1;
    const object = { name: value.id, revision: this.#revision, value };
    this.#registry.takeChanges([{ object, deleted: false }]);
  }
}

function newHost(startedAt: number): Host {
  return {
    startedAt,
    rejectsForMs: 0,
    leaving: false,
    terms: [],
    sendsSinceLeft: 0,
    saidLeaving: undefined,
  };
}

const host = fc.nat(HOSTS - 1);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('rejects' as const),
    host,
    forMs: fc.integer({ min: 100, max: 6_000 }),
  }),
  fc.record({ kind: fc.constantFrom('recovers' as const, 'restarts' as const), host }),
  fc.record({ kind: fc.constant('leaves' as const), host }),
  fc.record({
    kind: fc.constant('requests' as const),
    count: fc.integer({ min: 1, max: 60 }),
    everyMs: fc.integer({ min: 0, max: 60 }),
    onWayMs: fc.integer({ min: 0, max: 900 }),
  }),
  fc.record({
    kind: fc.constantFrom('suspended' as const, 'passes' as const),
    forMs: fc.integer({ min: 1, max: 3_000 }),
  }),
);
const dayArbitrary = fc.array(stepArbitrary, { minLength: 4, maxLength: 30 });
const DAYS = { numRuns: 300 };

function find(without: Without): boolean {
  const keepsRule = fc.property(dayArbitrary, steps => {
    const day = new Day(without);
    day.play(steps);
    return day.badSends === 0 && day.wronglyRefused === 0;
  });
  return fc.check(keepsRule, { ...DAYS, seed: 1, endOnFailure: true }).failed;
}

describe('days of hosts that ask for no requests', () => {
  it('bring no host more requests than it may get, and refuse none that a host would take', () => {
    const keepsRule = fc.property(dayArbitrary, steps => {
      const day = new Day();
      day.play(steps);
      expect(day.badSends).to.equal(0);
      expect(day.wronglyRefused).to.equal(0);
    });
    fc.assert(keepsRule, DAYS);
  });

  for (const without of ['term', 'question-at-write', 'start', 'leaving'] as const) {
    it(`go wrong without the ${without}`, () => {
      expect(find(without)).to.equal(true);
    });
  }
});
