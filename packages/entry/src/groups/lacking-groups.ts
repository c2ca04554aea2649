/** The groups that serve although a member is missing, worked out once for all that ask. */
import { monotonicMs } from '../server/time.js';
import type { ReplicaGroup } from './replica-groups.js';
import { headState } from './replica-groups.js';

/** Time for which the answer is used again, in milliseconds: hundreds of followers ask each second. */
const AGE_MS = 100;

/** Names of open groups that lack a member. */
export class LackingGroups {
  readonly #groups: () => readonly ReplicaGroup[];
  readonly #lacksMember: (group: ReplicaGroup) => boolean;
  #names: readonly string[] = [];
  #at = -Infinity;

  /** `groups` gives the groups of all services. */
  constructor(
    groups: () => readonly ReplicaGroup[],
    lacksMember: (group: ReplicaGroup) => boolean,
  ) {
    this.#groups = groups;
    this.#lacksMember = lacksMember;
  }

  /** The names as of a moment ago at most. */
  names(): readonly string[] {
    const now = monotonicMs();
    if (now - this.#at > AGE_MS) {
      this.#names = this.#groups()
        .filter(group => headState(group) === 'open' && this.#lacksMember(group))
        .map(({ name }) => name);
      this.#at = now;
    }
    return this.#names;
  }
}
