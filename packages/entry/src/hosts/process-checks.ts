/**
 * Checks whether the process of an upstream host runs on after an answer has ended with its connection. If the process
 * ends, the operating system ends its connections in the same way, whatever had been sent on them by then.
 */
import type { Log } from '../server/log.js';
import type { Counters } from '../server/metrics.js';
import type { TimeLimit } from '../server/time.js';
import { afterTurn, monotonicMs } from '../server/time.js';
import type { HostEntry } from './host-entry.js';
import { HostStartMap } from './host-start-map.js';

/** What a call to a host on a new connection shows of the process that its entry describes. */
export type ProcessState =
  /** It has answered. */
  | 'running'
  /** Its port is closed, or another process answers at its address. */
  | 'ended'
  /** A process has accepted the connection, and has closed or reset it without an answer. */
  | 'reset'
  /** There was no answer in time, or the address could not be reached. */
  | 'silent';

/** Options of {@link ProcessChecks}. */
export type ProcessChecksOptions = {
  /** Calls a host; takes at most `timeoutMs` milliseconds. */
  readonly ask: (host: HostEntry, timeoutMs: number) => Promise<ProcessState>;
  /** Time in milliseconds after which an end counts as unconfirmed where an alternative exists; longest time of a call. */
  readonly limitMs: () => number;
  readonly log: Pick<Log, 'warn'>;
  readonly counters: Counters;
  /** Monotonic clock and timer; those of this process by default. */
  readonly now?: () => number;
  readonly after?: (callback: () => void, ms: number) => TimeLimit;
};

/** Time from the first end to the call, in milliseconds: answers that end at about the same time share one. */
const CALL_DELAY_MS = 10;
/** Time between the starts of two calls to one host, in milliseconds; after a pause one call may begin earlier. */
export const CALL_INTERVAL_MS = 100;
/** Time without an answer to a call after which a further one begins beside it, in milliseconds. */
export const CALL_REPEAT_MS = 500;
/** Most calls to one host at the same time. */
export const MAX_CALLS = 4;
/**
 * Time in milliseconds in which the operating system has closed the port of a process whose connections it has ended.
 * Until then the port may accept connections, which are reset.
 */
export const PORT_CLOSING_MS = 50;

/** An answer whose end is to be confirmed. */
type Wait = {
  readonly endedAt: number;
  readonly settle: (isRunning: boolean) => void;
};

/** Checks the processes of all hosts; calls are shared by all answers of one host that ended before they began. */
export class ProcessChecks {
  readonly #options: ProcessChecksOptions;
  readonly #hosts = new HostStartMap<HostChecks>();

  constructor(options: ProcessChecksOptions) {
    this.#options = options;
  }

  /**
   * Resolves with true once it is certain that the host's process ran after `endedAt` (monotonic milliseconds), and with
   * false if it has ended, if that remains unknown, or when the signal is aborted. `hasAlternative`: the answer can be
   * replaced, so that the check ends at the limit.
   */
  isRunningAfter(
    host: HostEntry,
    endedAt: number,
    signal: AbortSignal,
    hasAlternative = true,
  ): Promise<boolean> {
    let checks = this.#hosts.get(host);
    if (checks?.isAt(host) !== true) {
      checks = new HostChecks(host, this.#options);
      this.#hosts.set(host, checks);
    }
    return checks.isRunningAfter(endedAt, signal, hasAlternative);
  }
}

/** Checks the process of one start of a host. */
class HostChecks {
  readonly #host: HostEntry;
  readonly #options: ProcessChecksOptions;
  readonly #now: () => number;
  readonly #after: (callback: () => void, ms: number) => TimeLimit;
  readonly #waits = new Set<Wait>();
  /** Start times of the calls in progress, the newest last. */
  #callsSince: readonly number[] = [];
  #lastCallAt = -Infinity;
  /** When the next call is due if calls begin at regular intervals. */
  #regularCallAt = -Infinity;
  #lastState: ProcessState | undefined;
  #nextCall: TimeLimit | undefined;
  #nextCallAt = Infinity;

  constructor(host: HostEntry, options: ProcessChecksOptions) {
    this.#host = host;
    this.#options = options;
    this.#now = options.now ?? monotonicMs;
    this.#after = options.after ?? afterTurn;
  }

  /** False if the host has another address: a start whose time is not known may have moved. */
  isAt({ ip, port }: HostEntry): boolean {
    return ip === this.#host.ip && port === this.#host.port;
  }

  isRunningAfter(endedAt: number, signal: AbortSignal, hasAlternative: boolean): Promise<boolean> {
    if (signal.aborted) {
      return Promise.resolve(false);
    }
    return new Promise(resolve => {
      const wait: Wait = {
        endedAt,
        settle: isRunning => {
          limit?.cancel();
          signal.removeEventListener('abort', cancel);
          this.#waits.delete(wait);
          resolve(isRunning);
        },
      };
      const cancel = (): void => {
        wait.settle(false);
      };
      const limit = hasAlternative ? this.#limitOf(wait) : undefined;
      signal.addEventListener('abort', cancel);
      this.#waits.add(wait);
      this.#callWhenDue();
    });
  }

  #limitOf(wait: Wait): TimeLimit {
    return this.#after(() => {
      this.#reject([wait], this.#lastState === 'reset' ? 'reset' : 'silent');
    }, this.#options.limitMs());
  }

  #callWhenDue(): void {
    if (!this.#needsCall()) {
      return;
    }
    const now = this.#now();
    const callAt = Math.max(now + CALL_DELAY_MS, this.#dueAt());
    if (this.#nextCall !== undefined && this.#nextCallAt <= callAt) {
      return;
    }
    this.#nextCall?.cancel();
    this.#nextCallAt = callAt;
    this.#nextCall = this.#after(() => {
      this.#nextCall = undefined;
      this.#callIfDue();
    }, callAt - now);
  }

  // Answers that have ended meanwhile may have moved the time of the call.
  #callIfDue(): void {
    if (this.#needsCall() && this.#dueAt() <= this.#now()) {
      void this.#call();
    } else {
      this.#callWhenDue();
    }
  }

  // After a reset, a call is of use only once the port would have been closed, if possible for all ends.
  #dueAt(): number {
    if (!this.#hasUncalledEnd()) {
      return this.#lastCallAt + CALL_REPEAT_MS;
    }
    if (this.#lastState !== 'reset') {
      return this.#regularCallAt - CALL_INTERVAL_MS;
    }
    const newestEnd = Math.max(...[...this.#waits].map(({ endedAt }) => endedAt));
    const latest = this.#lastCallAt + CALL_INTERVAL_MS;
    return Math.min(Math.max(newestEnd, this.#lastCallAt) + PORT_CLOSING_MS, latest);
  }

  #needsCall(): boolean {
    return this.#waits.size > 0 && this.#callsSince.length < MAX_CALLS;
  }

  // A call in progress that began before an end shows nothing of the process after it.
  #hasUncalledEnd(): boolean {
    const newest = this.#callsSince.at(-1) ?? -Infinity;
    return [...this.#waits].some(({ endedAt }) => endedAt > newest);
  }

  async #call(): Promise<void> {
    const { counters } = this.#options;
    const since = this.#now();
    this.#lastCallAt = since;
    this.#regularCallAt = Math.max(this.#regularCallAt, since) + CALL_INTERVAL_MS;
    this.#callsSince = [...this.#callsSince, since];
    this.#callWhenDue();
    const state = await this.#ask();
    this.#callsSince = this.#callsSince.filter(start => start !== since);
    this.#lastState = state;
    counters.count('host_checks_total', { outcome: state });
    this.#conclude(state, since);
    this.#callWhenDue();
  }

  async #ask(): Promise<ProcessState> {
    const { ask, limitMs, log } = this.#options;
    try {
      return await ask(this.#host, limitMs());
    } catch (error) {
      log.warn('call to a host failed', { host: this.#host.id, cause: String(error) });
      return 'silent';
    }
  }

  #conclude(state: ProcessState, since: number): void {
    if (state === 'ended') {
      this.#reject(this.#endedBefore(since), state);
    } else if (state === 'running') {
      this.#confirm(this.#endedBefore(since));
    } else if (state === 'reset') {
      this.#confirm(this.#endedBefore(since - PORT_CLOSING_MS));
    }
  }

  #endedBefore(time: number): readonly Wait[] {
    return [...this.#waits].filter(({ endedAt }) => endedAt <= time);
  }

  #confirm(waits: readonly Wait[]): void {
    waits.forEach(wait => {
      wait.settle(true);
    });
  }

  #reject(waits: readonly Wait[], state: ProcessState): void {
    const [first] = waits;
    if (first === undefined) {
      return;
    }
    this.#options.log.warn('ends of answers not confirmed', {
      host: this.#host.id,
      outcome: state,
      answers: waits.length,
      afterMs: Math.round(this.#now() - first.endedAt),
    });
    waits.forEach(wait => {
      wait.settle(false);
    });
  }
}
