/**
 * Simulates, without I/O, a minute of many entry hosts before one upstream host that names limits: requests that wait
 * for connections, answers that overtake each other, reports between entry hosts, restarts, suspensions, cuts, joins.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { HostEntry } from '../hosts/host-entry.js';
import type { MemberView } from '../peers/membership.js';
import type { LimitReport } from '../rate-limits/limit-report.js';
import { NamedLimits } from '../rate-limits/named-limits.js';
import type { SendBound } from '../rate-limits/paced-sends.js';
import { PacedSends } from '../rate-limits/paced-sends.js';
import { silentLog } from '../server/log.js';
import { Counters, Gauges } from '../server/metrics.js';
import { testHost } from './groups.js';
import type {
  LimitDay,
  LimitDayResult,
  LimitStep,
  LimitWay,
  SaidLimit,
  Trouble,
} from './limit-day.js';
import { BOUNDS, mostExcess, usedPart } from './limit-day-checks.js';

/** Length of a simulated day. */
export const DAY_MS = 60_000;
/** An entry host counts from so long after the host has told it. */
const TOLD_AFTER_MS = 500;
/** Time for which an entry host does not count after a restart, a suspension or a cut. */
const EXCUSED_MS = 3_000;
const STEP_MS = 20;
const REPORT_PERIOD_MS = 250;
const MOST_REPORT_DELAY_MS = 60;
const MOST_CONNECT_MS = 300;
const MOST_ANSWER_MS = 600;
const MOST_VIEW_LAG_MS = 1_500;
const BURST_PERIOD_MS = 7_000;
const FOLLOWERS = 3;
const MS_PER_S = 1_000;
const HOST: HostEntry = testHost('limited');

const NEVER_TOLD = { begunAt: -1, at: Infinity };
const UNLIMITED: LimitStep = { atMs: 0, perSecond: Infinity };

type Arrival = { readonly at: number; readonly isTold: boolean; readonly isExcused: boolean };

/** One entry host; a restart makes a new process of it. */
type Entry = {
  readonly name: string;
  readonly isBusy: boolean;
  readonly toldTo: Map<Entry, { readonly process: number; readonly sequence: number }>;
  process: number;
  limits: NamedLimits;
  sends: PacedSends;
  view: MemberView;
  /** When the host told it of the limits that it has named since a time. */
  told: { readonly begunAt: number; readonly at: number };
  suspendedUntil: number;
  cutUntil: number;
  excusedUntil: number;
  /** What waits until it wakes. */
  readonly pending: (() => void)[];
};

/** Simulates the day. */
export function playLimitDay(day: LimitDay, way: LimitWay = 'as-built'): LimitDayResult {
  return new SimulatedDay(day, way).play();
}

class SimulatedDay {
  readonly #day: LimitDay;
  readonly #way: LimitWay;
  readonly #entries: Entry[] = [];
  readonly #events = new Map<number, (() => void)[]>();
  readonly #arrivals: Arrival[] = [];
  readonly #said: SaidLimit[] = [];
  readonly #random: () => number;
  #now = 0;
  #linkedAt = -1;
  #links: readonly (readonly [Entry, Entry])[] = [];
  #endedAt: number | undefined;
  #longestReturnMs = 0;

  constructor(day: LimitDay, way: LimitWay) {
    this.#day = day;
    this.#way = way;
    const generator = xoroshiro128plus(day.seed);
    this.#random = () => uniformFloat64(generator);
    for (let index = 0; index < day.members; index += 1) {
      this.#entries.push(this.#newEntry(`entry-${index}`));
    }
    const names = this.#entries.map(({ name }) => name);
    this.#entries.forEach(entry => {
      entry.view = { names, since: -DAY_MS };
    });
    day.joins.forEach((atMs, index) => {
      this.#at(atMs, () => {
        this.#join(`joined-${index}`);
      });
    });
    day.troubles.forEach(trouble => {
      this.#at(trouble.atMs, () => {
        this.#strike(trouble);
      });
    });
    day.limits.forEach(({ atMs, perSecond }) => {
      this.#at(atMs, () => {
        this.#endedAt = perSecond === Infinity ? this.#now : undefined;
      });
    });
  }

  play(): LimitDayResult {
    for (; this.#now <= DAY_MS; this.#now += STEP_MS) {
      const due = this.#events.get(this.#now) ?? [];
      this.#events.delete(this.#now);
      due.forEach(happen => {
        happen();
      });
      this.#entries.forEach(entry => {
        this.#wake(entry);
        this.#ask(entry);
      });
      if (this.#now % REPORT_PERIOD_MS < STEP_MS) {
        this.#entries.forEach(entry => {
          this.#report(entry);
        });
      }
      this.#noteReturn();
    }
    const timesOf = (arrivals: readonly Arrival[]): readonly number[] =>
      arrivals.map(({ at }) => at);
    const counted = this.#arrivals.filter(({ isTold, isExcused }) => isTold && !isExcused);
    return {
      excess: mostExcess(timesOf(counted), this.#said),
      usedPart: usedPart(timesOf(this.#arrivals), this.#day.limits, DAY_MS),
      longestReturnMs: this.#longestReturnMs,
    };
  }

  #at(ms: number, happen: () => void): void {
    const step = Math.max(this.#now + STEP_MS, Math.ceil(ms / STEP_MS) * STEP_MS);
    this.#events.set(step, [...(this.#events.get(step) ?? []), happen]);
  }

  // Something reaches an entry host, or waits until it wakes; a process that has started since does not get it.
  #reach(entry: Entry, ms: number, take: () => void): void {
    const { process } = entry;
    this.#at(ms, () => {
      if (entry.process === process) {
        entry.pending.push(take);
        this.#wake(entry);
      }
    });
  }

  #wake(entry: Entry): void {
    if (entry.suspendedUntil <= this.#now) {
      entry.pending.splice(0).forEach(take => {
        take();
      });
    }
  }

  #newEntry(name: string): Entry {
    const view: MemberView = { names: [name], since: this.#now };
    const entry = {
      name,
      isBusy: this.#random() < this.#day.busyPart,
      toldTo: new Map(),
      process: 0,
      view,
      told: NEVER_TOLD,
      suspendedUntil: 0,
      cutUntil: 0,
      excusedUntil: 0,
      pending: [],
    } as unknown as Entry;
    this.#start(entry);
    return entry;
  }

  #start(entry: Entry): void {
    entry.process += 1;
    entry.told = NEVER_TOLD;
    entry.toldTo.clear();
    entry.pending.splice(0);
    entry.limits = new NamedLimits({
      bounds: () => BOUNDS,
      reported: () => {
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
      taken: () => undefined,
    });
  }

  #boundOf({ view }: Entry, bound: SendBound | undefined): SendBound | undefined {
    if (bound === undefined || this.#way !== 'equal-parts') {
      return bound;
    }
    const perWindow = bound.limit.perWindow / view.names.length;
    return { ...bound, limit: { ...bound.limit, perWindow } };
  }

  // Whoever sees itself alone is the only owner.
  #membersOf({ name, view }: Entry): MemberView {
    return this.#way === 'equal-parts' ? { names: [name], since: 0 } : view;
  }

  #join(name: string): void {
    const names = [...(this.#entries[0]?.view.names ?? []), name];
    const learn = (entry: Entry): void => {
      if (names.length > entry.view.names.length) {
        entry.view = { names, since: this.#now };
      }
    };
    this.#entries.forEach(entry => {
      this.#at(this.#now + this.#random() * MOST_VIEW_LAG_MS, () => {
        learn(entry);
      });
    });
    const joined = this.#newEntry(name);
    joined.view = { names, since: this.#now };
    joined.excusedUntil = this.#now + EXCUSED_MS;
    this.#entries.push(joined);
  }

  #strike({ kind, forMs, part }: Trouble): void {
    const struck = this.#entries.slice(0, Math.ceil(part * this.#entries.length));
    const until = this.#now + (kind === 'restart' ? 0 : forMs);
    struck.forEach(entry => {
      entry.excusedUntil = Math.max(entry.excusedUntil, until + EXCUSED_MS);
      if (kind === 'restart') {
        this.#start(entry);
      } else if (kind === 'suspension') {
        entry.suspendedUntil = until;
      } else {
        entry.cutUntil = until;
      }
    });
  }

  // Since when the host has named limits without a break at that time.
  #begunAt(atMs: number): number {
    const passed = this.#day.limits.filter(step => step.atMs <= atMs);
    const lastFree = passed.map(({ perSecond }) => perSecond).lastIndexOf(Infinity);
    return passed[lastFree + 1]?.atMs ?? Infinity;
  }

  get #limit(): LimitStep {
    const passed = this.#day.limits.filter(({ atMs }) => atMs <= this.#now);
    return passed.at(-1) ?? UNLIMITED;
  }

  #ask(entry: Entry): void {
    const { demandPerS, inBursts } = this.#day;
    const isBurst = this.#now % BURST_PERIOD_MS < MS_PER_S / 2;
    const chance = (demandPerS * STEP_MS) / MS_PER_S;
    const comes = inBursts ? isBurst : this.#random() < chance;
    const isAwake = entry.suspendedUntil <= this.#now;
    if (entry.isBusy && isAwake && comes && entry.sends.take(HOST, this.#now)) {
      const waitsMs = this.#random() < 0.5 ? 0 : this.#random() * MOST_CONNECT_MS;
      this.#reach(entry, this.#now + waitsMs, () => {
        this.#write(entry);
      });
    }
  }

  #write(entry: Entry): void {
    if (!entry.sends.write(HOST, this.#now)) {
      return;
    }
    const writtenAt = this.#now;
    const { told } = entry;
    const isTold =
      told.begunAt === this.#begunAt(this.#now) && told.at + TOLD_AFTER_MS <= this.#now;
    this.#arrivals.push({ at: this.#now, isTold, isExcused: entry.excusedUntil > this.#now });
    // What the host says is what holds when it begins its answer; the answer itself may be late.
    const answersAt = this.#now + this.#random() * MOST_ANSWER_MS;
    const arrivesAt = answersAt + (this.#random() < 0.05 ? MOST_ANSWER_MS : 0);
    this.#at(answersAt, () => {
      const said = this.#limit;
      this.#reach(entry, arrivesAt, () => {
        this.#hear(entry, said, writtenAt);
      });
    });
  }

  #hear(entry: Entry, said: LimitStep, writtenAt: number): void {
    const { perSecond } = said;
    const isLimited = perSecond !== Infinity;
    if (said.atMs > (this.#said.at(-1)?.atMs ?? -1)) {
      this.#said.push({ atMs: said.atMs, perSecond, heardAt: this.#now });
    }
    const begunAt = this.#begunAt(said.atMs);
    if (isLimited && entry.told.begunAt !== begunAt) {
      entry.told = { begunAt, at: this.#now };
    }
    const askedAt = this.#way === 'any-answer-ends-it' ? this.#now + 1 : writtenAt;
    const notice = isLimited
      ? ({ kind: 'limited', perSecond } as const)
      : ({ kind: 'unlimited' } as const);
    entry.limits.hear(HOST, notice, askedAt);
  }

  // As `ReportExchange` does: to whom an entry host follows and who follows it, until it has arrived.
  #report(entry: Entry): void {
    const isAway = this.#way === 'no-reports' || entry.suspendedUntil > this.#now;
    if (isAway) {
      return;
    }
    this.#neighboursOf(entry).forEach(neighbour => {
      const told = entry.toldTo.get(neighbour);
      const from = told?.process === neighbour.process ? told.sequence : 0;
      const { sequence } = entry.limits;
      if (from < sequence) {
        entry.toldTo.set(neighbour, { process: neighbour.process, sequence });
        const reports: readonly LimitReport[] = entry.limits.since(from);
        this.#reach(neighbour, this.#now + this.#random() * MOST_REPORT_DELAY_MS, () => {
          if (neighbour.limits.take(reports)) {
            this.#askBack(neighbour, entry);
          }
        });
      }
    });
  }

  #askBack(asking: Entry, asked: Entry): void {
    const requestedAt = this.#now;
    this.#reach(asked, this.#now + this.#random() * MOST_REPORT_DELAY_MS, () => {
      const reports = asked.limits.since(0);
      this.#reach(asking, this.#now + this.#random() * MOST_REPORT_DELAY_MS, () => {
        asking.limits.take(reports, requestedAt);
      });
    });
  }

  // Each follows the one that is due by its place, or the first that answers.
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
    const due = this.#entries[Math.floor((place - 1) / FOLLOWERS)];
    const reaches = (other: Entry): boolean =>
      other.suspendedUntil <= this.#now &&
      other.cutUntil > this.#now === entry.cutUntil > this.#now;
    const isDue = place > 0 && due !== undefined && reaches(due);
    return isDue ? due : this.#entries.slice(0, place).find(reaches);
  }

  #noteReturn(): void {
    const isKept = this.#entries.some(
      ({ limits, excusedUntil }) =>
        excusedUntil <= this.#now && limits.boundOf(HOST, this.#now) !== undefined,
    );
    if (this.#endedAt !== undefined && isKept) {
      this.#longestReturnMs = Math.max(this.#longestReturnMs, this.#now - this.#endedAt);
    }
  }
}
