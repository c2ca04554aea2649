/**
 * Finds the open groups that a member has left, for another group or for none.
 *
 * The heads of such groups still accept requests, but none of these requests makes progress. A missing entry alone
 * does not count: a host that is cut off from the store loses its entry and continues to serve. In the users'
 * workloads this happens to a fifth of all hosts at a time, among them members of most groups.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import { monotonicMs } from '../server/time.js';
import type { ReplicaGroup } from './replica-groups.js';
import { headState } from './replica-groups.js';

/** How long a result is cached, in milliseconds: hundreds of peers ask for it each second. */
const MAX_AGE_MS = 100;

/** Sources of groups and entries for {@link AbandonedGroups}. */
export type AbandonedGroupsOptions = {
  /** Groups of all services, as reported by their members. */
  readonly groups: () => readonly ReplicaGroup[];
  /** The entry of a host; undefined when it has none. */
  readonly entryOf: (hostId: string) => HostEntry | undefined;
  /** Clock in monotonic milliseconds; replaced in tests. */
  readonly now?: () => number;
};

/** Detects groups that a member has left. Remembers earlier members, since entries only name the current group. */
export class AbandonedGroups {
  readonly #options: AbandonedGroupsOptions;
  /** Host ids by group and rank. */
  #members = new Map<string, Map<number, string>>();
  #names: ReadonlySet<string> = new Set();
  #computedAt = -Infinity;

  constructor(options: AbandonedGroupsOptions) {
    this.#options = options;
  }

  /** The names of these groups, at most 100 ms old. */
  get names(): ReadonlySet<string> {
    const now = (this.#options.now ?? monotonicMs)();
    if (now - this.#computedAt > MAX_AGE_MS) {
      this.#computedAt = now;
      this.#refresh();
    }
    return this.#names;
  }

  #refresh(): void {
    const members = new Map<string, Map<number, string>>();
    const lacking = new Set<string>();
    for (const group of this.#options.groups()) {
      const knownMembers = this.#members.get(group.name) ?? new Map<number, string>();
      group.members.forEach((member, rank) => {
        if (member !== undefined) {
          knownMembers.set(rank, member.id);
        }
      });
      members.set(group.name, knownMembers);
      if (headState(group) === 'open' && this.#hasMemberLeft(group, knownMembers)) {
        lacking.add(group.name);
      }
    }
    this.#members = members;
    this.#names = lacking;
  }

  #hasMemberLeft(group: ReplicaGroup, knownMembers: ReadonlyMap<number, string>): boolean {
    return [...knownMembers].some(([rank, id]) => {
      const entry = group.members[rank] === undefined ? this.#options.entryOf(id) : undefined;
      return entry !== undefined && entry.membership?.group !== group.name;
    });
  }
}
