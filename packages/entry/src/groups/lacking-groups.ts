/**
 * The open groups of which a member has left for another group, or for none.
 *
 * Their heads still take requests, and none of these moves on. A missing entry alone does not count: a
 * host that is cut off from the store loses its entry and serves on; on the users' days that is a
 * fifth of all hosts at a time, and a part of most groups.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import { monotonicMs } from '../server/time.js';
import type { ReplicaGroup } from './replica-groups.js';
import { headState } from './replica-groups.js';

/** Time for which the answer is used again, in milliseconds: hundreds of followers ask each second. */
const AGE_MS = 100;

/** Where the groups and entries are looked up. */
export type LackingGroupsOptions = {
  /** Groups of all services, as their members tell. */
  readonly groups: () => readonly ReplicaGroup[];
  /** Entry of a host, where there is one. */
  readonly entryOf: (hostId: string) => HostEntry | undefined;
  /** Monotonic milliseconds; for tests. */
  readonly now?: () => number;
};

/** Remembers the members of groups, since entries only tell where they are now. */
export class LackingGroups {
  readonly #options: LackingGroupsOptions;
  /** Host ids by group and rank. */
  #members = new Map<string, Map<number, string>>();
  #names: ReadonlySet<string> = new Set();
  #at = -Infinity;

  constructor(options: LackingGroupsOptions) {
    this.#options = options;
  }

  /** The names of these groups as of a moment ago at most. */
  get names(): ReadonlySet<string> {
    const now = (this.#options.now ?? monotonicMs)();
    if (now - this.#at > AGE_MS) {
      this.#at = now;
      this.#look();
    }
    return this.#names;
  }

  #look(): void {
    const members = new Map<string, Map<number, string>>();
    const lacking = new Set<string>();
    for (const group of this.#options.groups()) {
      const known = this.#members.get(group.name) ?? new Map<number, string>();
      group.members.forEach((member, rank) => {
        if (member !== undefined) {
          known.set(rank, member.id);
        }
      });
      members.set(group.name, known);
      if (headState(group) === 'open' && this.#hasLeaver(group, known)) {
        lacking.add(group.name);
      }
    }
    this.#members = members;
    this.#names = lacking;
  }

  #hasLeaver(group: ReplicaGroup, known: ReadonlyMap<number, string>): boolean {
    return [...known].some(([rank, id]) => {
      const entry = group.members[rank] === undefined ? this.#options.entryOf(id) : undefined;
      return entry !== undefined && entry.membership?.group !== group.name;
    });
  }
}
