/**
 * Knows which peers can send requests to upstream hosts that this entry host does not reach.
 *
 * Peers are asked only while some service is out of reach, a few at a time, so that the number of messages does not
 * grow with the number of entry hosts. Keeps state; the questions are sent by a function.
 */
import type { Member } from '../peers/member.js';
import type { ForwardingStatus } from '../peers/peer-messages.js';
import { monotonicMs } from '../server/time.js';

/** A peer that takes forwarded requests. */
export type ForwardingPeer = {
  readonly name: string;
  readonly ip: string;
  readonly port: number;
  readonly failureDomain: string;
};

/** Options of {@link PeerDirectory}. */
export type PeerDirectoryOptions = {
  readonly self: Pick<Member, 'name' | 'failureDomain'>;
  /** Returns all registered entry hosts. */
  readonly members: () => readonly Member[];
  /** Asks a peer which of the services it reaches; logs the failure and rejects if it does not answer or cannot. */
  readonly ask: (member: Member, services: readonly string[]) => Promise<ForwardingStatus>;
  /** Clock in monotonic milliseconds; replaced in tests. */
  readonly now?: () => number;
  /** Uniform in [0, 1); replaced in tests. */
  readonly random?: () => number;
};

/** Most peers that are asked in one round: half in the own failure domain, if it has as many. */
const MAX_ASKED = 8;
/** Age from which a status is not used any more, in milliseconds. */
const STATUS_VALID_MS = 1_200;

/** The last status of a peer, and the requests that this entry host has in progress there. */
type KnownPeer = {
  readonly peer: ForwardingPeer;
  readonly status: ForwardingStatus;
  /** When it was received (monotonic milliseconds). */
  readonly at: number;
};

/** The peers that have answered lately. */
export class PeerDirectory {
  readonly #options: PeerDirectoryOptions;
  readonly #now: () => number;
  readonly #random: () => number;
  readonly #known = new Map<string, KnownPeer>();
  readonly #failedAt = new Map<string, number>();
  readonly #inProgress = new Map<string, number>();

  constructor(options: PeerDirectoryOptions) {
    this.#options = options;
    this.#now = options.now ?? monotonicMs;
    this.#random = options.random ?? Math.random;
  }

  /** Asks some peers for their status; resolves when all have answered or failed. `onAnswer` is called after each answer. */
  async refresh(services: readonly string[], onAnswer = (): void => undefined): Promise<void> {
    const asked = this.#nextAsked(services);
    await Promise.all(asked.map(member => this.#ask(member, services, onAnswer)));
  }

  /**
   * Chooses a peer that reaches the service: in the own failure domain if there is one, and of two random ones the less
   * loaded. `mayUse` excludes failure domains that the request must not enter.
   */
  choose(
    service: string,
    mayUse: (failureDomain: string) => boolean,
    exclude: ReadonlySet<string>,
  ): ForwardingPeer | undefined {
    const usable = this.#usable(service).filter(
      ({ peer }) => mayUse(peer.failureDomain) && !exclude.has(peer.name),
    );
    const near = usable.filter(
      ({ peer }) => peer.failureDomain === this.#options.self.failureDomain,
    );
    const candidates = near.length > 0 ? near : usable;
    const [first, second] = this.#shuffled(candidates);
    const isSecondLess =
      first !== undefined && second !== undefined && this.#loadOf(second) < this.#loadOf(first);
    return (isSecondLess ? second : first)?.peer;
  }

  /** True if a peer reaches the service. */
  hasPeerFor(service: string): boolean {
    return this.#usable(service).length > 0;
  }

  /** Leaves a peer out until it has answered the next question: it could not be connected to. */
  noteFailed(name: string): void {
    this.#failedAt.set(name, this.#now());
  }

  /** Counts a request that is forwarded to a peer. */
  noteSent(name: string): void {
    this.#inProgress.set(name, (this.#inProgress.get(name) ?? 0) + 1);
  }

  /** Counts the end of a forwarded request. */
  noteEnded(name: string): void {
    const left = (this.#inProgress.get(name) ?? 0) - 1;
    if (left > 0) {
      this.#inProgress.set(name, left);
    } else {
      this.#inProgress.delete(name);
    }
  }

  #usable(service: string): readonly KnownPeer[] {
    const now = this.#now();
    return [...this.#known.values()].filter(
      ({ peer, status, at }) =>
        now - at < STATUS_VALID_MS &&
        status.accepts &&
        status.reached.includes(service) &&
        at > (this.#failedAt.get(peer.name) ?? -Infinity),
    );
  }

  #loadOf({ peer, status }: KnownPeer): number {
    return status.load + (this.#inProgress.get(peer.name) ?? 0);
  }

  // Peers that reach a service are asked again, the other places go to random ones.
  #nextAsked(services: readonly string[]): readonly Member[] {
    const { self, members } = this.#options;
    const others = this.#shuffled(members().filter(({ name }) => name !== self.name));
    const usable = new Set(
      services.flatMap(service => this.#usable(service).map(({ peer }) => peer.name)),
    );
    const isUsable = ({ name }: Member): boolean => usable.has(name);
    const ordered = [...others.filter(isUsable), ...others.filter(other => !isUsable(other))];
    const near = ordered.filter(({ failureDomain }) => failureDomain === self.failureDomain);
    const far = ordered.filter(({ failureDomain }) => failureDomain !== self.failureDomain);
    const nearCount = Math.max(MAX_ASKED / 2, MAX_ASKED - far.length);
    const asked = near.slice(0, nearCount);
    return [...asked, ...far.slice(0, MAX_ASKED - asked.length)];
  }

  async #ask(member: Member, services: readonly string[], onAnswer: () => void): Promise<void> {
    const { name, address, failureDomain } = member;
    try {
      const status = await this.#options.ask(member, services);
      const ip = address.slice(0, address.lastIndexOf(':'));
      const peer = { name, ip, port: status.port, failureDomain };
      this.#known.set(name, { peer, status, at: this.#now() });
      onAnswer();
    } catch {
      // Logged by `ask`. The peer is out of reach, or runs an older version that knows no forwarding.
      this.#known.delete(name);
    }
  }

  #shuffled<T>(values: readonly T[]): readonly T[] {
    return values
      .map(value => ({ value, rank: this.#random() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ value }) => value);
  }
}
