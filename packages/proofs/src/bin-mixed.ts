/** `npm run test:mixed -- --seed N --minutes M`: runs mixed sessions for M minutes. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { runMixed } from './sessions/mixed-session.js';

/** Upper limit of the commands in one session. */
const COMMANDS = 25;
/** Upper limit of the sessions; the time limit normally applies first. */
const MAX_RUNS = 10_000;
const MS_PER_MINUTE = 60_000;

const options = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1 })
  .option('minutes', { type: 'number', default: 1 })
  .strict()
  .parseAsync();

console.log(`seed ${options.seed}, ${options.minutes} minutes`);
try {
  const report = await runMixed({
    seed: options.seed,
    runs: MAX_RUNS,
    commands: COMMANDS,
    maxMs: options.minutes * MS_PER_MINUTE,
  });
  console.log(`${report.deliveries} requests and ${report.keys} keys; no breach`);
  for (const [title, counts] of [
    ['failures', report.failures],
    ['outcomes', report.outcomes],
  ] as const) {
    const rows = [...counts]
      .sort()
      .map(([name, count]) => `  ${String(count).padStart(6)} ${name}`);
    console.log([title, ...rows].join('\n'));
  }
  process.exit(0);
} catch (error) {
  console.error((error as Error).message);
  process.exit(1);
}
