/**
 * Holds back loads of a model that crash the hosts that load it. A version whose weights can not be read would
 * otherwise crash one free host after the other, as fast as loads may begin.
 *
 * Hosts are lost for other reasons too, and the hosts of a rack together, so crashes are scored as in `crash-score.ts`.
 * A completed load of the model on any host clears its crashes. A held model may be loaded again after a pause, which
 * doubles while its loads continue to crash hosts.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import { incarnationOf } from '../hosts/host-entry.js';
import type { Crash } from '../quarantine/crash-score.js';
import { crashScoreOf } from '../quarantine/crash-score.js';
import type { Log } from '../server/log.js';
import type { FleetView } from './fleet-view.js';

/** A load that is under way on a host. */
export type RunningLoad = {
  readonly model: string;
  /** The host's entry when the load began. */
  readonly host: HostEntry;
  /** When the load began, in monotonic milliseconds. */
  readonly since: number;
};

/** Whether hosts whose entries were removed still answer probes, by host id. */
export type DepartedHostStatus = {
  /** Hosts that do not answer, with the time since when (monotonic milliseconds). */
  readonly unresponsiveHosts: ReadonlyMap<string, number>;
  /** Hosts that answer although their entries have been removed, with their last entries. */
  readonly unlistedHosts: ReadonlyMap<string, HostEntry>;
};

/** Crash score from which a model is held; the same as that from which a request is quarantined. */
const HOLD_SCORE = 3;
/** First pause, in milliseconds: the time of several loads. */
const INITIAL_HOLD_MS = 30_000;
/** Longest pause, in milliseconds: short compared with the time that it takes to repair a model's weights. */
const MAX_HOLD_MS = 600_000;
/** Longest wait for the result of a probe of a host whose entry was removed, in milliseconds. */
const PROBE_WAIT_MS = 5_000;
/** Number of crashes kept for each model, the newest ones; more than it takes to hold the model. */
const MAX_CRASHES_KEPT = 16;

/** A load whose host was lost, with the time of the loss in monotonic milliseconds. */
type LostLoad = RunningLoad & { readonly at: number };
/** Crashes of a model, the next pause in milliseconds, and the monotonic time until which the model is held. */
type ModelCrashes = { crashes: readonly Crash[]; holdMs: number; heldUntil: number };

/** Tracks the loads that ended with a crash of their hosts, and holds back the models that cause them. */
export class LoadCrashes {
  readonly #log: Log;
  readonly #models = new Map<string, ModelCrashes>();
  /** Loads on hosts whose entries were removed, until a probe shows whether the host has crashed. */
  #unconfirmedLosses: readonly LostLoad[] = [];

  constructor(log: Log) {
    this.#log = log;
  }

  /** Records that the entry of a loading host was removed, or shows a restart; `now` in monotonic milliseconds. */
  noteHostLost(load: RunningLoad, hasRestarted: boolean, now: number): void {
    if (hasRestarted) {
      this.#noteCrash({ ...load, at: now });
    } else {
      this.#unconfirmedLosses = [...this.#unconfirmedLosses, { ...load, at: now }];
    }
  }

  /** Records that a host has completed a load of the model, which clears the model's crashes. */
  noteLoadCompleted(model: string): void {
    this.#models.delete(model);
  }

  /** Counts a crash for each lost host that does not answer, and drops those that answer or were not probed in time. */
  resolveLosses({ unresponsiveHosts, unlistedHosts }: DepartedHostStatus, now: number): void {
    const confirmed = this.#unconfirmedLosses.filter(({ host }) => unresponsiveHosts.has(host.id));
    this.#unconfirmedLosses = this.#unconfirmedLosses.filter(
      ({ host, at }) =>
        !unresponsiveHosts.has(host.id) && !unlistedHosts.has(host.id) && now - at < PROBE_WAIT_MS,
    );
    confirmed.forEach(lost => {
      this.#noteCrash(lost);
    });
  }

  /** Returns the fleet without the models that are held now. */
  withoutHeldModels(fleet: FleetView, now: number): FleetView {
    const isHeld = (model: string): boolean => now < (this.#models.get(model)?.heldUntil ?? 0);
    const models = fleet.profile.models.filter(({ name }) => !isHeld(name));
    return models.length === fleet.profile.models.length
      ? fleet
      : { ...fleet, profile: { ...fleet.profile, models } };
  }

  #noteCrash({ model, host, since, at }: LostLoad): void {
    const previous = this.#models.get(model) ?? {
      crashes: [],
      holdMs: INITIAL_HOLD_MS,
      heldUntil: 0,
    };
    const crash: Crash = {
      host: incarnationOf(host),
      incarnation: host,
      place: host.fabricDomain ?? host.failureDomain,
      sentAt: since,
      at,
      sequence: (previous.crashes.at(-1)?.sequence ?? 0) + 1,
    };
    const crashes = [...previous.crashes, crash].slice(-MAX_CRASHES_KEPT);
    const isHeld = crashScoreOf(crashes).score >= HOLD_SCORE;
    const { holdMs } = previous;
    const after = isHeld
      ? { crashes, holdMs: Math.min(2 * holdMs, MAX_HOLD_MS), heldUntil: at + holdMs }
      : { ...previous, crashes };
    this.#models.set(model, after);
    if (isHeld) {
      const hosts = crashes.map(each => each.incarnation.id).join(',');
      this.#log.warn('loads of a model held back', { model, hosts, forMs: holdMs });
    }
  }
}
