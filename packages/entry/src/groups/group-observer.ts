/** Remembers earlier states of groups, since the entries of hosts only show the current one. */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { KnownHead } from './known-group-state.js';
import type { ReplicaGroup } from './replica-groups.js';

/** Tracks the last observed head of each group, and since when groups lack members. */
export class GroupObserver {
  readonly #entryOf: (hostId: string) => HostEntry | undefined;
  readonly #heads = new Map<string, KnownHead>();
  readonly #incompleteSince = new Map<string, number>();

  constructor(entryOf: (hostId: string) => HostEntry | undefined) {
    this.#entryOf = entryOf;
  }

  /** Last observed heads, by group name. */
  get heads(): ReadonlyMap<string, KnownHead> {
    return this.#heads;
  }

  /** Times since which groups lack members (monotonic milliseconds), by group name. */
  get incompleteSince(): ReadonlyMap<string, number> {
    return this.#incompleteSince;
  }

  /** Records the current state of all groups of a service; `now` is in monotonic milliseconds. */
  observe(groups: readonly ReplicaGroup[], profile: EngineProfile, now: number): void {
    this.#observeHeads(groups, now);
    this.#observeIncomplete(groups, profile, now);
  }

  /** Records that a host has confirmed an order to leave the group; it matters only for the group's head. */
  noteHeadLeft(group: string, hostId: string): void {
    const knownHead = this.#heads.get(group);
    if (knownHead?.host.id === hostId) {
      this.#heads.set(group, { ...knownHead, left: true });
    }
  }

  #observeHeads(groups: readonly ReplicaGroup[], now: number): void {
    const currentNames = new Set(groups.map(group => group.name));
    for (const group of groups) {
      const knownHead = this.#heads.get(group.name);
      if (group.head !== undefined) {
        this.#heads.set(group.name, { host: group.head, missingSince: undefined, left: false });
      } else if (knownHead === undefined) {
        const anyMember = group.members.find(member => member !== undefined);
        if (anyMember !== undefined) {
          // The head was never observed, so its id is unknown; an empty id matches no host.
          const host = { ...anyMember, id: '' };
          this.#heads.set(group.name, { host, missingSince: now, left: false });
        }
      } else {
        this.#noteHeadMissing(group.name, knownHead, now);
      }
    }
    for (const name of this.#heads.keys()) {
      if (!currentNames.has(name)) {
        this.#heads.delete(name);
      }
    }
  }

  // A head whose current entry names another group, or none, has certainly left.
  #noteHeadMissing(group: string, knownHead: KnownHead, now: number): void {
    const entry = this.#entryOf(knownHead.host.id);
    const left = knownHead.left || (entry !== undefined && entry.membership?.group !== group);
    const missingSince = knownHead.missingSince ?? now;
    this.#heads.set(group, { host: knownHead.host, missingSince, left });
  }

  #observeIncomplete(groups: readonly ReplicaGroup[], profile: EngineProfile, now: number): void {
    const incompleteNames = new Set<string>();
    for (const group of groups) {
      const size = profile.models.find(model => model.name === group.model)?.size;
      const present = group.members.filter(member => member !== undefined).length;
      if (size === undefined || present < size) {
        incompleteNames.add(group.name);
        if (!this.#incompleteSince.has(group.name)) {
          this.#incompleteSince.set(group.name, now);
        }
      }
    }
    for (const name of this.#incompleteSince.keys()) {
      if (!incompleteNames.has(name)) {
        this.#incompleteSince.delete(name);
      }
    }
  }
}
