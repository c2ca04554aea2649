/** Records the activity of each upstream host as this entry host observes it through its own requests. */
import type { HostEntry } from '../hosts/host-entry.js';
import { ServiceContacts } from '../isolation/service-contacts.js';
import { monotonicMs } from '../server/time.js';
import { ConnectTimes } from './connect-times.js';
import { DomainReachability } from './domain-reachability.js';

/** Weight of the newest value in the moving average of a host, 0 to 1. */
const SMOOTHING = 0.25;
/**
 * Age from which the moving average of a host is not used on its own any more, in milliseconds; also the time in which
 * its weight falls to 1/e.
 */
const AVERAGE_VALID_MS = 1_500;
/** Time for which a host is avoided after a failure, in milliseconds, for each failure in a row. */
const FAILURE_COOLDOWN_MS = 1_500;
/** Failures in a row up to which the cooldown grows. */
const MAX_COOLDOWN_FACTOR = 3;
/**
 * Time for which a host is avoided whose process is known to have ended, in milliseconds: a little longer than it takes
 * until the host's entry is removed. Otherwise each entry host would find out through failed requests of its own, for
 * up to twelve hosts in a row.
 */
const ENDED_AVOID_MS = 4_500;
/** Time without progress after which the activity of an idle, removed host is deleted, in milliseconds. */
const FORGET_MS = 120_000;

/** Activity of one upstream host as observed by this entry host. */
export type HostActivity = {
  /** Requests of this entry host in progress at the host. */
  inFlight: number;
  /** Requests in progress whose first bytes have arrived. */
  begun: number;
  /** Moving average of the time to the first event or answer, in milliseconds. */
  firstMs: number | undefined;
  /** When `firstMs` was last updated (monotonic milliseconds). */
  firstAt: number;
  /** Decayed number of values behind `firstMs`, in which older ones count less. */
  firstWeight: number;
  /** When bytes last arrived from the host (monotonic milliseconds). */
  lastProgressAt: number;
  /** Until when new requests avoid the host (monotonic milliseconds). */
  avoidUntil: number;
  /** Failures in a row; a first event or an answer resets them. */
  consecutiveFailures: number;
  /** When a request last failed or stalled at the host (monotonic milliseconds); undefined if none has. */
  lastFailureAt: number | undefined;
};

/** Number of requests with the typical time that the measured ones of a host are averaged with. */
const PRIOR_REQUESTS = 4;
/** Weight of the newest value in the typical time of a kind of request, 0 to 1. */
const TYPICAL_SMOOTHING = 0.05;
/** Number of values from which the typical time of a kind of request counts as known. */
const MIN_TYPICAL_VALUES = 10;
/** Multiple of the typical time at which a value is capped, so that a lost group does not distort it. */
const TYPICAL_CAP_FACTOR = 3;

/** Moving average of the times of a kind of request, and the number of values in it. */
type TypicalTime = { ms: number; count: number };

/** Key of the requests whose times can be compared: those for one model, or for one plain service. */
export function requestKind(service: string, model: string | undefined): string {
  return `${service}/${model ?? ''}`;
}

/** The activity of all upstream hosts, by host id. */
export class HostActivities {
  /** Reachability of failure domains as observed by this entry host. */
  readonly reach = new DomainReachability();
  /** Connect times of upstream hosts, by failure domain. */
  readonly connectTimes = new ConnectTimes();
  /** Times of the last data from upstream hosts, by service. */
  readonly contacts = new ServiceContacts();
  readonly #hosts = new Map<string, HostActivity>();
  readonly #typical = new Map<string, TypicalTime>();

  /** Activity of a host, created on first use. */
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
        lastFailureAt: undefined,
      };
      this.#hosts.set(id, activity);
    }
    return activity;
  }

  /** Counts a request that is sent to the host. */
  noteRequestSent(host: HostEntry): void {
    this.of(host.id).inFlight += 1;
    this.contacts.noteSent(host);
  }

  /** Counts a request whose first bytes arrived from the host. */
  noteResponseBegun(id: string): void {
    this.of(id).begun += 1;
  }

  /** Removes a request that ended at the host; `begun`: its first bytes had arrived. */
  noteRequestEnded(host: HostEntry, begun: boolean): void {
    this.contacts.noteEnded(host);
    const activity = this.of(host.id);
    activity.inFlight = Math.max(0, activity.inFlight - 1);
    activity.begun = Math.max(0, activity.begun - Number(begun));
  }

  /** Requests of this entry host in progress, by host, for hosts that have any. */
  loads(): [string, number][] {
    const loads: [string, number][] = [];
    for (const [id, activity] of this.#hosts) {
      if (activity.inFlight > 0) {
        loads.push([id, activity.inFlight]);
      }
    }
    return loads;
  }

  /** Bytes arrived from the host: it is not avoided any longer, and its failure domain is reachable. */
  noteProgress(host: HostEntry): void {
    const activity = this.of(host.id);
    activity.lastProgressAt = monotonicMs();
    activity.avoidUntil = -Infinity;
    this.reach.noteProgress(host.failureDomain);
    this.contacts.noteData(host);
  }

  /** Records that the host could not be reached. */
  noteUnreachable(host: HostEntry): void {
    this.noteFailure(host.id);
    this.reach.noteUnreachable(host.failureDomain, host.id);
    this.contacts.noteUnreachable(host);
  }

  /** Records the time to the first event or the answer of a request, in milliseconds, for a kind of request. */
  noteFirstResponse(id: string, ms: number, kind: string): void {
    this.#noteTypical(ms, kind);
    const activity = this.of(id);
    const averageMs = activity.firstMs ?? ms;
    const now = monotonicMs();
    activity.firstMs = averageMs + SMOOTHING * (ms - averageMs);
    activity.firstWeight = 1 + decayedWeight(activity, now);
    activity.firstAt = now;
    activity.consecutiveFailures = 0;
  }

  /** Typical time to the first event for a kind of request, over all hosts, in milliseconds; undefined until known. */
  typicalFirstMs(kind: string): number | undefined {
    const typical = this.#typical.get(kind);
    return typical === undefined || typical.count < MIN_TYPICAL_VALUES ? undefined : typical.ms;
  }

  #noteTypical(ms: number, kind: string): void {
    const typical = this.#typical.get(kind) ?? { ms, count: 0 };
    const cappedMs = Math.min(ms, TYPICAL_CAP_FACTOR * typical.ms);
    // The mean of all values at first; later an exponential average over about the last twenty.
    const weight = Math.max(TYPICAL_SMOOTHING, 1 / (typical.count + 1));
    const next = { ms: typical.ms + weight * (cappedMs - typical.ms), count: typical.count + 1 };
    this.#typical.set(kind, next);
  }

  /**
   * Moving average of the time to the first event, in milliseconds; undefined where it is too old or not known. The
   * caller passes `now` (monotonic milliseconds), since a choice among many hosts reads the clock once.
   */
  recentFirstMs(id: string, now: number): number | undefined {
    const activity = this.#hosts.get(id);
    const isRecent = activity !== undefined && now - activity.firstAt < AVERAGE_VALID_MS;
    return isRecent ? activity.firstMs : undefined;
  }

  /**
   * Expected time to the first event, in milliseconds. A few requests are weak evidence about a host, since one prompt
   * may be ten times as long as another, so they are averaged with {@link PRIOR_REQUESTS} requests of the typical time.
   */
  expectedFirstMs(id: string, typicalMs: number, now: number): number {
    const activity = this.#hosts.get(id);
    if (activity?.firstMs === undefined) {
      return typicalMs;
    }
    const weight = decayedWeight(activity, now);
    const measuredShare = weight / (weight + PRIOR_REQUESTS);
    return typicalMs + measuredShare * (activity.firstMs - typicalMs);
  }

  /** A request failed or stalled at the host: new requests avoid it for a while. */
  noteFailure(id: string): void {
    const activity = this.of(id);
    activity.consecutiveFailures += 1;
    const factor = Math.min(activity.consecutiveFailures, MAX_COOLDOWN_FACTOR);
    activity.lastFailureAt = monotonicMs();
    activity.avoidUntil = activity.lastFailureAt + FAILURE_COOLDOWN_MS * factor;
  }

  /**
   * Forgets the failures of hosts, which were faults of this entry host's own links; their times and requests in progress
   * are kept.
   */
  forgetFailures(hosts: readonly HostEntry[]): void {
    for (const { id, failureDomain } of hosts) {
      this.reach.noteProgress(failureDomain);
      const activity = this.#hosts.get(id);
      if (activity !== undefined) {
        activity.avoidUntil = -Infinity;
        activity.consecutiveFailures = 0;
      }
    }
  }

  /** An entry host found that the host's process has ended: requests avoid the host until its entry is removed. */
  noteProcessEnded(id: string): void {
    this.of(id).avoidUntil = monotonicMs() + ENDED_AVOID_MS;
  }

  /**
   * Clears the failures and times of hosts that were removed or have restarted, since they do not apply to the next
   * process with the same id. Requests in progress there are counted until they end by themselves.
   */
  clearRemoved(hosts: readonly HostEntry[]): void {
    for (const { id } of hosts) {
      const activity = this.#hosts.get(id);
      if (activity !== undefined) {
        activity.avoidUntil = -Infinity;
        activity.consecutiveFailures = 0;
        activity.firstMs = undefined;
      }
    }
  }

  /** Milliseconds for which new requests should still prefer other hosts; 0: the host is not avoided. */
  avoidanceLeftMs(id: string, now: number): number {
    return Math.max(0, (this.#hosts.get(id)?.avoidUntil ?? -Infinity) - now);
  }

  /** True while new requests should prefer other hosts; `now` in monotonic milliseconds. */
  isAvoided(id: string, now: number): boolean {
    return this.avoidanceLeftMs(id, now) > 0;
  }

  /** Deletes the activity of idle hosts that are no longer registered. */
  forgetExcept(isPresent: (id: string) => boolean): void {
    const cutoff = monotonicMs() - FORGET_MS;
    for (const [id, activity] of this.#hosts) {
      if (!isPresent(id) && activity.inFlight === 0 && activity.lastProgressAt < cutoff) {
        this.#hosts.delete(id);
      }
    }
  }
}

// The number of values behind the average, decayed since its last update.
function decayedWeight({ firstWeight, firstAt }: HostActivity, now: number): number {
  return firstWeight * Math.exp(-Math.max(0, now - firstAt) / AVERAGE_VALID_MS);
}
