/**
 * Forwards requests to peers while this entry host does not reach the upstream hosts of their service.
 *
 * A request is forwarded once at most: the peer sends it to a host or declines it. The peer applies all rules of sending,
 * such as retry budgets, rate limits, evacuations and home regions, by its own configuration; it checks the caller's
 * key as well, so that it need not trust the sender.
 */
import type { UpstreamIsolation } from '../isolation/upstream-isolation.js';
import { UpstreamConnections } from '../requests/upstream-connections.js';
import { ConnectTimes } from '../routing/connect-times.js';
import type { HomeRegions } from '../routing/eligibility.js';
import { monotonicMs, sleep } from '../server/time.js';
import type { ForwardingPeer, PeerDirectory } from './peer-directory.js';

/** Options of {@link Forwarding}. */
export type ForwardingOptions = {
  readonly isolation: UpstreamIsolation;
  readonly directory: PeerDirectory;
  /** Region of a failure domain; undefined where none is declared. */
  readonly regionOf: (failureDomain: string) => string | undefined;
};

/** A request for which a peer is chosen. */
export type PeerQuery = {
  readonly service: string;
  readonly homeRegions: HomeRegions;
  /** Names of peers that have declined the request. */
  readonly exclude: ReadonlySet<string>;
};

/** Period at which a request that waits for a peer looks for one that has answered, in milliseconds. */
const ANSWER_POLL_MS = 5;
/** Pause between two rounds of questions to peers, in milliseconds. */
const ROUND_MS = 300;
/** Time after a suspicion for which peers are asked although the service may be within reach, in milliseconds. */
const SUSPICION_MS = 1_000;
/** Most connections to one peer. */
const MAX_CONNECTIONS_PER_PEER = 256;

/** Chooses the peers for requests that cannot be sent from here, and keeps connections to these peers. */
export class Forwarding {
  /** Kept connections to peers. */
  readonly connections = new UpstreamConnections(MAX_CONNECTIONS_PER_PEER);
  /** Connect times of peers. */
  readonly connectTimes = new ConnectTimes();
  readonly directory: PeerDirectory;
  readonly #options: ForwardingOptions;
  /** Until when peers are asked about each service (monotonic milliseconds). */
  readonly #askedUntil = new Map<string, number>();
  readonly #listeners = new Set<{ readonly service: string; readonly call: () => void }>();
  readonly #abort = new AbortController();
  #isRunning = false;
  #round: Promise<void> | undefined;

  constructor(options: ForwardingOptions) {
    this.#options = options;
    this.directory = options.directory;
    options.isolation.messages.on(['suspected', 'isolated'], ({ service }) => {
      this.#ask(service);
    });
  }

  /** True if a request for the service may be sent to a host from here now. */
  admitsDirect(service: string): boolean {
    return this.#options.isolation.admit(service);
  }

  /** True while no host of the service is within reach of this entry host. */
  isIsolated(service: string): boolean {
    return this.#options.isolation.reachOf(service) === 'isolated';
  }

  /** Returns a peer that is known to reach the service, without asking any. */
  knownPeer({ service, homeRegions, exclude }: PeerQuery): ForwardingPeer | undefined {
    const { directory, regionOf } = this.#options;
    // The request must not leave its home regions, not even on its way to a host.
    const mayUse = (failureDomain: string): boolean => {
      const region = regionOf(failureDomain);
      return homeRegions.every(regions => region !== undefined && regions.includes(region));
    };
    return directory.choose(service, mayUse, exclude);
  }

  /** Returns a peer that reaches the service; if none is known yet, waits for answers to one round of questions. */
  async choosePeer(query: PeerQuery): Promise<ForwardingPeer | undefined> {
    const known = this.knownPeer(query);
    if (known !== undefined) {
      return known;
    }
    this.#ask(query.service);
    let isRoundOver = false;
    void this.#round?.then(() => {
      isRoundOver = true;
    });
    // A peer that does not answer delays the end of the round.
    let peer = this.knownPeer(query);
    while (peer === undefined && !isRoundOver) {
      await sleep(ANSWER_POLL_MS);
      peer = this.knownPeer(query);
      isRoundOver ||= this.#abort.signal.aborted;
    }
    return peer;
  }

  /**
   * Calls `call` after each answer of a peer while the service is out of reach from here and a peer reaches it. Returns a
   * function that ends this.
   */
  whenForwardable(service: string, call: () => void): () => void {
    const listener = { service, call };
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Stops asking peers and closes the connections to them. */
  stop(): void {
    this.#abort.abort();
    this.connections.destroy();
  }

  #ask(service: string): void {
    this.#askedUntil.set(service, monotonicMs() + SUSPICION_MS);
    if (!this.#isRunning && !this.#abort.signal.aborted) {
      this.#isRunning = true;
      void this.#run().finally(() => {
        this.#isRunning = false;
      });
    }
  }

  async #run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const services = this.#services();
      if (services.length === 0) {
        return;
      }
      this.#round = this.directory.refresh(services, () => {
        this.#notifyAll();
      });
      await this.#round;
      await sleep(ROUND_MS, this.#abort.signal);
    }
  }

  // The services that peers are asked about: those that are out of reach, and those that were suspected lately.
  #services(): readonly string[] {
    const now = monotonicMs();
    for (const [service, until] of this.#askedUntil) {
      if (until < now && this.#options.isolation.reachOf(service) === 'connected') {
        this.#askedUntil.delete(service);
      }
    }
    return [...this.#askedUntil.keys()];
  }

  #notifyAll(): void {
    for (const listener of [...this.#listeners]) {
      this.#notify(listener);
    }
  }

  #notify(listener: { readonly service: string; readonly call: () => void }): void {
    if (this.isIsolated(listener.service) && this.directory.hasPeerFor(listener.service)) {
      listener.call();
    }
  }
}
