/**
 * Simulates, without I/O, one minute of many entry hosts that send to cold hosts: views of the members that
 * lag, restarts, entry hosts that are cut off. Ways to divide a cold host's rate are compared on the same
 * simulated minutes ("days").
 */
import type { SlowStart } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { MemberView } from '../peers/membership.js';
import type { RateLimit } from '../rate-limits/rate-share.js';
import { isAmongTop } from '../routing/rendezvous.js';
import { Counters } from '../server/metrics.js';
import { ColdSends } from '../slow-start/cold-sends.js';

/** When requests for cold hosts come to the entry hosts. */
export type Demand =
  /** At every moment more than may be sent. */
  | 'pressing'
  /** Nothing for a while, then at all entry hosts at the same moment. */
  | 'bursts';

/** A process that ends and starts again at once. */
export type Restart = {
  readonly atMs: number;
  /** Part of the entry hosts that restart, the first ones, 0 to 1. */
  readonly part: number;
};

/** What happens within the minute. */
export type ColdDay = {
  readonly members: number;
  readonly coldHosts: number;
  /** Times at which one more entry host registers, in milliseconds. */
  readonly joins: readonly number[];
  /** Longest time until the others know of a join, in milliseconds. */
  readonly lagMs: number;
  /** Part of the entry hosts that learn of no joins, 0 to 1. */
  readonly cutOff: number;
  readonly restarts: readonly Restart[];
  readonly demand: Demand;
};

/** What one process of an entry host may send, by one way to divide the rate. */
export type ColdSender = {
  readonly take: (host: HostEntry, now: number) => boolean;
  readonly nextRoomInMs: (host: HostEntry, now: number) => number;
};

/** Makes the sender of a process that starts; `view` tells the members that it knows at the moment. */
export type ColdWay = (
  self: string,
  limit: RateLimit,
  view: () => MemberView,
  startedAt: number,
) => ColdSender;

/** What cold hosts got. */
export type ColdDayResult = {
  /** Most requests that one cold host got in any one second. */
  readonly mostInSecond: number;
  /** Fewest requests a second that one cold host got over the minute. */
  readonly leastRate: number;
};

/** Length of a simulated day. */
export const DAY_MS = 60_000;
const STEP_MS = 10;
const BURST_PERIOD_MS = 7_000;
const MS_PER_S = 1_000;

type Process = {
  readonly name: string;
  readonly isCutOff: boolean;
  view: MemberView;
  sender: ColdSender;
  /** For each cold host, until when nothing may be sent unless something changes. */
  waits: number[];
};

/** The way of the product; `startsFull` leaves out the wait after a start and a change of the members. */
export function ownersWay(startsFull = false): ColdWay {
  return (self, limit, view, startedAt) => {
    const slowStart: SlowStart = { requestsPerSecond: limit.perWindow, coldMs: DAY_MS };
    const since = startsFull ? -Infinity : startedAt;
    return new ColdSends({
      self,
      members: startsFull ? withoutAge(view) : view,
      spellOf: () => ({ since, until: Infinity }),
      slowStartOf: () => slowStart,
      bounds: () => ({ coldOvershoot: 0, coldSlack: limit.mostPerWindow }),
      counters: new Counters(),
    });
  };
}

/** Each entry host has the same part of the rate, by the number of members that it knows. */
export const EQUAL_PARTS: ColdWay = (_self, limit, view, startedAt) =>
  pacedSender(startedAt, () => limit.perWindow / Math.max(1, view().names.length));

/** A fixed number of owners, each with a fixed share, whatever the bound and the number of members. */
export function fixedOwners(owners: number, perSecond: number): ColdWay {
  return (self, _limit, view, startedAt) =>
    pacedSender(startedAt, host =>
      isAmongTop(self, view().names, host.id, owners) ? perSecond : 0,
    );
}

/** Simulates the day with one way to divide the rate. */
export function playColdDay(day: ColdDay, limit: RateLimit, way: ColdWay): ColdDayResult {
  const names = Array.from({ length: day.members }, (_, at) => `entry-${at}`);
  const hosts = Array.from(
    { length: day.coldHosts },
    (_, at) => ({ id: `cold-${at}` }) as HostEntry,
  );
  const start = (process: Process, now: number): void => {
    process.view = { names: process.view.names, since: now };
    process.sender = way(process.name, limit, () => process.view, now);
    process.waits = hosts.map(() => 0);
  };
  const processes = names.map((name, at): Process => {
    const isCutOff = at < day.cutOff * names.length;
    const view = { names, since: 0 };
    const process = { name, isCutOff, view, sender: NEVER, waits: [] };
    start(process, 0);
    return process;
  });
  const events = eventsOf(day, names, processes, start);
  const sends = hosts.map((): number[] => []);
  for (let now = 0; now <= DAY_MS; now += STEP_MS) {
    for (let next = events[0]; next !== undefined && next.atMs <= now; next = events[0]) {
      next.happen(now);
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
    mostInSecond: Math.max(...sends.map(mostInSecond)),
    leastRate: Math.min(...sends.map(times => times.length / (DAY_MS / MS_PER_S))),
  };
}

const NEVER: ColdSender = { take: () => false, nextRoomInMs: () => Infinity };

type DayEvent = { readonly atMs: number; readonly happen: (now: number) => void };

function eventsOf(
  day: ColdDay,
  names: readonly string[],
  processes: Process[],
  start: (process: Process, now: number) => void,
): DayEvent[] {
  const joins = joinEvents(day, names, processes, start);
  const restarts = day.restarts.map(({ atMs, part }): DayEvent => ({
    atMs,
    happen: now => {
      processes.slice(0, Math.ceil(part * processes.length)).forEach(process => {
        start(process, now);
      });
    },
  }));
  return [...joins, ...restarts].sort((a, b) => a.atMs - b.atMs);
}

// Each join, and when each of the others learns of it, spread evenly over the lag.
function joinEvents(
  day: ColdDay,
  names: readonly string[],
  processes: Process[],
  start: (process: Process, now: number) => void,
): DayEvent[] {
  const events: DayEvent[] = [];
  const count = processes.length;
  [...day.joins]
    .sort((a, b) => a - b)
    .forEach((atMs, place) => {
      const known = [...names, ...day.joins.slice(0, place + 1).map((_, at) => `joined-${at}`)];
      const learn = (process: Process, now: number): void => {
        if (known.length > process.view.names.length) {
          process.view = { names: known, since: now };
          process.waits.fill(0);
        }
      };
      const name = `joined-${place}`;
      const joined: Process = {
        name,
        isCutOff: false,
        view: { names: known, since: atMs },
        sender: NEVER,
        waits: [],
      };
      events.push({
        atMs,
        happen: now => {
          start(joined, now);
          processes.push(joined);
        },
      });
      processes
        .filter(process => !process.isCutOff)
        .forEach((process, at) => {
          const delay = (day.lagMs * at) / count;
          events.push({ atMs: atMs + delay, happen: now => learn(process, now) });
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
    if ((process.waits[at] ?? 0) > now) {
      return;
    }
    while (process.sender.take(host, now)) {
      sends[at]?.push(now);
    }
    process.waits[at] = now + process.sender.nextRoomInMs(host, now);
  });
}

// Sends exactly a second apart count as within one second.
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

function pacedSender(startedAt: number, perSecondOf: (host: HostEntry) => number): ColdSender {
  const lastAt = new Map<string, number>();
  const nextRoomInMs = (host: HostEntry, now: number): number => {
    const perSecond = perSecondOf(host);
    const nextAt = (lastAt.get(host.id) ?? startedAt) + (1.05 * MS_PER_S) / perSecond;
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

// The same view object while the members are the same, as `ColdSends` expects, but as if it were old.
function withoutAge(view: () => MemberView): () => MemberView {
  let before = view();
  let ageless: MemberView = { ...before, since: -Infinity };
  return () => {
    if (view() !== before) {
      before = view();
      ageless = { ...before, since: -Infinity };
    }
    return ageless;
  };
}
