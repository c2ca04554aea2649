/** `npm run test:suspensions -- --seed N --seeds M --case TEXT`: runs the suspension cases. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { SUSPENSION_CASES } from './suspensions/suspension-cases.js';
import { runSuspensions } from './suspensions/suspension-session.js';

const MAX_SHOWN_FAILURES = 8;

const options = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1 })
  .option('seeds', { type: 'number', default: 1 })
  .option('rounds', { type: 'number', default: 6 })
  .option('case', {
    type: 'string',
    default: '',
    describe: 'part of the names of the cases to run',
  })
  .option('logs', { type: 'boolean', default: false, describe: 'print what the processes logged' })
  .strict()
  .parseAsync();

let failedSessions = 0;
for (const suspension of SUSPENSION_CASES.filter(({ name }) => name.includes(options.case))) {
  for (let seed = options.seed; seed < options.seed + options.seeds; seed++) {
    const report = await runSuspensions(suspension, { seed, rounds: options.rounds });
    const { requests, notWhole, breaches, lines } = report;
    const parts = [`${notWhole.length} of ${requests} not whole`, `${breaches.length} breaches`];
    console.log(`${suspension.name}, seed ${seed}: ${parts.join(', ')}`);
    [...notWhole, ...breaches].slice(0, MAX_SHOWN_FAILURES).forEach(text => {
      console.log(`  ${text}`);
    });
    if (options.logs) {
      lines.forEach(line => {
        console.log(`  ${JSON.stringify(line)}`);
      });
    }
    failedSessions += notWhole.length + breaches.length > 0 ? 1 : 0;
  }
}
process.exit(failedSessions === 0 ? 0 : 1);
