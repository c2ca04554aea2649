/** Open-loop arrivals of a seed: when each request is due, from whom, with which prompt. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** One request that is due at a time after the start. */
export type Arrival = {
  readonly atMs: number;
  readonly workspace: number;
  readonly prompt: string;
  readonly tokens: number;
};

/** Shape of a load. */
export type ArrivalOptions = {
  readonly seed: number;
  readonly seconds: number;
  /** Requests a second of each workspace. */
  readonly rates: readonly number[];
  /** Prompt starts that requests share; a few are popular. */
  readonly sharedPrefixes: number;
  readonly prefixBlocks: number;
  readonly tokens: number;
};

const BLOCK_CHARACTERS = 256;
const TAIL_CHARACTERS = 100;
/** Share of the seconds in which arrivals come twice as often, and their pause after it. */
const BURST_PERIOD_MS = 2_000;
const BURST_MS = 400;

/** Makes the arrivals, in the order in which they are due. */
export function makeArrivals(options: ArrivalOptions): Arrival[] {
  const random = xoroshiro128plus(options.seed);
  const uniform = (): number => uniformFloat64(random);
  const arrivals: Arrival[] = [];
  options.rates.forEach((rate, workspace) => {
    let atMs = 0;
    for (;;) {
      const now = rate * burstFactor(atMs);
      atMs += (-Math.log(1 - uniform()) / now) * 1000;
      if (atMs > options.seconds * 1000) {
        return;
      }
      const prefix = popular(uniform(), options.sharedPrefixes);
      const blocks = 1 + Math.floor(uniform() * options.prefixBlocks);
      const tail = `${Math.floor(uniform() * 1e9)} `.padEnd(TAIL_CHARACTERS, 'x');
      const prompt = prefixText(prefix, blocks) + tail;
      arrivals.push({ atMs, workspace, prompt, tokens: options.tokens });
    }
  });
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

// The mean over a period stays 1.
function burstFactor(atMs: number): number {
  const share = BURST_MS / BURST_PERIOD_MS;
  return atMs % BURST_PERIOD_MS < BURST_MS ? 2 : (1 - 2 * share) / (1 - share);
}

function popular(uniform: number, count: number): number {
  return Math.floor(count * uniform * uniform);
}

function prefixText(prefix: number, blocks: number): string {
  return `prefix ${prefix} `.padEnd(BLOCK_CHARACTERS, String(prefix)).repeat(blocks);
}
