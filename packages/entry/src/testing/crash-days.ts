/**
 * A model of some minutes in which hosts end, for tests of what is concluded from that: requests that run and
 * are sent again, hosts lost one by one, by racks and by requests that crash them, and links that break.
 */
import { CrashEvidence } from '../quarantine/crash-evidence.js';

/** What happens. */
export type CrashDay = {
  /** Hosts that take requests, in racks of four. */
  readonly hosts: number;
  /** Harmless requests a second. */
  readonly requestsPerS: number;
  /** Requests that crash each host that runs them; each is sent again as soon as the last send has ended. */
  readonly crashing: number;
  /** Part of the harmless requests that are alike, as calls without a body are, 0 to 1. */
  readonly alikePart: number;
  /** Times at which a rack goes down, over so many milliseconds. */
  readonly rackLosses: readonly { readonly atMs: number; readonly overMs: number }[];
  /** Times at which all hosts lose power at once. */
  readonly powerLosses: readonly number[];
  /** Times at which all links to a rack break while its hosts live on. */
  readonly cuts: readonly number[];
  /** Mean time between losses of single hosts, in milliseconds. */
  readonly lossEveryMs: number;
};

/** How it went. */
export type CrashDayResult = {
  /** Hosts that have ended under each crashing request. */
  readonly endedBy: readonly number[];
  /** Harmless requests that were quarantined. */
  readonly quarantined: number;
  /** Whether the request that many calls have in common was quarantined. */
  readonly isAlikeQuarantined: boolean;
  /** Harmless requests that were sent. */
  readonly harmless: number;
};

const DAY_MS = 60_000;
const RACK = 4;
const BACK_AFTER_MS = 3_000;
const CUT_MS = 2_000;
/** Sends of one request: the route lets each run at two hosts, and its caller sends it twice. */
const HARMLESS_SENDS = 2;
const RUNS_PER_SEND = 2;
const CRASHING_SENDS = 60;
/** Time from the loss of a run until all entry hosts have the report, in milliseconds. */
const MOST_REPORT_MS = 100;

type Run = { readonly request: ModelRequest; readonly sendRuns: number; readonly sentAt: number };
type ModelRequest = {
  readonly fingerprint: string;
  readonly crashes: boolean;
  sendsLeft: number;
  ended: number;
  isQuarantined: boolean;
};
type ModelHost = { incarnation: number; upAt: number; readonly runs: Set<Run> };
type Event = { readonly at: number; readonly call: () => void };

/** Plays a day; `random` gives numbers in [0, 1). */
export function playCrashDay(day: CrashDay, random: () => number): CrashDayResult {
  return new CrashDayModel(day, random).play();
}

class CrashDayModel {
  readonly #day: CrashDay;
  readonly #random: () => number;
  readonly #hosts: readonly ModelHost[];
  readonly #events: Event[] = [];
  readonly #requests: ModelRequest[] = [];
  readonly #alike: ModelRequest;
  readonly #byFingerprint = new Map<string, ModelRequest>();
  readonly #evidence = new CrashEvidence(() => this.#now);
  #now = 0;

  constructor(day: CrashDay, random: () => number) {
    this.#day = day;
    this.#random = random;
    this.#hosts = Array.from({ length: day.hosts }, () => ({
      incarnation: 0,
      upAt: 0,
      runs: new Set(),
    }));
    this.#alike = this.#newRequest(false, Infinity);
  }

  play(): CrashDayResult {
    this.#scheduleRequests();
    this.#scheduleLosses();
    this.#runEvents();
    const harmless = this.#requests.filter(request => !request.crashes);
    return {
      endedBy: this.#requests.filter(({ crashes }) => crashes).map(({ ended }) => ended),
      quarantined: harmless.filter(({ isQuarantined }) => isQuarantined).length,
      isAlikeQuarantined: this.#alike.isQuarantined,
      harmless: harmless.length,
    };
  }

  #scheduleRequests(): void {
    const { requestsPerS, crashing } = this.#day;
    for (let at = 0; at < DAY_MS; at += 1_000 / requestsPerS) {
      this.#at(at, () => {
        this.#sendHarmless();
      });
    }
    for (let count = 0; count < crashing; count++) {
      const request = this.#newRequest(true, CRASHING_SENDS);
      this.#at(this.#between(1_000, 20_000), () => {
        this.#send(request);
      });
    }
  }

  #scheduleLosses(): void {
    const { rackLosses, powerLosses, cuts, lossEveryMs } = this.#day;
    rackLosses.forEach(({ atMs, overMs }) => {
      this.#at(atMs, () => {
        this.#rack().forEach(host => {
          this.#at(this.#now + this.#random() * overMs, () => {
            this.#end(host);
          });
        });
      });
    });
    powerLosses.forEach(at => {
      this.#at(at, () => {
        this.#hosts.forEach(host => {
          this.#end(host);
        });
      });
    });
    cuts.forEach(at => {
      this.#at(at, () => {
        this.#rack().forEach(host => {
          this.#cut(host);
        });
      });
    });
    for (let at = lossEveryMs; at < DAY_MS; at += 2 * this.#random() * lossEveryMs) {
      this.#at(at, () => {
        this.#end(this.#pick(this.#hosts));
      });
    }
  }

  #runEvents(): void {
    for (;;) {
      const next = this.#events.shift();
      if (next === undefined) {
        return;
      }
      this.#now = next.at;
      next.call();
    }
  }

  #at(at: number, call: () => void): void {
    const index = this.#events.findIndex(event => event.at > at);
    this.#events.splice(index < 0 ? this.#events.length : index, 0, { at, call });
  }

  #newRequest(crashes: boolean, sendsLeft: number): ModelRequest {
    const fingerprint = `f${this.#requests.length}`;
    const request = { fingerprint, crashes, sendsLeft, ended: 0, isQuarantined: false };
    this.#requests.push(request);
    this.#byFingerprint.set(fingerprint, request);
    return request;
  }

  #sendHarmless(): void {
    const isAlike = this.#random() < this.#day.alikePart;
    this.#send(isAlike ? this.#alike : this.#newRequest(false, HARMLESS_SENDS));
  }

  #send(request: ModelRequest): void {
    if (request.sendsLeft > 0 && !request.isQuarantined) {
      request.sendsLeft -= 1;
      this.#run({ request, sendRuns: 1, sentAt: this.#now });
    }
  }

  #run(run: Run): void {
    const up = this.#hosts.filter(host => host.upAt <= this.#now);
    if (up.length === 0) {
      return;
    }
    const host = this.#pick(up);
    host.runs.add(run);
    const lastsMs = run.request.crashes ? this.#between(40, 270) : this.#between(200, 1_500);
    this.#at(this.#now + lastsMs, () => {
      if (host.runs.has(run)) {
        this.#endRun(host, run);
      }
    });
  }

  #endRun(host: ModelHost, run: Run): void {
    const { request } = run;
    if (request.crashes) {
      request.ended += 1;
      this.#end(host);
      return;
    }
    host.runs.delete(run);
    if (this.#evidence.isSuspect(request.fingerprint)) {
      this.#evidence.note({ kind: 'completed', fingerprint: request.fingerprint, ageMs: 0 });
    }
  }

  #end(host: ModelHost): void {
    if (host.upAt > this.#now) {
      return;
    }
    const incarnation = `${this.#hosts.indexOf(host)}@${host.incarnation}`;
    host.incarnation += 1;
    host.upAt = this.#now + BACK_AFTER_MS;
    this.#loseRuns(host, incarnation);
  }

  // Its runs are lost and no new connection can be made: an entry host can not tell this from the host's end.
  #cut(host: ModelHost): void {
    host.upAt = Math.max(host.upAt, this.#now + CUT_MS);
    this.#loseRuns(host, `${this.#hosts.indexOf(host)}@${host.incarnation}`);
  }

  #loseRuns(host: ModelHost, incarnation: string): void {
    const place = `rack-${Math.floor(this.#hosts.indexOf(host) / RACK)}`;
    for (const run of host.runs) {
      const lostAt = this.#now;
      this.#at(lostAt + this.#random() * MOST_REPORT_MS, () => {
        this.#report(run, incarnation, place, lostAt);
      });
      this.#sendOn(run);
    }
    host.runs.clear();
  }

  #sendOn({ request, sendRuns }: Run): void {
    if (sendRuns < RUNS_PER_SEND && !request.isQuarantined) {
      this.#run({ request, sendRuns: sendRuns + 1, sentAt: this.#now });
      return;
    }
    this.#at(this.#now + this.#between(50, 500), () => {
      this.#send(request);
    });
  }

  #report(run: Run, host: string, place: string, lostAt: number): void {
    const { fingerprint } = run.request;
    const times = { ranMs: lostAt - run.sentAt, ageMs: this.#now - lostAt };
    const origin = { route: 'r', workspace: 'w' };
    this.#evidence.note({
      kind: 'crashed',
      fingerprint,
      host: { id: host },
      place,
      ...times,
      ...origin,
    });
    this.#at(this.#now + (this.#evidence.evaluateInMs() ?? 0) + 1, () => {
      this.#evidence.evaluate().forEach(verdict => {
        const quarantined = this.#byFingerprint.get(verdict.fingerprint);
        if (quarantined !== undefined) {
          quarantined.isQuarantined = true;
        }
      });
    });
  }

  #rack(): readonly ModelHost[] {
    const first = Math.floor(this.#random() * (this.#hosts.length / RACK)) * RACK;
    return this.#hosts.slice(first, first + RACK);
  }

  #between(least: number, most: number): number {
    return least + this.#random() * (most - least);
  }

  #pick<T>(list: readonly T[]): T {
    return list[Math.floor(this.#random() * list.length)] as T;
  }
}
