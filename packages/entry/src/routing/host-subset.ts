/**
 * The order in which an entry host prefers the targets of a service and model: the first ones are its
 * subset. Each entry host computes it alone, from the registered members (the entry hosts) and the
 * targets. Pure, but for a cache of weights.
 *
 * In rounds, each member picks the target with its greatest rendezvous weight among those that are not
 * yet full, that is, in as many subsets as `HEADROOM` allows. So each target is in about equally many
 * subsets, and few subsets change when a target or a member goes.
 */
import { rendezvousWeight } from './rendezvous.js';

/** First places of the order, which are balanced over all members; later ones follow by weight alone. */
const BALANCED_PLACES = 8;
/**
 * Subsets that one target may be in, as a multiple of the mean. At exactly the mean, one target that goes
 * would change the picks of many members; what imbalance is left the target chooser evens out by load.
 */
const HEADROOM = 1.1;
/**
 * Subsets that one target may be in beyond that. Where targets are in a few subsets each, a multiple of the mean
 * leaves no room: a member that finds its target full pushes another one off the next, and so on in a chain.
 */
const SPARE_USES = 1;
/**
 * Pairs of members and targets beyond which the order is by weight alone: balancing more would block the
 * event loop for more than a few milliseconds at each change of the targets.
 */
const MOST_PAIRS = 40_000;
/** Targets whose weights are cached; beyond, the cache is cleared. */
const MOST_KEPT = 1_000;
/** Key by which the members themselves are ordered; no target has this name. */
const MEMBERS = '';
/** Taken off the weight of a full target: more than any weight, so that it comes after all others. */
const FULL_PENALTY = 2 ** 33;

/** Computes the orders of one entry host, for a fixed list of members. */
export class HostSubset {
  readonly #ordered: readonly string[];
  readonly #self: number;
  /** Weight of each member, in their order, by target. */
  readonly #weights = new Map<string, Float64Array>();

  /** `self` need not be among the members, and they may be none. */
  constructor(self: string, members: readonly string[]) {
    this.#ordered = inOneOrder(self, members);
    this.#self = this.#ordered.indexOf(self);
  }

  /** The targets by preference, best first. */
  order(targets: readonly string[]): readonly string[] {
    if (this.#weights.size > MOST_KEPT) {
      this.#weights.clear();
    }
    const isSmall = this.#ordered.length * targets.length <= MOST_PAIRS;
    const balanced = isSmall ? this.#balanced(targets) : [];
    const self = this.#ordered[this.#self] ?? '';
    return [...balanced, ...byWeight(self, targets).filter(target => !balanced.includes(target))];
  }

  #balanced(targets: readonly string[]): readonly string[] {
    const columns = targets.map(target => this.#column(target));
    const uses = new Uint32Array(targets.length);
    const taken = this.#ordered.map((): number[] => []);
    const places = Math.min(BALANCED_PLACES, targets.length);
    for (let place = 1; place <= places; place += 1) {
      const most = mostUses(place, this.#ordered.length, targets.length);
      taken.forEach((before, member) => {
        const best = bestOf(columns, member, before, uses, most);
        before.push(best);
        uses[best] = (uses[best] ?? 0) + 1;
      });
    }
    return (taken[this.#self] ?? []).map(index => targets[index] ?? '');
  }

  #column(target: string): Float64Array {
    let column = this.#weights.get(target);
    if (column === undefined) {
      column = Float64Array.from(this.#ordered, member => rendezvousWeight(member, target));
      this.#weights.set(target, column);
    }
    return column;
  }
}

// The spare use is kept back where a member may find no target that is neither full nor its own already: it takes a
// full one then.
function mostUses(place: number, members: number, targets: number): number {
  const picks = place * members;
  const most = Math.ceil((picks / targets) * HEADROOM);
  const others = targets - place + 1;
  return others * (most + SPARE_USES) > picks ? most + SPARE_USES : most;
}

// Index of the member's next target: the one with the greatest weight that is not full, or, where all are
// full, the one with the greatest weight.
function bestOf(
  columns: readonly Float64Array[],
  member: number,
  before: readonly number[],
  uses: Uint32Array,
  most: number,
): number {
  let best = -1;
  let bestWeight = -Infinity;
  columns.forEach((column, index) => {
    const isFull = (uses[index] ?? 0) >= most;
    const weight = (column[member] ?? 0) - (isFull ? FULL_PENALTY : 0);
    if (weight > bestWeight && !before.includes(index)) {
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

// The members in an order that is the same at every entry host. This one, where it is not registered yet,
// picks last, so that it takes no other member's place.
function inOneOrder(self: string, members: readonly string[]): readonly string[] {
  const ordered = byWeight(MEMBERS, members);
  return members.includes(self) ? ordered : [...ordered, self];
}
