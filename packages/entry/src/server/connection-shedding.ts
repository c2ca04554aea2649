/**
 * Decides which new connections of callers this entry host closes at once, while it gets more of them than it can serve
 * and many more than its peers. Nothing of a closed connection is read, so its caller may send any request again on
 * another one, which reaches other entry hosts. What has been read is served in time meanwhile.
 */
import type { ConnectionRate, PeerRates } from './connection-rate.js';
import type { Log } from './log.js';
import { LoopUtilization } from './loop-utilization.js';
import type { Metrics } from './metrics.js';

/** What {@link ConnectionShedding} works with. */
export type ConnectionSheddingOptions = {
  /** Rate of new connections at this entry host. */
  readonly rate: ConnectionRate;
  /** Undefined if this entry host knows no others; then it accepts all connections. */
  readonly peers: () => PeerRates | undefined;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns a number in [0, 1); tests replace it. */
  readonly random?: () => number;
};

/** Utilization of the event loop that is aimed at, 0 to 1: beyond it, connections begin to wait to be accepted. */
const TARGET_UTILIZATION = 0.85;
/** Change of the closed part by one measurement, for each unit by which the utilization differs from the target. */
const GAIN = 0.8;
/** Greatest fall of the closed part by one measurement; with the load of one host, it would otherwise swing. */
const MAX_FALL = 0.02;
/** Fall of the closed part by one measurement once this host no longer gets many more connections than its peers. */
const FALL_BELOW_PEERS = 0.2;
/**
 * Measurements in a row in which this host gets many more connections than its peers before it closes any: in 1.5 s the
 * peers have reported their rates again, which may have risen at the same time.
 */
const MIN_ABOVE_COUNT = 15;
/** Greatest closed part: some connections are always accepted, so that no caller takes this host for one that ended. */
const MAX_CLOSED_PART = 0.95;

/** Closes part of the new connections, so that the event loop is never busy all the time. */
export class ConnectionShedding {
  readonly #options: ConnectionSheddingOptions;
  readonly #utilization = new LoopUtilization(utilization => {
    this.noteUtilization(utilization);
  });
  #closedPart = 0;
  #aboveCount = 0;

  constructor(options: ConnectionSheddingOptions) {
    this.#options = options;
    options.metrics.gauges.register('connections_closed_part', () => [
      { labels: {}, value: this.#closedPart },
    ]);
  }

  /** Starts to measure the utilization of the event loop. */
  start(): void {
    this.#utilization.start();
  }

  /** Stops measuring. */
  stop(): void {
    this.#utilization.stop();
  }

  /** Part of the new connections that are closed, 0 to 1. */
  get closedPart(): number {
    return this.#closedPart;
  }

  /** Adjusts the closed part to a utilization of the event loop, 0 to 1. */
  noteUtilization(utilization: number): void {
    this.#aboveCount = this.#isAbovePeers ? this.#aboveCount + 1 : 0;
    const change = this.#changeAt(utilization);
    const closedPart = Math.max(0, Math.min(MAX_CLOSED_PART, this.#closedPart + change));
    this.#set(closedPart, utilization);
  }

  #changeAt(utilization: number): number {
    if (this.#aboveCount === 0) {
      return -FALL_BELOW_PEERS;
    }
    const change = Math.max(-MAX_FALL, GAIN * (utilization - TARGET_UTILIZATION));
    return this.#aboveCount < MIN_ABOVE_COUNT ? Math.min(0, change) : change;
  }

  /** Decides whether a new connection is accepted; otherwise it is to be closed unread. */
  accepts(): boolean {
    this.#options.rate.note();
    const accepts = (this.#options.random ?? Math.random)() >= this.#closedPart;
    if (!accepts) {
      this.#options.metrics.counters.count('connections_closed_unread_total');
    }
    return accepts;
  }

  get #isAbovePeers(): boolean {
    const { rate, peers } = this.#options;
    const known = peers();
    return known !== undefined && rate.isAbove(known);
  }

  #set(closedPart: number, utilization: number): void {
    const wasClosing = this.#closedPart > 0;
    this.#closedPart = closedPart;
    if (closedPart > 0 && !wasClosing) {
      const { log } = this.#options;
      log.warn('new connections are closed in part', { utilization: utilization.toFixed(2) });
    } else if (closedPart === 0 && wasClosing) {
      this.#options.log.info('all new connections are accepted again');
    }
  }
}
