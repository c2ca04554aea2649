/**
 * Simulates, without I/O, a minute of many entry hosts that send to one upstream host with changing rate limits. Covers
 * requests that wait for connections, answers that overtake each other, reports between entry hosts, restarts,
 * suspensions, partitions and joins.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { HostEntry } from '../hosts/host-entry.js';
import type { MemberView } from '../peers/membership.js';
import { HostRateLimits } from '../rate-limits/host-rate-limits.js';
import type { LimitReport } from '../rate-limits/limit-report.js';
import type { SendBound } from '../rate-limits/paced-sends.js';
import { PacedSends } from '../rate-limits/paced-sends.js';
import { silentLog } from '../server/log.js';
import { Counters, Gauges } from '../server/metrics.js';
import { testHost } from './groups.js';
import type {
  Disruption,
  LimitScenario,
  LimitSimulationResult,
  LimitStep,
  LimitVariant,
  ReceivedLimit,
} from './limit-scenario.js';
import { BOUNDS, maxExcess, usedPart } from './limit-scenario-checks.js';

/** Simulated time of a scenario, in milliseconds. */
export const SCENARIO_MS = 60_000;
/** The requests of an entry host count from this time after it has received the limit, in milliseconds. */
const INFORMED_AFTER_MS = 500;
/** Time after a restart, suspension, partition or join in which requests do not count, in milliseconds. */
const EXCUSED_MS = 3_000;
const STEP_MS = 20;
const REPORT_PERIOD_MS = 250;
const MAX_REPORT_DELAY_MS = 60;
const MAX_CONNECT_MS = 300;
const MAX_ANSWER_MS = 600;
const MAX_VIEW_LAG_MS = 1_500;
const BURST_PERIOD_MS = 7_000;
/** Parts (0 to 1) of the requests that need no new connection, and of the answers that are late. */
const IMMEDIATE_PART = 0.5;
const LATE_PART = 0.05;
const FOLLOWERS_PER_ENTRY = 3;
const MS_PER_S = 1_000;
const HOST: HostEntry = testHost('limited');

/** State of an entry host to which the host has sent no limit. */
const NOT_INFORMED = { beganAt: -1, at: Infinity };
const UNLIMITED: LimitStep = { atMs: 0, perSecond: Infinity };

/** A request at the upstream host; only those of informed and not excused entry hosts count. */
type Arrival = { readonly at: number; readonly isInformed: boolean; readonly isExcused: boolean };

/** A simulated entry host; a restart replaces its process. */
type Entry = {
  readonly name: string;
  readonly isBusy: boolean;
  readonly sentTo: Map<Entry, { readonly process: number; readonly sequence: number }>;
  process: number;
  limits: HostRateLimits;
  sends: PacedSends;
  view: MemberView;
  /** Start of the current period of limits, and when this entry host received a limit of it, in milliseconds. */
  informed: { readonly beganAt: number; readonly at: number };
  suspendedUntil: number;
  cutUntil: number;
  excusedUntil: number;
  /** Deliveries that wait until the suspension ends. */
  readonly pending: (() => void)[];
};

/** Runs the scenario with the product's mechanism, or with a variant of it. */
export function simulateLimits(
  day: LimitScenario,
  way: LimitVariant = 'as-built',
): LimitSimulationResult {
  return new LimitSimulation(day, way).run();
}

class LimitSimulation {
  readonly #day: LimitScenario;
  readonly #way: LimitVariant;
  readonly #entries: Entry[] = [];
  readonly #events = new Map<number, (() => void)[]>();
  readonly #arrivals: Arrival[] = [];
  readonly #observed: ReceivedLimit[] = [];
  readonly #random: () => number;
  #now = 0;
  #linkedAt = -1;
  #links: readonly (readonly [Entry, Entry])[] = [];
  #endedAt: number | undefined;
  #longestReturnMs = 0;

  constructor(day: LimitScenario, way: LimitVariant) {
    this.#day = day;
    this.#way = way;
    const generator = xoroshiro128plus(day.seed);
    this.#random = () => uniformFloat64(generator);
    for (let index = 0; index < day.members; index += 1) {
      this.#entries.push(this.#newEntry(`entry-${index}`));
    }
    const names = this.#entries.map(({ name }) => name);
    this.#entries.forEach(entry => {
      entry.view = { names, since: -SCENARIO_MS };
    });
    day.joins.forEach((atMs, index) => {
      this.#schedule(atMs, () => {
        this.#join(`joined-${index}`);
      });
    });
    day.troubles.forEach(trouble => {
      this.#schedule(trouble.atMs, () => {
        this.#disrupt(trouble);
      });
    });
    day.limits.forEach(({ atMs, perSecond }) => {
      this.#schedule(atMs, () => {
        this.#endedAt = perSecond === Infinity ? this.#now : undefined;
      });
    });
  }

  run(): LimitSimulationResult {
    for (; this.#now <= SCENARIO_MS; this.#now += STEP_MS) {
      const due = this.#events.get(this.#now) ?? [];
      this.#events.delete(this.#now);
      due.forEach(event => {
        event();
      });
      this.#entries.forEach(entry => {
        this.#deliverPending(entry);
        this.#sendRequest(entry);
      });
      if (this.#now % REPORT_PERIOD_MS < STEP_MS) {
        this.#entries.forEach(entry => {
          this.#report(entry);
        });
      }
      this.#recordReturn();
    }
    const timesOf = (arrivals: readonly Arrival[]): readonly number[] =>
      arrivals.map(({ at }) => at);
    const counted = this.#arrivals.filter(({ isInformed, isExcused }) => isInformed && !isExcused);
    return {
      excess: maxExcess(timesOf(counted), this.#observed),
      usedPart: usedPart(timesOf(this.#arrivals), this.#day.limits, SCENARIO_MS),
      longestReturnMs: this.#longestReturnMs,
    };
  }

  #schedule(ms: number, event: () => void): void {
    const step = Math.max(this.#now + STEP_MS, Math.ceil(ms / STEP_MS) * STEP_MS);
    this.#events.set(step, [...(this.#events.get(step) ?? []), event]);
  }

  // Delivers to an entry host at a time, or after its suspension; dropped if the process has been replaced since.
  #deliver(entry: Entry, ms: number, deliver: () => void): void {
    const { process } = entry;
    this.#schedule(ms, () => {
      if (entry.process === process) {
        entry.pending.push(deliver);
        this.#deliverPending(entry);
      }
    });
  }

  #deliverPending(entry: Entry): void {
    if (entry.suspendedUntil <= this.#now) {
      entry.pending.splice(0).forEach(deliver => {
        deliver();
      });
    }
  }

  #newEntry(name: string): Entry {
    const view: MemberView = { names: [name], since: this.#now };
    const entry = {
      name,
      isBusy: this.#random() < this.#day.busyPart,
      sentTo: new Map(),
      process: 0,
      view,
      informed: NOT_INFORMED,
      suspendedUntil: 0,
      cutUntil: 0,
      excusedUntil: 0,
      pending: [],
    } as unknown as Entry;
    this.#startProcess(entry);
    return entry;
  }

  #startProcess(entry: Entry): void {
    entry.process += 1;
    entry.informed = NOT_INFORMED;
    entry.sentTo.clear();
    entry.pending.splice(0);
    entry.limits = new HostRateLimits({
      bounds: () => BOUNDS,
      onChange: () => {
        this.#report(entry);
      },
      log: silentLog(),
      counters: new Counters(),
      gauges: new Gauges(),
      now: () => this.#now,
      random: this.#random,
    });
    const { limits } = entry;
    entry.sends = new PacedSends({
      verdict: 'rate-limit',
      self: entry.name,
      members: () => this.#membersOf(entry),
      boundOf: (host, now) => this.#boundOf(entry, limits.boundOf(host, now)),
      onClaim: () => undefined,
    });
  }

  #boundOf({ view }: Entry, bound: SendBound | undefined): SendBound | undefined {
    if (bound === undefined || this.#way !== 'equal-parts') {
      return bound;
    }
    const perWindow = bound.limit.perWindow / view.names.length;
    return { ...bound, limit: { ...bound.limit, perWindow } };
  }

  // With 'equal-parts' each entry host sees only itself, which makes it the only owner.
  #membersOf({ name, view }: Entry): MemberView {
    return this.#way === 'equal-parts' ? { names: [name], since: 0 } : view;
  }

  #join(name: string): void {
    const names = [...(this.#entries[0]?.view.names ?? []), name];
    const receiveMembers = (entry: Entry): void => {
      if (names.length > entry.view.names.length) {
        entry.view = { names, since: this.#now };
      }
    };
    this.#entries.forEach(entry => {
      this.#schedule(this.#now + this.#random() * MAX_VIEW_LAG_MS, () => {
        receiveMembers(entry);
      });
    });
    const joined = this.#newEntry(name);
    joined.view = { names, since: this.#now };
    joined.excusedUntil = this.#now + EXCUSED_MS;
    this.#entries.push(joined);
  }

  #disrupt({ kind, forMs, part }: Disruption): void {
    const affected = this.#entries.slice(0, Math.ceil(part * this.#entries.length));
    const until = this.#now + (kind === 'restart' ? 0 : forMs);
    affected.forEach(entry => {
      entry.excusedUntil = Math.max(entry.excusedUntil, until + EXCUSED_MS);
      if (kind === 'restart') {
        this.#startProcess(entry);
      } else if (kind === 'suspension') {
        entry.suspendedUntil = until;
      } else {
        entry.cutUntil = until;
      }
    });
  }

  // Returns the start of the uninterrupted period of limits at a time; Infinity without a limit.
  #periodStart(atMs: number): number {
    const started = this.#day.limits.filter(step => step.atMs <= atMs);
    const lastUnlimited = started.map(({ perSecond }) => perSecond).lastIndexOf(Infinity);
    return started[lastUnlimited + 1]?.atMs ?? Infinity;
  }

  get #limit(): LimitStep {
    const started = this.#day.limits.filter(({ atMs }) => atMs <= this.#now);
    return started.at(-1) ?? UNLIMITED;
  }

  #sendRequest(entry: Entry): void {
    const { demandPerS, inBursts } = this.#day;
    const isBurst = this.#now % BURST_PERIOD_MS < MS_PER_S / 2;
    const chance = (demandPerS * STEP_MS) / MS_PER_S;
    const arrives = inBursts ? isBurst : this.#random() < chance;
    const isAwake = entry.suspendedUntil <= this.#now;
    if (entry.isBusy && isAwake && arrives && entry.sends.take(HOST, this.#now)) {
      const connectMs = this.#random() < IMMEDIATE_PART ? 0 : this.#random() * MAX_CONNECT_MS;
      this.#deliver(entry, this.#now + connectMs, () => {
        this.#write(entry);
      });
    }
  }

  #write(entry: Entry): void {
    if (!entry.sends.write(HOST, this.#now)) {
      return;
    }
    const writtenAt = this.#now;
    const { informed } = entry;
    const isInformed =
      informed.beganAt === this.#periodStart(this.#now) &&
      informed.at + INFORMED_AFTER_MS <= this.#now;
    this.#arrivals.push({ at: this.#now, isInformed, isExcused: entry.excusedUntil > this.#now });
    // An answer contains the limit at the time when the host begins it; the answer itself may be delayed.
    const answersAt = this.#now + this.#random() * MAX_ANSWER_MS;
    const arrivesAt = answersAt + (this.#random() < LATE_PART ? MAX_ANSWER_MS : 0);
    this.#schedule(answersAt, () => {
      const answered = this.#limit;
      this.#deliver(entry, arrivesAt, () => {
        this.#receiveAnswer(entry, answered, writtenAt);
      });
    });
  }

  #receiveAnswer(entry: Entry, answered: LimitStep, writtenAt: number): void {
    const { perSecond } = answered;
    const isLimited = perSecond !== Infinity;
    if (answered.atMs > (this.#observed.at(-1)?.atMs ?? -1)) {
      this.#observed.push({ atMs: answered.atMs, perSecond, heardAt: this.#now });
    }
    const beganAt = this.#periodStart(answered.atMs);
    if (isLimited && entry.informed.beganAt !== beganAt) {
      entry.informed = { beganAt, at: this.#now };
    }
    const askedAt = this.#way === 'any-answer-ends-it' ? this.#now + 1 : writtenAt;
    const notice = isLimited
      ? ({ kind: 'limited', perSecond } as const)
      : ({ kind: 'unlimited' } as const);
    entry.limits.receiveNotice(HOST, notice, askedAt);
  }

  // As in `ReportExchange`, sends new reports to the entry host that this one follows and to its followers.
  #report(entry: Entry): void {
    const isSilent = this.#way === 'no-reports' || entry.suspendedUntil > this.#now;
    if (isSilent) {
      return;
    }
    this.#neighboursOf(entry).forEach(neighbour => {
      const sent = entry.sentTo.get(neighbour);
      const from = sent?.process === neighbour.process ? sent.sequence : 0;
      const { sequence } = entry.limits;
      if (from < sequence) {
        entry.sentTo.set(neighbour, { process: neighbour.process, sequence });
        const reports: readonly LimitReport[] = entry.limits.since(from);
        this.#deliver(neighbour, this.#now + this.#random() * MAX_REPORT_DELAY_MS, () => {
          if (neighbour.limits.receiveReports(reports)) {
            this.#requestReports(neighbour, entry);
          }
        });
      }
    });
  }

  #requestReports(asking: Entry, asked: Entry): void {
    const requestedAt = this.#now;
    this.#deliver(asked, this.#now + this.#random() * MAX_REPORT_DELAY_MS, () => {
      const reports = asked.limits.since(0);
      this.#deliver(asking, this.#now + this.#random() * MAX_REPORT_DELAY_MS, () => {
        asking.limits.receiveReports(reports, requestedAt);
      });
    });
  }

  // Each entry host follows the one assigned by its position, or the first one that it can reach.
  #neighboursOf(entry: Entry): readonly Entry[] {
    if (this.#linkedAt !== this.#now) {
      this.#linkedAt = this.#now;
      const followed = this.#entries.map((one, place) => this.#followedBy(one, place));
      this.#links = followed
        .map((one, place) => {
          const follower = this.#entries[place];
          return one === undefined || follower === undefined ? [] : [[follower, one] as const];
        })
        .flat();
    }
    return this.#links.flatMap(pair =>
      pair.includes(entry) ? pair.filter(one => one !== entry) : [],
    );
  }

  #followedBy(entry: Entry, place: number): Entry | undefined {
    const assigned = this.#entries[Math.floor((place - 1) / FOLLOWERS_PER_ENTRY)];
    const reaches = (other: Entry): boolean =>
      other.suspendedUntil <= this.#now &&
      other.cutUntil > this.#now === entry.cutUntil > this.#now;
    const isAssigned = place > 0 && assigned !== undefined && reaches(assigned);
    return isAssigned ? assigned : this.#entries.slice(0, place).find(reaches);
  }

  #recordReturn(): void {
    const isApplied = this.#entries.some(
      ({ limits, excusedUntil }) =>
        excusedUntil <= this.#now && limits.boundOf(HOST, this.#now) !== undefined,
    );
    if (this.#endedAt !== undefined && isApplied) {
      this.#longestReturnMs = Math.max(this.#longestReturnMs, this.#now - this.#endedAt);
    }
  }
}
