/**
 * Simulates one entry host and upstream hosts that reject requests with a backoff, recover, leave and restart, without
 * a network and with clocks that the test sets. At the hosts, the tests count the requests that reach a host during its
 * backoff, later than half a second after it asked for the backoff, and those that reach a leaving host. For callers,
 * they check that no request is refused while some host would take it.
 */
import { expect } from 'chai';
import fc from 'fast-check';

import type { Service } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { HostRegistry } from '../hosts/host-registry.js';
import { silentLog } from '../server/log.js';
import { Counters, Gauges } from '../server/metrics.js';
import { testHost, testHostReading } from '../testing/groups.js';
import type { EligibilityFacts } from './eligibility.js';
import { HostActivities } from './host-activity.js';
import { HostNotices, MAX_JITTER_MS } from './host-notices.js';
import { SendEligibility } from './send-eligibility.js';
import type { TargetQuery } from './target-chooser.js';
import { TargetChooser } from './target-chooser.js';

const HOST_COUNT = 4;
/** Requests that may reach a host in a backoff later than {@link EFFECTIVE_AFTER_MS}, as the platform allows. */
const MAX_SENDS = 2;
/** Time after the answer from which the backoff must be observed, in milliseconds. */
const EFFECTIVE_AFTER_MS = 500;
const SERVICE: Service = {
  name: 's',
  maxConnections: 10,
  slowStart: undefined,
  engine: undefined,
};

/** An event of the simulation; `host` is the index of a host. */
type Step =
  | { readonly kind: 'rejects'; readonly host: number; readonly forMs: number }
  | { readonly kind: 'recovers' | 'leaves' | 'restarts'; readonly host: number }
  /** Requests arrive; each is written `onWayMs` after its target was chosen, in the order of arrival. */
  | {
      readonly kind: 'requests';
      readonly count: number;
      readonly everyMs: number;
      readonly onWayMs: number;
    }
  /** Time passes; while the entry host is suspended, its monotonic clock does not advance. */
  | { readonly kind: 'suspended' | 'passes'; readonly forMs: number };

/** A mechanism that is left out of a simulation, which the checks must detect. */
type DisabledMechanism = 'backoff' | 'check-at-write' | 'incarnation' | 'leaving';

/** The actual state of a host, as opposed to the last reported one. */
type Host = {
  startedAt: number;
  rejectsForMs: number;
  leaving: boolean;
  /** Backoffs of this incarnation, in real time, and their ends by the monotonic clock. */
  backoffs: { from: number; until: number; sends: number; monotonicUntil: number }[];
  /** Requests that arrived after an answer with the notice that the host is leaving. */
  sendsWhileLeaving: number;
  /** When an answer first contained the notice that the host is leaving, in real time. */
  leavingSince: number | undefined;
};

/** One simulation of an entry host and its upstream hosts. */
class Simulation {
  readonly #disabled: DisabledMechanism | undefined;
  readonly #hosts: Host[] = [];
  readonly #registry = new HostRegistry(
    (_, value) => testHostReading(value as HostEntry),
    silentLog(),
  );
  readonly #counters = new Counters();
  readonly #notices: HostNotices;
  readonly #chooser: TargetChooser;
  readonly #eligibility: SendEligibility;
  /** The monotonic clock of the entry host, in milliseconds. */
  #monotonicMs = 0;
  /** The clock that also advances while the entry host is suspended, in milliseconds. */
  #realMs = 0;
  #revision = 0;
  /** Number of requests that were refused although some host would have taken them. */
  wronglyRefused = 0;

  constructor(disabled?: DisabledMechanism) {
    this.#disabled = disabled;
    const gauges = new Gauges();
    this.#notices = new HostNotices({
      onHostLeaving: host => {
        if (disabled !== 'leaving') {
          this.#registry.recordShutdown(host);
        }
      },
      onReportNeeded: () => undefined,
      log: silentLog(),
      counters: this.#counters,
      gauges,
      now: () => this.#monotonicMs,
    });
    this.#eligibility = new SendEligibility(this.#eligibilityFacts(), this.#counters);
    this.#chooser = new TargetChooser(this.#registry, new HostActivities(), {
      failureDomain: 'a',
      peerRequestsAt: () => 0,
      eligibility: (host, homes) => this.#eligibility.of(host, homes, this.#monotonicMs),
    });
    for (let index = 0; index < HOST_COUNT; index++) {
      this.#hosts.push(newHost(1));
      this.#writeEntry(index);
    }
  }

  #eligibilityFacts(): EligibilityFacts {
    const startedAt = this.#disabled === 'incarnation' ? 1 : undefined;
    return {
      evacuations: { isKnown: true, isEvacuated: () => false },
      paces: [],
      regionOf: () => undefined,
      backoffs: {
        backoffLeftMs: (host, now) =>
          this.#disabled === 'backoff'
            ? 0
            : this.#notices.backoffLeftMs(
                startedAt === undefined ? host : { ...host, startedAt },
                now,
              ),
      },
    };
  }

  /** Number of requests that reached hosts in a backoff, beyond the allowed ones, or leaving hosts. */
  get excessSends(): number {
    const inBackoffs = this.#hosts.flatMap(host => host.backoffs.map(backoff => backoff.sends));
    const toLeaving = this.#hosts.map(host => host.sendsWhileLeaving);
    return [...inBackoffs.map(sends => Math.max(0, sends - MAX_SENDS)), ...toLeaving].reduce(
      (sum, count) => sum + count,
      0,
    );
  }

  run(steps: readonly Step[]): void {
    steps.forEach(step => {
      this.#apply(step);
    });
  }

  #apply(step: Step): void {
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
        this.#advance(step.forMs);
        break;
    }
  }

  #requests({ count, everyMs, onWayMs }: Extract<Step, { kind: 'requests' }>): void {
    const onWay: { readonly entry: HostEntry; readonly writeAt: number }[] = [];
    for (let index = 0; index < count; index++) {
      while ((onWay[0]?.writeAt ?? Infinity) <= this.#monotonicMs) {
        this.#write((onWay.shift() as { entry: HostEntry }).entry);
      }
      const entry = this.#claim(new Set());
      if (entry === undefined) {
        this.#noteRefusal();
      } else {
        onWay.push({ entry, writeAt: this.#monotonicMs + onWayMs });
      }
      this.#advance(everyMs);
    }
    onWay.forEach(({ entry, writeAt }) => {
      this.#advance(Math.max(0, writeAt - this.#monotonicMs));
      this.#write(entry);
    });
  }

  #claim(exclude: ReadonlySet<string>): HostEntry | undefined {
    const query: TargetQuery = { service: SERVICE, model: undefined, exclude, homeRegions: [] };
    const host = this.#chooser.choose(query)?.host;
    const verdict = host && this.#eligibility.take(host, [], this.#monotonicMs);
    return verdict === 'eligible' ? host : undefined;
  }

  // Counts the refusal as wrong where some host has neither a backoff nor a notice that it is leaving. Backoffs are
  // extended at random, and by the time for which the machine was suspended.
  #noteRefusal(): void {
    const isAvailable = this.#hosts.some(host => {
      const hasNoBackoff = host.backoffs.every(
        ({ monotonicUntil }) => monotonicUntil + MAX_JITTER_MS < this.#monotonicMs,
      );
      return hasNoBackoff && host.leavingSince === undefined;
    });
    this.wronglyRefused += Number(isAvailable);
  }

  #write(entry: HostEntry): void {
    const latest = this.#registry.latestOf(entry);
    const mayWrite = this.#eligibility.mayWrite(latest, [], this.#monotonicMs);
    if (!mayWrite && this.#disabled !== 'check-at-write') {
      return;
    }
    const host = this.#host(Number(entry.id));
    host.backoffs
      .filter(({ from, until }) => this.#realMs > from + EFFECTIVE_AFTER_MS && this.#realMs < until)
      .forEach(backoff => {
        backoff.sends += 1;
      });
    host.sendsWhileLeaving += Number(this.#realMs > (host.leavingSince ?? Infinity));
    this.#answer(host, entry);
  }

  #answer(host: Host, entry: HostEntry): void {
    const backoffMs = host.rejectsForMs;
    if (backoffMs > 0) {
      const [until, monotonicUntil] = [this.#realMs + backoffMs, this.#monotonicMs + backoffMs];
      host.backoffs.push({ from: this.#realMs, until, sends: 0, monotonicUntil });
    }
    if (host.leaving) {
      host.leavingSince ??= this.#realMs;
    }
    const noticeHost = this.#disabled === 'incarnation' ? { ...entry, startedAt: 1 } : entry;
    this.#notices.receive(noticeHost, { backoffMs, isLeaving: host.leaving });
  }

  #advance(ms: number): void {
    this.#monotonicMs += ms;
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
    this.#registry.applyChanges([{ object, deleted: false }]);
  }
}

function newHost(startedAt: number): Host {
  return {
    startedAt,
    rejectsForMs: 0,
    leaving: false,
    backoffs: [],
    sendsWhileLeaving: 0,
    leavingSince: undefined,
  };
}

const host = fc.nat(HOST_COUNT - 1);
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
const stepsArbitrary = fc.array(stepArbitrary, { minLength: 4, maxLength: 30 });
const RUN_PARAMETERS = { numRuns: 300 };

// True when some simulation without the mechanism breaks a rule.
function isDetected(disabled: DisabledMechanism): boolean {
  const property = fc.property(stepsArbitrary, steps => {
    const simulation = new Simulation(disabled);
    simulation.run(steps);
    return simulation.excessSends === 0 && simulation.wronglyRefused === 0;
  });
  return fc.check(property, { ...RUN_PARAMETERS, seed: 1, endOnFailure: true }).failed;
}

describe('simulated hosts that ask for backoff, leave and restart', () => {
  it('receive no more requests than allowed, and none is refused that a host would take', () => {
    const property = fc.property(stepsArbitrary, steps => {
      const simulation = new Simulation();
      simulation.run(steps);
      expect(simulation.excessSends).to.equal(0);
      expect(simulation.wronglyRefused).to.equal(0);
    });
    fc.assert(property, RUN_PARAMETERS);
  });

  for (const disabled of ['backoff', 'check-at-write', 'incarnation', 'leaving'] as const) {
    it(`break a rule without the mechanism ${disabled}`, () => {
      expect(isDetected(disabled)).to.equal(true);
    });
  }
});
