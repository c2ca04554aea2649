/** Remembers what groups looked like before, since entries only tell how they are now. */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { KnownHead } from './group-beliefs.js';
import type { ReplicaGroup } from './replica-groups.js';

/** Keeps the heads of groups, and since when groups lack members. */
export class GroupObserver {
  readonly #entryOf: (hostId: string) => HostEntry | undefined;
  readonly #heads = new Map<string, KnownHead>();
  readonly #incompleteSince = new Map<string, number>();

  constructor(entryOf: (hostId: string) => HostEntry | undefined) {
    this.#entryOf = entryOf;
  }

  /** Heads by group name. */
  get heads(): ReadonlyMap<string, KnownHead> {
    return this.#heads;
  }

  /** Since when groups lack members (monotonic milliseconds), by group name. */
  get incompleteSince(): ReadonlyMap<string, number> {
    return this.#incompleteSince;
  }

  /** Takes a look at all groups of a service. */
  observe(groups: readonly ReplicaGroup[], profile: EngineProfile, now: number): void {
    this.#observeHeads(groups, now);
    this.#observeIncomplete(groups, profile, now);
  }

  /** A head has confirmed that it left its group. */
  noteLeft(group: string, hostId: string): void {
    const known = this.#heads.get(group);
    if (known?.host.id === hostId) {
      this.#heads.set(group, { ...known, left: true });
    }
  }

  #observeHeads(groups: readonly ReplicaGroup[], now: number): void {
    const named = new Set(groups.map(group => group.name));
    for (const group of groups) {
      const known = this.#heads.get(group.name);
      if (group.head !== undefined) {
        this.#heads.set(group.name, { host: group.head, missingSince: undefined, left: false });
      } else if (known === undefined) {
        const anyMember = group.members.find(member => member !== undefined);
        if (anyMember !== undefined) {
          const host = { ...anyMember, id: '' };
          this.#heads.set(group.name, { host, missingSince: now, left: false });
        }
      } else {
        this.#noteHeadMissing(group.name, known, now);
      }
    }
    for (const name of this.#heads.keys()) {
      if (!named.has(name)) {
        this.#heads.delete(name);
      }
    }
  }

  // A head whose entry is there but names another group, or none, has left for sure.
  #noteHeadMissing(group: string, known: KnownHead, now: number): void {
    const entry = this.#entryOf(known.host.id);
    const left = known.left || (entry !== undefined && entry.membership?.group !== group);
    const missingSince = known.missingSince ?? now;
    this.#heads.set(group, { host: known.host, missingSince, left });
  }

  #observeIncomplete(groups: readonly ReplicaGroup[], profile: EngineProfile, now: number): void {
    const named = new Set<string>();
    for (const group of groups) {
      const size = profile.models.find(model => model.name === group.model)?.size;
      const present = group.members.filter(member => member !== undefined).length;
      if (size === undefined || present < size) {
        named.add(group.name);
        if (!this.#incompleteSince.has(group.name)) {
          this.#incompleteSince.set(group.name, now);
        }
      }
    }
    for (const name of this.#incompleteSince.keys()) {
      if (!named.has(name)) {
        this.#incompleteSince.delete(name);
      }
    }
  }
}
