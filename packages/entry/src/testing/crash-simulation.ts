/**
 * Simulates a minute in which hosts end, for tests of the crash evidence. Requests run and are retried; hosts are
 * lost one by one, by rack and by requests that crash them; links break.
 */
import { CrashEvidence } from '../quarantine/crash-evidence.js';
import type { CauseKind } from '../quarantine/request-fingerprint.js';

/** The prompts of a simulation: a path through a tree of parts, and a last part that each request has for itself. */
export type PromptScenario = {
  /** Number of parts on each level of the tree below one part; the first number is that of first parts. */
  readonly branches: readonly number[];
  /** Levels of the parts that crash hosts, one for each such part; 0: the first part of the prompts. */
  readonly crashingLevels: readonly number[];
  /** Requests per second with each crashing part; no two are equal. */
  readonly crashingPerS: number;
};

/** The load and the faults of a simulation. */
export type CrashScenario = {
  /** Hosts that take requests, in racks of four. */
  readonly hosts: number;
  /** Harmless requests per second. */
  readonly requestsPerS: number;
  /** Number of requests that crash each host that runs them; each is sent again after its last send has ended. */
  readonly crashing: number;
  /** Share of the harmless requests that have the same content, as calls without a body do, 0 to 1. */
  readonly alikePart: number;
  /** Rack failures: the time of each, and the period over which the hosts of the rack end, in milliseconds. */
  readonly rackLosses: readonly { readonly atMs: number; readonly overMs: number }[];
  /** Times at which all hosts lose power at once, in milliseconds. */
  readonly powerLosses: readonly number[];
  /** Times at which all links to a rack break while its hosts keep running, in milliseconds. */
  readonly cuts: readonly number[];
  /** Mean time between losses of single hosts, in milliseconds. */
  readonly lossEveryMs: number;
  /** Undefined: requests name no parts. */
  readonly prompts?: PromptScenario;
};

/** The outcome of a simulation. */
export type CrashScenarioResult = {
  /** Number of hosts that each crashing request has ended. */
  readonly endedBy: readonly number[];
  /** Number of harmless requests that were quarantined. */
  readonly quarantined: number;
  /** Whether the request with the shared content was quarantined. */
  readonly isAlikeQuarantined: boolean;
  /** Number of harmless requests that were sent. */
  readonly harmless: number;
  /** Number of hosts that requests with each crashing part have ended. */
  readonly endedByParts: readonly number[];
  /** Number of harmless parts that were quarantined, and the most harmless requests that contain one of them. */
  readonly quarantinedParts: number;
  readonly mostHarmlessOfPart: number;
};

/** Length of a simulation. */
const DURATION_MS = 60_000;
/** Hosts in a rack. */
const RACK_SIZE = 4;
/** Time from the end of a host until it runs again. */
const RESTART_MS = 3_000;
/** Time for which broken links last. */
const LINK_LOSS_MS = 2_000;
/** The caller sends a request twice, and the route lets each send run at two hosts. */
const HARMLESS_SENDS = 2;
const RUNS_PER_SEND = 2;
/** Time to the first event of an answer, as a share of the run. */
const FIRST_EVENT_SHARE = 0.2;
/** Sends of one crashing request. */
const CRASHING_SENDS = 60;
/** Maximum time from the loss of a run until all entry hosts have the report. */
const MAX_REPORT_DELAY_MS = 100;

const NO_PROMPTS: PromptScenario = { branches: [], crashingLevels: [], crashingPerS: 1 };
/** Begins the ids of parts that crash hosts. */
const CRASHING_PREFIX = 'crashing-';

/** One run of a request at a host; `sendRuns` counts the runs of the same send up to this one. */
type SimulatedRun = {
  readonly request: SimulatedRequest;
  readonly sendRuns: number;
  readonly sentAt: number;
  /** Time from the send to the first event of the answer, in milliseconds; crashing requests have none. */
  readonly firstEventMs: number;
};
/** A simulated request; `ended` counts the hosts that it has ended. */
type SimulatedRequest = {
  readonly fingerprint: string;
  readonly parts: readonly string[];
  readonly crashes: boolean;
  sendsLeft: number;
  ended: number;
  isQuarantined: boolean;
};
type SimulatedHost = { incarnation: number; upAt: number; readonly runs: Set<SimulatedRun> };
type SimulatedEvent = { readonly at: number; readonly call: () => void };

function crashingPart(index: number): string {
  return `${CRASHING_PREFIX}${index}`;
}

/** Runs a simulation; `random` returns numbers in [0, 1). */
export function simulateCrashes(day: CrashScenario, random: () => number): CrashScenarioResult {
  return new CrashSimulation(day, random).play();
}

class CrashSimulation {
  readonly #day: CrashScenario;
  readonly #random: () => number;
  readonly #hosts: readonly SimulatedHost[];
  readonly #events: SimulatedEvent[] = [];
  readonly #requests: SimulatedRequest[] = [];
  readonly #sharedRequest: SimulatedRequest;
  readonly #byFingerprint = new Map<string, SimulatedRequest>();
  readonly #evidence = new CrashEvidence(() => this.#now);
  readonly #quarantinedParts = new Set<string>();
  #now = 0;

  constructor(day: CrashScenario, random: () => number) {
    this.#day = day;
    this.#random = random;
    this.#hosts = Array.from({ length: day.hosts }, () => ({
      incarnation: 0,
      upAt: 0,
      runs: new Set(),
    }));
    this.#sharedRequest = this.#newRequest(false, Infinity);
  }

  play(): CrashScenarioResult {
    this.#scheduleRequests();
    this.#scheduleLosses();
    this.#scheduleCrashingParts();
    this.#runEvents();
    const harmless = this.#requests.filter(request => !request.crashes);
    return {
      ...this.#resultOfParts(harmless),
      endedBy: this.#requests.filter(({ crashes }) => crashes).map(({ ended }) => ended),
      quarantined: harmless.filter(({ isQuarantined }) => isQuarantined).length,
      isAlikeQuarantined: this.#sharedRequest.isQuarantined,
      harmless: harmless.length,
    };
  }

  #scheduleRequests(): void {
    const { requestsPerS, crashing } = this.#day;
    for (let at = 0; at < DURATION_MS; at += 1_000 / requestsPerS) {
      this.#schedule(at, () => {
        this.#sendHarmless();
      });
    }
    for (let count = 0; count < crashing; count++) {
      const request = this.#newRequest(true, CRASHING_SENDS);
      this.#schedule(this.#between(1_000, 20_000), () => {
        this.#send(request);
      });
    }
  }

  #scheduleCrashingParts(): void {
    const { crashingLevels, crashingPerS } = this.#day.prompts ?? NO_PROMPTS;
    crashingLevels.forEach((level, index) => {
      const begin = this.#between(1_000, 20_000);
      for (let at = begin; at < DURATION_MS; at += 1_000 / crashingPerS) {
        this.#schedule(at, () => {
          const path = this.#drawPath();
          const parts = [...path.slice(0, level), crashingPart(index), ...path.slice(level + 1)];
          this.#send(this.#newRequest(true, HARMLESS_SENDS, parts));
        });
      }
    });
  }

  // Parts of one level have the same ids below all parts of the level before with the same index.
  #drawPath(): readonly string[] {
    const { branches } = this.#day.prompts ?? NO_PROMPTS;
    return branches.map((count, level) => `p${level}-${Math.floor(this.#random() * count)}`);
  }

  #resultOfParts(
    harmless: readonly SimulatedRequest[],
  ): Pick<CrashScenarioResult, 'endedByParts' | 'quarantinedParts' | 'mostHarmlessOfPart'> {
    const { crashingLevels } = this.#day.prompts ?? NO_PROMPTS;
    const withPart = (part: string): readonly SimulatedRequest[] =>
      this.#requests.filter(({ parts }) => parts.includes(part));
    const endedByParts = crashingLevels.map((_level, index) =>
      withPart(crashingPart(index)).reduce((sum, { ended }) => sum + ended, 0),
    );
    const wrong = [...this.#quarantinedParts].filter(part => !part.startsWith(CRASHING_PREFIX));
    const counts = wrong.map(part => harmless.filter(({ parts }) => parts.includes(part)).length);
    return {
      endedByParts,
      quarantinedParts: wrong.length,
      mostHarmlessOfPart: Math.max(0, ...counts),
    };
  }

  #scheduleLosses(): void {
    const { rackLosses, powerLosses, cuts, lossEveryMs } = this.#day;
    rackLosses.forEach(({ atMs, overMs }) => {
      this.#schedule(atMs, () => {
        this.#rack().forEach(host => {
          this.#schedule(this.#now + this.#random() * overMs, () => {
            this.#end(host);
          });
        });
      });
    });
    powerLosses.forEach(at => {
      this.#schedule(at, () => {
        this.#hosts.forEach(host => {
          this.#end(host);
        });
      });
    });
    cuts.forEach(at => {
      this.#schedule(at, () => {
        this.#rack().forEach(host => {
          this.#breakLinks(host);
        });
      });
    });
    for (let at = lossEveryMs; at < DURATION_MS; at += 2 * this.#random() * lossEveryMs) {
      this.#schedule(at, () => {
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

  #schedule(at: number, call: () => void): void {
    const index = this.#events.findIndex(event => event.at > at);
    this.#events.splice(index < 0 ? this.#events.length : index, 0, { at, call });
  }

  #newRequest(
    crashes: boolean,
    sendsLeft: number,
    parts: readonly string[] = [],
  ): SimulatedRequest {
    const fingerprint = `f${this.#requests.length}`;
    const request = { fingerprint, parts, crashes, sendsLeft, ended: 0, isQuarantined: false };
    this.#requests.push(request);
    this.#byFingerprint.set(fingerprint, request);
    return request;
  }

  #sendHarmless(): void {
    const isAlike = this.#random() < this.#day.alikePart;
    this.#send(
      isAlike ? this.#sharedRequest : this.#newRequest(false, HARMLESS_SENDS, this.#drawPath()),
    );
  }

  #send(request: SimulatedRequest): void {
    if (request.sendsLeft > 0 && !this.#isQuarantined(request)) {
      request.sendsLeft -= 1;
      this.#run(request, 1);
    }
  }

  #run(request: SimulatedRequest, sendRuns: number): void {
    const up = this.#hosts.filter(host => host.upAt <= this.#now);
    if (up.length === 0) {
      return;
    }
    const host = this.#pick(up);
    const lastsMs = request.crashes ? this.#between(40, 270) : this.#between(200, 1_500);
    const firstEventMs = lastsMs * FIRST_EVENT_SHARE;
    const run: SimulatedRun = { request, sendRuns, sentAt: this.#now, firstEventMs };
    host.runs.add(run);
    this.#schedule(this.#now + lastsMs, () => {
      if (host.runs.has(run)) {
        this.#endRun(host, run);
      }
    });
  }

  #endRun(host: SimulatedHost, run: SimulatedRun): void {
    const { request } = run;
    if (request.crashes) {
      request.ended += 1;
      this.#end(host);
      return;
    }
    host.runs.delete(run);
    this.#noteCompleted(request.fingerprint, 'request');
    request.parts.forEach(part => {
      this.#noteCompleted(part, 'prompt-part');
    });
  }

  #noteCompleted(fingerprint: string, cause: CauseKind): void {
    if (this.#evidence.isSuspect(fingerprint)) {
      this.#evidence.note({ kind: 'completed', fingerprint, cause, ageMs: 0 });
    }
  }

  #isQuarantined({ isQuarantined, parts }: SimulatedRequest): boolean {
    return isQuarantined || parts.some(part => this.#quarantinedParts.has(part));
  }

  #end(host: SimulatedHost): void {
    if (host.upAt > this.#now) {
      return;
    }
    const incarnation = `${this.#hosts.indexOf(host)}@${host.incarnation}`;
    host.incarnation += 1;
    host.upAt = this.#now + RESTART_MS;
    this.#loseRuns(host, incarnation);
  }

  // Runs are lost and new connections fail: to an entry host this looks the same as the end of the host.
  #breakLinks(host: SimulatedHost): void {
    host.upAt = Math.max(host.upAt, this.#now + LINK_LOSS_MS);
    this.#loseRuns(host, `${this.#hosts.indexOf(host)}@${host.incarnation}`);
  }

  #loseRuns(host: SimulatedHost, incarnation: string): void {
    const place = `rack-${Math.floor(this.#hosts.indexOf(host) / RACK_SIZE)}`;
    for (const run of host.runs) {
      const lostAt = this.#now;
      this.#schedule(lostAt + this.#random() * MAX_REPORT_DELAY_MS, () => {
        this.#report(run, incarnation, place, lostAt);
      });
      this.#retry(run);
    }
    host.runs.clear();
  }

  #retry({ request, sendRuns }: SimulatedRun): void {
    if (sendRuns < RUNS_PER_SEND && !this.#isQuarantined(request)) {
      this.#run(request, sendRuns + 1);
      return;
    }
    this.#schedule(this.#now + this.#between(50, 500), () => {
      this.#send(request);
    });
  }

  #report(run: SimulatedRun, host: string, place: string, lostAt: number): void {
    const { fingerprint, parts } = run.request;
    const ranMs = lostAt - run.sentAt;
    const begun = !run.request.crashes && ranMs >= run.firstEventMs;
    const times = { begun, ranMs, ageMs: this.#now - lostAt };
    const origin = { route: 'r', workspace: 'w' };
    this.#evidence.note({
      kind: 'crashed',
      fingerprint,
      parts,
      host: { id: host },
      place,
      ...times,
      ...origin,
    });
    this.#schedule(this.#now + (this.#evidence.evaluateInMs() ?? 0) + 1, () => {
      this.#evidence.evaluate().forEach(verdict => {
        const quarantined = this.#byFingerprint.get(verdict.fingerprint);
        if (quarantined !== undefined) {
          quarantined.isQuarantined = true;
        } else {
          this.#quarantinedParts.add(verdict.fingerprint);
        }
      });
    });
  }

  #rack(): readonly SimulatedHost[] {
    const first = Math.floor(this.#random() * (this.#hosts.length / RACK_SIZE)) * RACK_SIZE;
    return this.#hosts.slice(first, first + RACK_SIZE);
  }

  #between(min: number, max: number): number {
    return min + this.#random() * (max - min);
  }

  #pick<T>(list: readonly T[]): T {
    return list[Math.floor(this.#random() * list.length)] as T;
  }
}
