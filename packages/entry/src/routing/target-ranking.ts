/**
 * Ranks the targets of a service and model by the preference of an entry host; the first ones are its subset. Each
 * entry host computes its ranking by itself, from the registered members (the entry hosts) and the targets. Pure,
 * except for a cache of weights.
 *
 * In each round, every member picks the target with its greatest rendezvous weight among the targets that are not yet
 * full, that is, not yet in as many subsets as `HEADROOM` allows. Each target is then in about equally many subsets,
 * and few subsets change when a target or a member is removed.
 */
import { rendezvousWeight } from './rendezvous.js';

/** Number of first places that are balanced over all members; later places follow by weight alone. */
const BALANCED_PLACES = 8;
/**
 * Number of subsets that one target may be in, as a multiple of the mean. At exactly the mean, the removal of one
 * target would change the picks of many members. The target chooser compensates for the remaining imbalance by load.
 */
const HEADROOM = 1.1;
/**
 * Number of subsets that one target may be in beyond that. Where each target is in only a few subsets, a multiple of
 * the mean leaves no room: a member that finds its target full displaces another member from the next one, and so on.
 */
const SPARE_USES = 1;
/**
 * Number of pairs of a member and a target beyond which targets are ranked by weight alone: balancing more pairs would
 * block the event loop for more than a few milliseconds at each change of the targets.
 */
const MAX_BALANCED_PAIRS = 40_000;
/** Number of targets whose weights are cached; the cache is cleared when it holds more. */
const MAX_CACHED_TARGETS = 1_000;
/** Rendezvous key by which the members themselves are ordered; no target has this name. */
const MEMBER_ORDER_KEY = '';
/** Subtracted from the weight of a full target: more than any weight, so that full targets come after all others. */
const FULL_PENALTY = 2 ** 33;

/** Ranks targets for one entry host, with a fixed list of members. */
export class TargetRanking {
  readonly #members: readonly string[];
  readonly #selfIndex: number;
  /** By target, the weight of each member, in the order of `#members`. */
  readonly #weights = new Map<string, Float64Array>();

  /** `self` need not be among the members, and the list may be empty. */
  constructor(self: string, members: readonly string[]) {
    this.#members = commonOrder(self, members);
    this.#selfIndex = this.#members.indexOf(self);
  }

  /** The targets by preference, the most preferred first. */
  order(targets: readonly string[]): readonly string[] {
    if (this.#weights.size > MAX_CACHED_TARGETS) {
      this.#weights.clear();
    }
    const canBalance = this.#members.length * targets.length <= MAX_BALANCED_PAIRS;
    const balanced = canBalance ? this.#balanced(targets) : [];
    const self = this.#members[this.#selfIndex] ?? '';
    return [...balanced, ...byWeight(self, targets).filter(target => !balanced.includes(target))];
  }

  #balanced(targets: readonly string[]): readonly string[] {
    const weights = targets.map(target => this.#weightsOf(target));
    const uses = new Uint32Array(targets.length);
    const picks = this.#members.map((): number[] => []);
    const places = Math.min(BALANCED_PLACES, targets.length);
    for (let place = 1; place <= places; place += 1) {
      const limit = maxUses(place, this.#members.length, targets.length);
      picks.forEach((picked, member) => {
        const best = nextTarget(weights, member, picked, uses, limit);
        picked.push(best);
        uses[best] = (uses[best] ?? 0) + 1;
      });
    }
    return (picks[this.#selfIndex] ?? []).map(index => targets[index] ?? '');
  }

  #weightsOf(target: string): Float64Array {
    let weights = this.#weights.get(target);
    if (weights === undefined) {
      weights = Float64Array.from(this.#members, member => rendezvousWeight(member, target));
      this.#weights.set(target, weights);
    }
    return weights;
  }
}

// Number of subsets that one target may be in after the place is filled. The spare use is left out where a member may
// find every target full or already picked by it: such a member takes a full target.
function maxUses(place: number, members: number, targets: number): number {
  const picks = place * members;
  const limit = Math.ceil((picks / targets) * HEADROOM);
  const unpicked = targets - place + 1;
  return unpicked * (limit + SPARE_USES) > picks ? limit + SPARE_USES : limit;
}

// Index of the next target of the member: among those that it has not picked yet, the one with the greatest weight that
// is not full, or, if all are full, the one with the greatest weight.
function nextTarget(
  weights: readonly Float64Array[],
  member: number,
  picked: readonly number[],
  uses: Uint32Array,
  limit: number,
): number {
  let best = -1;
  let bestWeight = -Infinity;
  weights.forEach((ofTarget, index) => {
    const isFull = (uses[index] ?? 0) >= limit;
    const weight = (ofTarget[member] ?? 0) - (isFull ? FULL_PENALTY : 0);
    if (weight > bestWeight && !picked.includes(index)) {
      best = index;
      bestWeight = weight;
    }
  });
  return best;
}

function byWeight(member: string, names: readonly string[]): readonly string[] {
  return names
    .map(name => ({ name, weight: rendezvousWeight(member, name) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}

// The members in an order that is the same at every entry host. An entry host that is not registered yet picks last, so
// that it takes no place of another member.
function commonOrder(self: string, members: readonly string[]): readonly string[] {
  const ordered = byWeight(MEMBER_ORDER_KEY, members);
  return members.includes(self) ? ordered : [...ordered, self];
}
