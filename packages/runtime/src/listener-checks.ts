/** Checks whether the process at an address still listens after it has ended a connection. */
import { afterTurn, monotonicMs, sleep } from './clock.js';
import type { PortAddress } from './port-probe.js';
import { probePort } from './port-probe.js';

/**
 * What a check has shown. `ended`: the port is closed; `listening`: the process has outlived the connection;
 * `unknown`: no answer in time.
 */
export type ListenerState = 'ended' | 'listening' | 'unknown';

/** Longest time of a check, in milliseconds. */
const CHECK_LIMIT_MS = 1_000;
/** Time in which a process that ends closes all its connections and ports, in milliseconds. */
const SETTLE_MS = 30;
/**
 * Time after the begin of a check from which a connection that is made and ended shows a process that listens, in
 * milliseconds; one that ends sooner may have been waiting at a port that was about to close.
 */
const ENDING_MS = 60;
/** Time between two connections of a check, in milliseconds. */
const PAUSE_MS = 10;

/** The checks of one address: the one that runs, and the one that begins after it. */
type Checks = { running: Promise<ListenerState>; next: Promise<ListenerState> | undefined };

/** Checks addresses; calls that wait for the same address share a check that begins after all of them. */
export class ListenerChecks {
  readonly #checks = new Map<string, Checks>();

  /** Returns the state of an address by a check that begins now or later; `unknown` after `limitMs` milliseconds. */
  check(address: PortAddress, limitMs: number): Promise<ListenerState> {
    return new Promise(resolve => {
      const limit = afterTurn(() => {
        resolve('unknown');
      }, limitMs);
      void this.#sharedCheck(address).then(state => {
        limit.cancel();
        resolve(state);
      });
    });
  }

  #sharedCheck(address: PortAddress): Promise<ListenerState> {
    const key = `${address.host} ${address.port}`;
    const checks = this.#checks.get(key);
    if (checks === undefined) {
      return this.#start(key, address);
    }
    checks.next ??= checks.running.then(() => this.#start(key, address));
    return checks.next;
  }

  #start(key: string, address: PortAddress): Promise<ListenerState> {
    const running = checkListener(address);
    const checks: Checks = { running, next: undefined };
    this.#checks.set(key, checks);
    void running.then(() => {
      if (checks.next === undefined) {
        this.#checks.delete(key);
      }
    });
    return running;
  }
}

async function checkListener(address: PortAddress): Promise<ListenerState> {
  const startedAt = monotonicMs();
  for (;;) {
    const openedMs = monotonicMs() - startedAt;
    const limitMs = Math.max(1, CHECK_LIMIT_MS - openedMs);
    const state = await probePort(address, { limitMs, settleMs: SETTLE_MS });
    switch (state) {
      case 'closed':
        return 'ended';
      case 'unknown':
        return 'unknown';
      case 'open':
        return 'listening';
      case 'ended':
        if (openedMs >= ENDING_MS) {
          return 'listening';
        }
        await sleep(PAUSE_MS);
    }
  }
}
