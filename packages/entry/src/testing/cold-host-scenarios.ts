/**
 * Simulates, without I/O, one minute in which many entry hosts send requests to cold hosts, with delayed membership
 * views, restarts and entry hosts that are cut off. Ways to divide a cold host's rate among entry hosts are compared
 * in the same scenarios.
 */
import type { SlowStart } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { MemberView } from '../peers/membership.js';
import type { RateLimit } from '../rate-limits/rate-share.js';
import { isAmongTop } from '../routing/rendezvous.js';
import { Counters } from '../server/metrics.js';
import { ColdSends } from '../slow-start/cold-sends.js';

/** When requests for cold hosts arrive at the entry hosts. */
export type Demand =
  /** More requests at all times than may be sent. */
  | 'pressing'
  /** Pauses, each followed by requests at all entry hosts at the same time. */
  | 'bursts';

/** Processes of entry hosts that end and start again at once. */
export type Restart = {
  /** Time of the restart, in milliseconds. */
  readonly atMs: number;
  /** Fraction of the entry hosts that restart, 0 to 1; the first ones in the list. */
  readonly part: number;
};

/** The scenario of one simulated minute. */
export type ColdHostScenario = {
  /** Entry hosts at the start. */
  readonly members: number;
  readonly coldHosts: number;
  /** Times at which another entry host registers, in milliseconds. */
  readonly joins: readonly number[];
  /** Longest time until the other entry hosts learn of a join, in milliseconds. */
  readonly lagMs: number;
  /** Fraction of the entry hosts that learn of no joins, 0 to 1. */
  readonly cutOff: number;
  readonly restarts: readonly Restart[];
  readonly demand: Demand;
};

/** Decides when one entry-host process may send to cold hosts, by one way to divide the rate. */
export type ColdSender = {
  readonly take: (host: HostEntry, now: number) => boolean;
  readonly nextRoomInMs: (host: HostEntry, now: number) => number;
};

/** Creates the sender of a process that starts; `view` returns the members that the process knows at the time. */
export type RateDivision = (
  self: string,
  limit: RateLimit,
  view: () => MemberView,
  startedAt: number,
) => ColdSender;

/** Rates at which cold hosts received requests. */
export type ColdHostRates = {
  /** Most requests that one cold host received within any one second. */
  readonly maxPerSecond: number;
  /** Lowest average rate at which one cold host received requests over the minute, per second. */
  readonly minRate: number;
};

/** Length of a scenario, in milliseconds. */
export const SCENARIO_MS = 60_000;
/** Time between two steps of the simulation, in milliseconds. */
const STEP_MS = 10;
/** Time from the start of one burst to the next, in milliseconds. */
const BURST_PERIOD_MS = 7_000;
/** Factor by which a paced sender lengthens the interval between requests that its rate gives. */
const PACING_FACTOR = 1.05;
const MS_PER_S = 1_000;

type Process = {
  readonly name: string;
  readonly isCutOff: boolean;
  view: MemberView;
  sender: ColdSender;
  /** For each cold host, the time in milliseconds before which no request may be sent unless the view changes. */
  waitsUntil: number[];
};

/** The way that entry hosts use; `startsFull` omits the wait after a start and after a change of the members. */
export function divisionByOwners(startsFull = false): RateDivision {
  return (self, limit, view, startedAt) => {
    const slowStart: SlowStart = { requestsPerSecond: limit.perWindow, coldMs: SCENARIO_MS };
    const since = startsFull ? -Infinity : startedAt;
    return new ColdSends({
      self,
      members: startsFull ? withoutAge(view) : view,
      coldPeriodOf: () => ({ since, until: Infinity }),
      slowStartOf: () => slowStart,
      bounds: () => ({ coldOvershoot: 0, coldSlack: limit.mostPerWindow }),
      counters: new Counters(),
    });
  };
}

/** Gives each entry host an equal share of the rate, by the number of members that it knows. */
export const EQUAL_SHARES: RateDivision = (_self, limit, view, startedAt) =>
  pacedSender(startedAt, () => limit.perWindow / Math.max(1, view().names.length));

/** Gives a fixed rate to each of a fixed number of owners, regardless of the bound and the number of members. */
export function fixedOwners(owners: number, perSecond: number): RateDivision {
  return (self, _limit, view, startedAt) =>
    pacedSender(startedAt, host =>
      isAmongTop(self, view().names, host.id, owners) ? perSecond : 0,
    );
}

/** Simulates a scenario with one way to divide the rate. */
export function simulateColdHosts(
  day: ColdHostScenario,
  limit: RateLimit,
  way: RateDivision,
): ColdHostRates {
  const names = Array.from({ length: day.members }, (_, at) => `entry-${at}`);
  const hosts = Array.from(
    { length: day.coldHosts },
    (_, at) => ({ id: `cold-${at}` }) as HostEntry,
  );
  const start = (process: Process, now: number): void => {
    process.view = { names: process.view.names, since: now };
    process.sender = way(process.name, limit, () => process.view, now);
    process.waitsUntil = hosts.map(() => 0);
  };
  const processes = names.map((name, at): Process => {
    const isCutOff = at < day.cutOff * names.length;
    const view = { names, since: 0 };
    const process = { name, isCutOff, view, sender: SENDS_NOTHING, waitsUntil: [] };
    start(process, 0);
    return process;
  });
  const events = eventsOf(day, names, processes, start);
  const sends = hosts.map((): number[] => []);
  for (let now = 0; now <= SCENARIO_MS; now += STEP_MS) {
    for (let next = events[0]; next !== undefined && next.atMs <= now; next = events[0]) {
      next.apply(now);
      events.shift();
    }
    if (day.demand === 'bursts' && now % BURST_PERIOD_MS > MS_PER_S / 2) {
      continue;
    }
    processes.forEach(process => {
      sendAll(process, hosts, sends, now);
    });
  }
  return {
    maxPerSecond: Math.max(...sends.map(mostInSecond)),
    minRate: Math.min(...sends.map(times => times.length / (SCENARIO_MS / MS_PER_S))),
  };
}

const SENDS_NOTHING: ColdSender = { take: () => false, nextRoomInMs: () => Infinity };

type ScenarioEvent = { readonly atMs: number; readonly apply: (now: number) => void };

function eventsOf(
  day: ColdHostScenario,
  names: readonly string[],
  processes: Process[],
  start: (process: Process, now: number) => void,
): ScenarioEvent[] {
  const joins = joinEvents(day, names, processes, start);
  const restarts = day.restarts.map(({ atMs, part }): ScenarioEvent => ({
    atMs,
    apply: now => {
      processes.slice(0, Math.ceil(part * processes.length)).forEach(process => {
        start(process, now);
      });
    },
  }));
  return [...joins, ...restarts].sort((a, b) => a.atMs - b.atMs);
}

// Creates an event for each join, and one for each process that learns of it, spread evenly over the lag.
function joinEvents(
  day: ColdHostScenario,
  names: readonly string[],
  processes: Process[],
  start: (process: Process, now: number) => void,
): ScenarioEvent[] {
  const events: ScenarioEvent[] = [];
  const count = processes.length;
  [...day.joins]
    .sort((a, b) => a - b)
    .forEach((atMs, place) => {
      const known = [...names, ...day.joins.slice(0, place + 1).map((_, at) => `joined-${at}`)];
      const learn = (process: Process, now: number): void => {
        if (known.length > process.view.names.length) {
          process.view = { names: known, since: now };
          process.waitsUntil.fill(0);
        }
      };
      const name = `joined-${place}`;
      const joined: Process = {
        name,
        isCutOff: false,
        view: { names: known, since: atMs },
        sender: SENDS_NOTHING,
        waitsUntil: [],
      };
      events.push({
        atMs,
        apply: now => {
          start(joined, now);
          processes.push(joined);
        },
      });
      processes
        .filter(process => !process.isCutOff)
        .forEach((process, at) => {
          const delay = (day.lagMs * at) / count;
          events.push({ atMs: atMs + delay, apply: now => learn(process, now) });
        });
    });
  return events;
}

function sendAll(
  process: Process,
  hosts: readonly HostEntry[],
  sends: readonly number[][],
  now: number,
): void {
  hosts.forEach((host, at) => {
    if ((process.waitsUntil[at] ?? 0) > now) {
      return;
    }
    while (process.sender.take(host, now)) {
      sends[at]?.push(now);
    }
    process.waitsUntil[at] = now + process.sender.nextRoomInMs(host, now);
  });
}

// Requests exactly one second apart count as within one second.
function mostInSecond(times: readonly number[]): number {
  let most = 0;
  let first = 0;
  times.forEach((time, at) => {
    while ((times[first] ?? time) < time - MS_PER_S) {
      first += 1;
    }
    most = Math.max(most, at - first + 1);
  });
  return most;
}

// A sender that paces requests evenly at a rate per host.
function pacedSender(startedAt: number, perSecondOf: (host: HostEntry) => number): ColdSender {
  const lastAt = new Map<string, number>();
  const nextRoomInMs = (host: HostEntry, now: number): number => {
    const perSecond = perSecondOf(host);
    const nextAt = (lastAt.get(host.id) ?? startedAt) + (PACING_FACTOR * MS_PER_S) / perSecond;
    return perSecond > 0 ? Math.max(0, nextAt - now) : Infinity;
  };
  const take = (host: HostEntry, now: number): boolean => {
    const hasRoom = nextRoomInMs(host, now) === 0;
    if (hasRoom) {
      lastAt.set(host.id, now);
    }
    return hasRoom;
  };
  return { take, nextRoomInMs };
}

// Returns views that appear to be old. `ColdSends` expects the same view object while the members do not change.
function withoutAge(view: () => MemberView): () => MemberView {
  let lastView = view();
  let agelessView: MemberView = { ...lastView, since: -Infinity };
  return () => {
    if (view() !== lastView) {
      lastView = view();
      agelessView = { ...lastView, since: -Infinity };
    }
    return agelessView;
  };
}
