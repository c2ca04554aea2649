/**
 * The order in which an entry host uses the targets of a service and model: the first ones are its
 * subset. Each entry host computes it alone, from the registered members and the targets. Pure, but
 * for weights that are kept.
 *
 * Members take one target after another, each by rendezvous weight among those that are not full: so
 * each target is in about equally many subsets, and few change when a target or a member goes.
 */
import { rendezvousWeight } from './rendezvous.js';

/** Places of the order that are balanced over all members; later ones are by weight alone. */
const BALANCED_PLACES = 8;
/**
 * Subsets that one target may be in, as a multiple of the mean. With none to spare, a target that goes
 * would push the choices of other members about; the rest of the balance is the chooser's.
 */
const HEADROOM = 1.1;
/**
 * Pairs of members and targets beyond which the order is by weight alone, so that a change of targets
 * costs a small host no more than a few milliseconds. With so many pairs chance balances well by itself.
 */
const MOST_PAIRS = 40_000;
/** Targets whose weights are kept; beyond, all are computed anew. */
const MOST_KEPT = 1_000;
/** Stands for the members themselves where they are put into one order; no target has this name. */
const MEMBERS = '';

/** Orders of one entry host among given members. */
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
      const most = Math.ceil(((place * this.#ordered.length) / targets.length) * HEADROOM);
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

// Index of the target with the greatest weight that is not full; of all, where the others are full.
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
    // A full one comes behind all others.
    const weight = (column[member] ?? 0) - (isFull ? FULL : 0);
    if (weight > bestWeight && !before.includes(index)) {
      best = index;
      bestWeight = weight;
    }
  });
  return best;
}

/** Above the greatest weight. */
const FULL = 2 ** 33;

function byWeight(member: string, names: readonly string[]): readonly string[] {
  return names
    .map(name => ({ name, weight: rendezvousWeight(member, name) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}

// All members in one order; whoever is not registered yet comes last and pushes nobody away.
function inOneOrder(self: string, members: readonly string[]): readonly string[] {
  const ordered = byWeight(MEMBERS, members);
  return members.includes(self) ? ordered : [...ordered, self];
}
