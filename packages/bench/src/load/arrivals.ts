/** Generates open-loop arrivals from a seed: the due time, workspace and prompt of each request. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** One request, due `atMs` after the start of the load; `workspace` is an index. */
export type Arrival = {
  readonly atMs: number;
  readonly workspace: number;
  readonly prompt: string;
  readonly tokens: number;
};

/** Parameters of generated arrivals. */
export type ArrivalOptions = {
  readonly seed: number;
  readonly seconds: number;
  /** Requests per second of each workspace. */
  readonly rates: readonly number[];
  /** Number of prompt prefixes that requests share; low indexes are drawn more often. */
  readonly sharedPrefixes: number;
  readonly prefixBlocks: number;
  readonly tokens: number;
};

const BLOCK_CHARACTERS = 256;
const TAIL_CHARACTERS = 100;
/** Arrivals come at twice the rate for the first BURST_MS of every BURST_PERIOD_MS, then more rarely. */
const BURST_PERIOD_MS = 2_000;
const BURST_MS = 400;

/** Generates the arrivals in the order of their due times. */
export function makeArrivals(options: ArrivalOptions): Arrival[] {
  const random = xoroshiro128plus(options.seed);
  const uniform = (): number => uniformFloat64(random);
  const arrivals: Arrival[] = [];
  options.rates.forEach((rate, workspace) => {
    let atMs = 0;
    for (;;) {
      const currentRate = rate * burstFactor(atMs);
      atMs += (-Math.log(1 - uniform()) / currentRate) * 1000;
      if (atMs > options.seconds * 1000) {
        return;
      }
      const prefix = skewedIndex(uniform(), options.sharedPrefixes);
      const blocks = 1 + Math.floor(uniform() * options.prefixBlocks);
      const tail = `${Math.floor(uniform() * 1e9)} `.padEnd(TAIL_CHARACTERS, 'x');
      const prompt = prefixText(prefix, blocks) + tail;
      arrivals.push({ atMs, workspace, prompt, tokens: options.tokens });
    }
  });
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

// The factor is 2 in a burst and lower after it, so that its mean over a period is 1.
function burstFactor(atMs: number): number {
  const share = BURST_MS / BURST_PERIOD_MS;
  return atMs % BURST_PERIOD_MS < BURST_MS ? 2 : (1 - 2 * share) / (1 - share);
}

// Squaring the uniform value favours low indexes.
function skewedIndex(uniform: number, count: number): number {
  return Math.floor(count * uniform * uniform);
}

function prefixText(prefix: number, blocks: number): string {
  return `prefix ${prefix} `.padEnd(BLOCK_CHARACTERS, String(prefix)).repeat(blocks);
}
