/** Binary behind `bin/days`: plays days of the project's own with the users' bench. */
import { spawnSync } from 'node:child_process';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { ownDay } from './days/own-day.js';

const DAYS_FOLDER = 'target/days';

const options = await yargs(hideBin(process.argv))
  .scriptName('bin/days')
  .option('bench', { type: 'string', demandOption: true, describe: "program of the users' bench" })
  .option('site', { type: 'string', demandOption: true, describe: 'site file' })
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('count', { type: 'number', default: 1, describe: 'days to play' })
  .strict()
  .parseAsync();

mkdirSync(DAYS_FOLDER, { recursive: true });
const siteText = readFileSync(options.site, 'utf8');
let broken = 0;
for (let seed = options.seed; seed < options.seed + options.count; seed++) {
  const file = join(DAYS_FOLDER, `own-${seed}.toml`);
  writeFileSync(file, ownDay(siteText, seed));
  const why = `day of our own, seed ${seed}`;
  const played = spawnSync(options.bench, ['run', options.site, file, '--why', why], {
    encoding: 'utf8',
    maxBuffer: 64 * 1024 * 1024,
  });
  const text = played.stdout + played.stderr;
  writeFileSync(join(DAYS_FOLDER, `own-${seed}.log`), text);
  const summary = text.split('\n').filter(line => /^(own-|rules broken|[A-Z]+ at )/.test(line));
  process.stdout.write(`${summary.join('\n') || text.slice(-500)}\n`);
  broken += /rules broken/.test(text) || played.status !== 0 ? 1 : 0;
}
process.stdout.write(`${options.count} days, ${broken} with a broken rule or not played\n`);
process.exitCode = broken > 0 ? 1 : 0;
