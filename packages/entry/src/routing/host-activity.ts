/** What this entry host has seen of each upstream host through its own requests. */
import type { HostEntry } from '../hosts/host-entry.js';
import { monotonicMs } from '../server/time.js';
import { ConnectTimes } from './connect-times.js';
import { DomainReach } from './domain-reach.js';

/** Weight of the newest value in the moving averages. */
const SMOOTHING = 0.25;
/** Age at which a moving average says nothing any more, in milliseconds. */
const FIRST_VALID_MS = 1_500;
const FAILURE_COOLDOWN_MS = 1_500;
/**
 * Time for which a host is avoided whose process is known to have ended, in milliseconds: a little more than until
 * its entry goes. Without it each entry host finds out by requests of its own, up to twelve hosts in a row.
 */
const ENDED_AVOID_MS = 4_500;
const FORGET_MS = 120_000;

/** One host as seen by this entry host. */
export type HostActivity = {
  /** Own requests at the host. */
  inFlight: number;
  /** Those of them that have brought something. */
  begun: number;
  /** Moving average of the time to the first event or answer, in milliseconds. */
  firstMs: number | undefined;
  /** When `firstMs` was last fed (monotonic milliseconds). */
  firstAt: number;
  /** Values behind `firstMs`, of which older ones count less. */
  firstWeight: number;
  /** When bytes last came from the host (monotonic milliseconds). */
  lastProgressAt: number;
  /** Until when new requests avoid the host. */
  avoidUntil: number;
  consecutiveFailures: number;
};

/** Usual requests that the few of one host are weighed against. */
const PRIOR_REQUESTS = 4;
/** Weight of the newest value in the usual times of a kind of request. */
const TYPICAL_SMOOTHING = 0.05;
/** Values from which the usual time of a kind counts as known. */
const TYPICAL_LEAST = 10;
/** Factor over the usual time to which a value is cut, so that a lost group does not become usual. */
const TYPICAL_CUT = 3;

type Typical = { ms: number; count: number };

/** Requests whose times can be compared: those of one model, or of one plain service. */
export function kindOf(service: string, model: string | undefined): string {
  return `${service}/${model ?? ''}`;
}

/** The activity of all hosts, by id. */
export class HostActivities {
  /** Failure domains as seen by this entry host. */
  readonly reach = new DomainReach();
  /** Connect times of hosts, by failure domain. */
  readonly connects = new ConnectTimes();
  readonly #hosts = new Map<string, HostActivity>();
  readonly #typical = new Map<string, Typical>();

  /** Activity of a host, made on first use. */
  of(id: string): HostActivity {
    let activity = this.#hosts.get(id);
    if (activity === undefined) {
      activity = {
        inFlight: 0,
        begun: 0,
        firstMs: undefined,
        firstAt: -Infinity,
        firstWeight: 0,
        lastProgressAt: -Infinity,
        avoidUntil: -Infinity,
        consecutiveFailures: 0,
      };
      this.#hosts.set(id, activity);
    }
    return activity;
  }

  /** A request has gone to the host. */
  enter(id: string): void {
    this.of(id).inFlight += 1;
  }

  /** A request at the host has brought its first bytes. */
  begin(id: string): void {
    this.of(id).begun += 1;
  }

  /** A request at the host is over. */
  leave(id: string, begun: boolean): void {
    const activity = this.of(id);
    activity.inFlight = Math.max(0, activity.inFlight - 1);
    activity.begun = Math.max(0, activity.begun - Number(begun));
  }

  /** Own requests by host, for hosts that have some. */
  loads(): [string, number][] {
    const loads: [string, number][] = [];
    for (const [id, activity] of this.#hosts) {
      if (activity.inFlight > 0) {
        loads.push([id, activity.inFlight]);
      }
    }
    return loads;
  }

  /** Bytes have come from the host: whatever was suspected of it is wrong. */
  noteProgress(host: HostEntry): void {
    const activity = this.of(host.id);
    activity.lastProgressAt = monotonicMs();
    activity.avoidUntil = -Infinity;
    this.reach.noteProgress(host.failureDomain);
  }

  /** The host could not be reached. */
  noteUnreachable(host: HostEntry): void {
    this.noteFailure(host.id);
    this.reach.noteUnreachable(host.failureDomain, host.id);
  }

  /** The first event or the answer of a request has come; `kind` as of {@link kindOf}. */
  noteFirst(id: string, ms: number, kind: string): void {
    this.#noteTypical(ms, kind);
    const activity = this.of(id);
    const before = activity.firstMs ?? ms;
    const now = monotonicMs();
    activity.firstMs = before + SMOOTHING * (ms - before);
    activity.firstWeight = 1 + decayedWeight(activity, now);
    activity.firstAt = now;
    activity.consecutiveFailures = 0;
  }

  /** Usual time to the first event of a kind at all hosts, in milliseconds; undefined at first. */
  typicalFirstMs(kind: string): number | undefined {
    const typical = this.#typical.get(kind);
    return typical === undefined || typical.count < TYPICAL_LEAST ? undefined : typical.ms;
  }

  #noteTypical(ms: number, kind: string): void {
    const typical = this.#typical.get(kind) ?? { ms, count: 0 };
    const value = Math.min(ms, TYPICAL_CUT * typical.ms);
    // An average of all at first, then one of the last twenty.
    const weight = Math.max(TYPICAL_SMOOTHING, 1 / (typical.count + 1));
    const next = { ms: typical.ms + weight * (value - typical.ms), count: typical.count + 1 };
    this.#typical.set(kind, next);
  }

  /**
   * Moving average of the time to the first event; undefined when it is old or not known. `now` in
   * monotonic milliseconds: a choice looks at many hosts and reads the clock once.
   */
  recentFirstMs(id: string, now: number): number | undefined {
    const activity = this.#hosts.get(id);
    const isRecent = activity !== undefined && now - activity.firstAt < FIRST_VALID_MS;
    return isRecent ? activity.firstMs : undefined;
  }

  /**
   * Expected time to the first event, in milliseconds. A few requests say little of a host, since one
   * prompt is ten times as long as another: they count against {@link PRIOR_REQUESTS} usual ones.
   */
  expectedFirstMs(id: string, typicalMs: number, now: number): number {
    const activity = this.#hosts.get(id);
    if (activity?.firstMs === undefined) {
      return typicalMs;
    }
    const weight = decayedWeight(activity, now);
    const part = weight / (weight + PRIOR_REQUESTS);
    return typicalMs + part * (activity.firstMs - typicalMs);
  }

  /** A request failed or stalled at the host: avoid it for a while. */
  noteFailure(id: string): void {
    const activity = this.of(id);
    activity.consecutiveFailures += 1;
    const factor = Math.min(activity.consecutiveFailures, 3);
    activity.avoidUntil = monotonicMs() + FAILURE_COOLDOWN_MS * factor;
  }

  /** An entry host has found that the host's process has ended: avoid it until its entry goes. */
  noteEnded(id: string): void {
    this.of(id).avoidUntil = monotonicMs() + ENDED_AVOID_MS;
  }

  /**
   * These hosts are gone, or have started again: what was seen of them says nothing of whoever has their ids next.
   * Requests that are in progress there end by themselves.
   */
  departed(hosts: readonly HostEntry[]): void {
    for (const { id } of hosts) {
      const activity = this.#hosts.get(id);
      if (activity !== undefined) {
        activity.avoidUntil = -Infinity;
        activity.consecutiveFailures = 0;
        activity.firstMs = undefined;
      }
    }
  }

  /** For how much longer new requests should go elsewhere if they can, in milliseconds. */
  avoidedLeftMs(id: string, now: number): number {
    return Math.max(0, (this.#hosts.get(id)?.avoidUntil ?? -Infinity) - now);
  }

  /** True while new requests should go elsewhere if they can; `now` in monotonic milliseconds. */
  isAvoided(id: string, now: number): boolean {
    return this.avoidedLeftMs(id, now) > 0;
  }

  /** Forgets idle hosts that are not there any more. */
  forgetExcept(present: (id: string) => boolean): void {
    const oldest = monotonicMs() - FORGET_MS;
    for (const [id, activity] of this.#hosts) {
      if (!present(id) && activity.inFlight === 0 && activity.lastProgressAt < oldest) {
        this.#hosts.delete(id);
      }
    }
  }
}

function decayedWeight({ firstWeight, firstAt }: HostActivity, now: number): number {
  return firstWeight * Math.exp(-Math.max(0, now - firstAt) / FIRST_VALID_MS);
}
