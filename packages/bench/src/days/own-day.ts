/** Makes a day of the project's own from a site file and a seed. Pure. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { DisruptionKind } from './disruptions.js';
import { DISRUPTION_KINDS } from './disruptions.js';

/** Disruptions of one day; kinds are drawn in pairs, and each of a pair comes twice. */
const PAIRS = 2;
const TIMES = 2;
const LENGTH_TENTHS = 340;
const TENTHS = 10;

/**
 * The text of a day: the frame and traffic of the site's first day, and disruptions drawn from
 * `seed`, some at its very start and end.
 */
export function ownDay(siteText: string, seed: number): string {
  const frame = firstDay(siteText);
  const random = xoroshiro128plus(seed);
  const draw = (from: number, to: number): number => uniformInt(random, from, to);
  const kinds: DisruptionKind[] = [];
  for (let pair = 0; pair < PAIRS * 2; pair++) {
    kinds.push(DISRUPTION_KINDS[draw(0, DISRUPTION_KINDS.length - 1)] as DisruptionKind);
  }
  const lines = { plan: [] as string[], faults: [] as string[] };
  for (const kind of kinds) {
    for (let time = 0; time < TIMES; time++) {
      const at = draw(0, LENGTH_TENTHS) / TENTHS;
      lines[kind.list].push(`  { at = ${at}, kind = "${kind.kind}", ${kind.fields} },`);
    }
  }
  return frame
    .replace(/^name = .*$/m, `name = "own-${seed}"`)
    .replace(/^seed = .*$/m, `seed = ${seed}`)
    .replace(/^plan = \[\n/m, `plan = [\n${lines.plan.join('\n')}\n`)
    .replace(/^faults = \[\n/m, `faults = [\n${lines.faults.join('\n')}\n`);
}

// The day's lines as they stand in the site file, without the next day.
function firstDay(siteText: string): string {
  const [, first] = siteText.split(/^\[\[day\]\]$/m);
  if (first === undefined) {
    throw new Error('the site file holds no day');
  }
  return `[[day]]${first}`;
}
