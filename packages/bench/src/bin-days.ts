/** Entry point of `bin/days`: runs generated test days with the users' bench. */
import { spawnSync } from 'node:child_process';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { generateDay } from './days/generate-day.js';

const DAYS_FOLDER = 'target/days';

const options = await yargs(hideBin(process.argv))
  .scriptName('bin/days')
  .option('bench', { type: 'string', demandOption: true, describe: "program of the users' bench" })
  .option('site', { type: 'string', demandOption: true, describe: 'site file' })
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('count', { type: 'number', default: 1, describe: 'number of days to run' })
  .strict()
  .parseAsync();

mkdirSync(DAYS_FOLDER, { recursive: true });
const siteText = readFileSync(options.site, 'utf8');
let failedDays = 0;
for (let seed = options.seed; seed < options.seed + options.count; seed++) {
  const file = join(DAYS_FOLDER, `own-${seed}.toml`);
  writeFileSync(file, generateDay(siteText, seed));
  const reason = `day of our own, seed ${seed}`;
  const run = spawnSync(options.bench, ['run', options.site, file, '--why', reason], {
    encoding: 'utf8',
    maxBuffer: 64 * 1024 * 1024,
  });
  const text = run.stdout + run.stderr;
  writeFileSync(join(DAYS_FOLDER, `own-${seed}.log`), text);
  const summary = text.split('\n').filter(line => /^(own-|rules broken|[A-Z]+ at )/.test(line));
  process.stdout.write(`${summary.join('\n') || text.slice(-500)}\n`);
  failedDays += /rules broken/.test(text) || run.status !== 0 ? 1 : 0;
}
process.stdout.write(`${options.count} days, ${failedDays} with a broken rule or not played\n`);
process.exitCode = failedDays > 0 ? 1 : 0;
