/**
 * Holds back loads of a model that end the hosts that load it: a version whose weights can not be read would
 * otherwise end one free host after the other, as fast as loads may begin.
 *
 * Hosts are lost for other reasons too, and those of a rack together: crashes count as in `crash-score.ts`, and a
 * load of the model that any host completes clears it. A model that is held is tried again by the next load after
 * a pause, which doubles while loads of it go on to end their hosts.
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
  /** The host as it was when the load began. */
  readonly host: HostEntry;
  /** Monotonic milliseconds. */
  readonly since: number;
};

/** What is known of hosts that do not show their loads any more. */
export type LostHostBeliefs = {
  /** Hosts that do not answer. */
  readonly silent: ReadonlyMap<string, number>;
  /** Hosts that answer although their entries have gone. */
  readonly unlisted: ReadonlyMap<string, HostEntry>;
};

/** Crashes, each for itself, from which a model is held; as many as a request may end hosts. */
const LEAST_CRASHES = 3;
/** First pause, and the longest, in milliseconds: some loads, and few beside the time of a repair. */
const HOLD_MS = 30_000;
const MOST_HOLD_MS = 600_000;
/** Time in which a host whose entry went is asked whether it is there, in milliseconds. */
const ASKED_MS = 5_000;
/** Crashes that are remembered of a model, the newest ones; more than it takes to hold it. */
const MOST_CRASHES = 16;

type Lost = RunningLoad & { readonly at: number };
type ModelCrashes = { crashes: readonly Crash[]; holdMs: number; heldUntil: number };

const NOTHING_EXPLAINED: ReadonlySet<string> = new Set();

/** The loads that have ended with their hosts, by model. */
export class LoadCrashes {
  readonly #log: Log;
  readonly #models = new Map<string, ModelCrashes>();
  /** Loads whose hosts' entries have gone, until the hosts were asked. */
  #lost: readonly Lost[] = [];

  constructor(log: Log) {
    this.#log = log;
  }

  /** The entry of a loading host has gone, or shows a later start. */
  noteLost(load: RunningLoad, hasRestarted: boolean, now: number): void {
    if (hasRestarted) {
      this.#noteCrash({ ...load, at: now });
    } else {
      this.#lost = [...this.#lost, { ...load, at: now }];
    }
  }

  /** A host has completed a load of the model. */
  noteLoaded(model: string): void {
    this.#models.delete(model);
  }

  /** Looks whether hosts whose entries have gone are there all the same. */
  settle({ silent, unlisted }: LostHostBeliefs, now: number): void {
    const ended = this.#lost.filter(({ host }) => silent.has(host.id));
    this.#lost = this.#lost.filter(
      ({ host, at }) => !silent.has(host.id) && !unlisted.has(host.id) && now - at < ASKED_MS,
    );
    ended.forEach(lost => {
      this.#noteCrash(lost);
    });
  }

  /** The fleet without the models that must not be loaded now. */
  loadable(fleet: FleetView, now: number): FleetView {
    const isHeld = (model: string): boolean => now < (this.#models.get(model)?.heldUntil ?? 0);
    const models = fleet.profile.models.filter(({ name }) => !isHeld(name));
    return models.length === fleet.profile.models.length
      ? fleet
      : { ...fleet, profile: { ...fleet.profile, models } };
  }

  #noteCrash({ model, host, since, at }: Lost): void {
    const before = this.#models.get(model) ?? { crashes: [], holdMs: HOLD_MS, heldUntil: 0 };
    const crash: Crash = {
      host: incarnationOf(host),
      incarnation: host,
      place: host.fabricDomain ?? host.failureDomain,
      sentAt: since,
      at,
      sequence: (before.crashes.at(-1)?.sequence ?? 0) + 1,
    };
    const crashes = [...before.crashes, crash].slice(-MOST_CRASHES);
    const isHeld = crashScoreOf(crashes, NOTHING_EXPLAINED).score >= LEAST_CRASHES;
    const { holdMs } = before;
    const after = isHeld
      ? { crashes, holdMs: Math.min(2 * holdMs, MOST_HOLD_MS), heldUntil: at + holdMs }
      : { ...before, crashes };
    this.#models.set(model, after);
    if (isHeld) {
      const hosts = crashes.map(one => one.incarnation.id).join(',');
      this.#log.warn('loads of a model held back', { model, hosts, forMs: holdMs });
    }
  }
}
