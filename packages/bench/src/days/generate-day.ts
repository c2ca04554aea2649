/** Generates a test day from a site file and a seed. Without side effects. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { DisruptionKind } from './disruptions.js';
import { DISRUPTION_KINDS } from './disruptions.js';

/** A day has two pairs of disruption kinds, and each kind occurs twice. */
const PAIRS = 2;
const TIMES_PER_KIND = 2;
/** Latest time of a disruption, in tenths of a second. */
const DAY_LENGTH_TENTHS = 340;
const TENTHS_PER_SECOND = 10;

/**
 * Returns the text of a day: the frame and traffic of the site's first day, with disruptions drawn
 * from `seed` over the whole day, its very start and end included.
 */
export function generateDay(siteText: string, seed: number): string {
  const frame = firstDay(siteText);
  const random = xoroshiro128plus(seed);
  const draw = (from: number, to: number): number => uniformInt(random, from, to);
  const kinds: DisruptionKind[] = [];
  for (let pair = 0; pair < PAIRS * 2; pair++) {
    kinds.push(DISRUPTION_KINDS[draw(0, DISRUPTION_KINDS.length - 1)] as DisruptionKind);
  }
  const lines = { plan: [] as string[], faults: [] as string[] };
  for (const kind of kinds) {
    for (let time = 0; time < TIMES_PER_KIND; time++) {
      const at = draw(0, DAY_LENGTH_TENTHS) / TENTHS_PER_SECOND;
      lines[kind.list].push(`  { at = ${at}, kind = "${kind.kind}", ${kind.fields} },`);
    }
  }
  return frame
    .replace(/^name = .*$/m, `name = "own-${seed}"`)
    .replace(/^seed = .*$/m, `seed = ${seed}`)
    .replace(/^plan = \[\n/m, `plan = [\n${lines.plan.join('\n')}\n`)
    .replace(/^faults = \[\n/m, `faults = [\n${lines.faults.join('\n')}\n`);
}

// Returns the lines of the first day of the site file, without the next day.
function firstDay(siteText: string): string {
  const [, first] = siteText.split(/^\[\[day\]\]$/m);
  if (first === undefined) {
    throw new Error('the site file has no [[day]] section');
  }
  return `[[day]]${first}`;
}
