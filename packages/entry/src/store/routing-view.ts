/**
 * The upstream hosts that an entry host needs to route requests: heads of replica groups and hosts of plain
 * services. The other members of groups, nine of ten entries, matter only to the lease holder and to the entry
 * hosts that may become the next one.
 */
import type { KindCache } from './kind-cache.js';
import type { KindAnswer } from './kind-reader.js';
import type { ObjectChange, StoredObject } from './object-store.js';

/** Answers reads of the routable hosts from a cache of all hosts; each answer is computed once per revision. */
export class RoutingView {
  readonly #cache: KindCache;
  readonly #isRoutable: (name: string) => boolean;
  /** Names that were in an answer: peers that received them are sent a removal when they are no longer routable. */
  readonly #sentNames = new Set<string>();
  readonly #answers = new Map<number | undefined, KindAnswer | undefined>();
  #revision: number | undefined;

  /** `isRoutable` decides by a host's name, as of the cache's newest revision. */
  constructor(cache: KindCache, isRoutable: (name: string) => boolean) {
    this.#cache = cache;
    this.#isRoutable = isRoutable;
    // Peers that followed this host before it restarted may have received the hosts that are routable now.
    this.#filter(cache.answerSince(undefined));
  }

  /** The changes of the routable hosts after `revision`, or their list without one. */
  answerSince(revision: number | undefined): KindAnswer | undefined {
    if (this.#revision !== this.#cache.revision) {
      this.#answers.clear();
      this.#revision = this.#cache.revision;
    }
    if (!this.#answers.has(revision)) {
      this.#answers.set(revision, this.#filter(this.#cache.answerSince(revision)));
    }
    return this.#answers.get(revision);
  }

  #filter(answer: KindAnswer | undefined): KindAnswer | undefined {
    switch (answer?.kind) {
      case 'list': {
        const objects = answer.list.objects.filter(object => this.#includes(object));
        return { kind: 'list', list: { ...answer.list, objects } };
      }
      case 'changes':
        return { ...answer, changes: answer.changes.flatMap(change => this.#filterChange(change)) };
      default:
        return answer;
    }
  }

  #filterChange(change: ObjectChange): readonly ObjectChange[] {
    const { name, revision } = change.object;
    if (!change.deleted && this.#includes(change.object)) {
      return [change];
    }
    const removal = { object: { name, revision, value: null }, deleted: true };
    return this.#sentNames.has(name) ? [removal] : [];
  }

  #includes({ name }: StoredObject): boolean {
    const routable = this.#isRoutable(name);
    if (routable) {
      this.#sentNames.add(name);
    }
    return routable;
  }
}
