/**
 * The part of the hosts that an entry host needs to route requests: heads of groups and hosts of plain
 * services. The other members of groups, nine of ten entries, matter to the host that gives orders
 * and to those that may follow it in that.
 */
import type { KindCache } from './kind-cache.js';
import type { KindAnswer } from './kind-reader.js';
import type { ObjectChange, StoredObject } from './object-store.js';

/** Answers questions for the routable hosts out of a cache of all; each answer is made once. */
export class RoutingView {
  readonly #cache: KindCache;
  readonly #isRoutable: (name: string) => boolean;
  /** Names that were in an answer: whoever has them is told when they are not routable any more. */
  readonly #told = new Set<string>();
  readonly #answers = new Map<number | undefined, KindAnswer | undefined>();
  #revision: number | undefined;

  /** `isRoutable` tells of a host by its name, as of the cache's newest revision. */
  constructor(cache: KindCache, isRoutable: (name: string) => boolean) {
    this.#cache = cache;
    this.#isRoutable = isRoutable;
    // Whoever has followed this host before it started again knows those that are routable now.
    this.#narrowed(cache.answerSince(undefined));
  }

  /** What somebody lacks who knows the routable hosts as of `revision`; the list without one. */
  answerSince(revision: number | undefined): KindAnswer | undefined {
    if (this.#revision !== this.#cache.revision) {
      this.#answers.clear();
      this.#revision = this.#cache.revision;
    }
    if (!this.#answers.has(revision)) {
      this.#answers.set(revision, this.#narrowed(this.#cache.answerSince(revision)));
    }
    return this.#answers.get(revision);
  }

  #narrowed(answer: KindAnswer | undefined): KindAnswer | undefined {
    switch (answer?.kind) {
      case 'list': {
        const objects = answer.list.objects.filter(object => this.#tells(object));
        return { kind: 'list', list: { ...answer.list, objects } };
      }
      case 'changes':
        return { ...answer, changes: answer.changes.flatMap(change => this.#changeOf(change)) };
      default:
        return answer;
    }
  }

  #changeOf(change: ObjectChange): readonly ObjectChange[] {
    const { name, revision } = change.object;
    if (!change.deleted && this.#tells(change.object)) {
      return [change];
    }
    const gone = { object: { name, revision, value: null }, deleted: true };
    return this.#told.has(name) ? [gone] : [];
  }

  #tells({ name }: StoredObject): boolean {
    const routable = this.#isRoutable(name);
    if (routable) {
      this.#told.add(name);
    }
    return routable;
  }
}
