/** Tracks the stagings that this lease holder has ordered until they are done, lost or overdue. */
import type { GroupModel } from '../configuration/serving-configuration.js';
import type { DepartedHost, HostEntry } from '../hosts/host-entry.js';
import type { Log } from '../server/log.js';
import type { FleetView } from './fleet-view.js';
import type { Staging } from './known-group-state.js';
import { hasRestarted } from './known-group-state.js';
import type { DepartedHostStatus } from './load-crashes.js';
import { LoadCrashes } from './load-crashes.js';

/** Dependencies of {@link RunningStagings}. */
export type RunningStagingsOptions = {
  readonly hostReachability: DepartedHostStatus;
  readonly departed: () => readonly DepartedHost[];
  readonly log: Log;
};

/** Time beyond twice the load time after which a staging is overdue and may be ordered again, in milliseconds. */
const STAGING_SLACK_MS = 10_000;
const LOAD_SLACK_FACTOR = 2;
/** Pause before a host that has not accepted a staging may be ordered to stage again, in milliseconds. */
const STAGING_RETRY_MS = 1_500;

/** Stagings by host; all times are in monotonic milliseconds. */
export class RunningStagings {
  readonly #options: RunningStagingsOptions;
  readonly #stagings = new Map<string, Staging>();
  readonly #crashes: LoadCrashes;

  constructor(options: RunningStagingsOptions) {
    this.#options = options;
    this.#crashes = new LoadCrashes(options.log);
  }

  /** All stagings by host id. */
  get byHost(): ReadonlyMap<string, Staging> {
    return this.#stagings;
  }

  /** Records that a staging has been ordered. */
  recordOrdered(host: HostEntry, { name, loadMs }: GroupModel, now: number): void {
    const deadline = now + loadMs * LOAD_SLACK_FACTOR + STAGING_SLACK_MS;
    this.#stagings.set(host.id, { model: name, host, since: now, deadline });
  }

  /** Records that the host has not accepted the staging. */
  recordRejected(host: HostEntry, model: string, now: number): void {
    this.#stagings.set(host.id, { model, since: now, deadline: now + STAGING_RETRY_MS });
  }

  /** Removes stagings that are done, lost or overdue according to the current entries. */
  update(hosts: readonly HostEntry[], now: number): void {
    const entries = new Map(hosts.map(host => [host.id, host]));
    for (const [id, staging] of this.#stagings) {
      const entry = entries.get(id);
      const isDone = entry?.stagedModels.includes(staging.model) === true;
      const isOver = isDone || entry === undefined || hasRestarted(staging.host, entry);
      if (isDone) {
        this.#crashes.noteLoadCompleted(staging.model);
      } else if (isOver) {
        this.#recordLost(staging, entry !== undefined, now);
      }
      if (isOver || now > staging.deadline) {
        this.#stagings.delete(id);
      }
    }
    this.#crashes.resolveLosses(this.#options.hostReachability, now);
  }

  /** The view without the models whose loads are held back because they crash the hosts. */
  withoutHeldModels(fleet: FleetView, now: number): FleetView {
    return this.#crashes.withoutHeldModels(fleet, now);
  }

  /** Removes the stagings of an earlier term. */
  clear(): void {
    this.#stagings.clear();
  }

  // A host that has announced its shutdown does not count as lost.
  #recordLost({ model, host, since }: Staging, isRestart: boolean, now: number): void {
    const departed = this.#options.departed().find(({ entry }) => entry.id === host?.id);
    if (host !== undefined && (isRestart || departed?.entry.accepting !== false)) {
      this.#crashes.noteHostLost({ model, host, since }, isRestart, now);
    }
  }
}
