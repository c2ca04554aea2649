/**
 * `npm run test:suspended -- FILE --title TEXT --runs N --seed S`: runs a test file unchanged, again and again, while its
 * processes are suspended by signals at drawn moments: the test's own, which plays engines and platform, gateways,
 * controllers and the operators' command.
 */
import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';

import { sleep } from '@hingescale/runtime';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

const TEST_TIMEOUT_MS = 120_000;
const MOST_PAUSE_MS = 1_200;
/** Part of the suspensions that strike all processes of a run at once, 0 to 1. */
const ALL_AT_ONCE_PART = 0.3;
const SHOWN_LINES = 25;
/** The test, a controller and a gateway. */
const LEAST_PROCESSES = 3;

const options = await yargs(hideBin(process.argv))
  .command('$0 <file>', 'run a test file under suspensions', command =>
    command.positional('file', { type: 'string', demandOption: true }),
  )
  .option('title', { type: 'string', default: '', describe: 'part of the titles of the tests' })
  .option('runs', { type: 'number', default: 10 })
  .option('seed', { type: 'number', default: 1 })
  .option('least', {
    type: 'number',
    default: 200,
    describe: 'shortest suspension in milliseconds',
  })
  .option('most', { type: 'number', default: 900, describe: 'longest suspension in milliseconds' })
  .strict()
  .parseAsync();
const file = (options as unknown as { file: string }).file;

let failed = 0;
for (let run = 0; run < options.runs; run++) {
  const seed = options.seed + run;
  const { code, output } = await runSuspended(seed);
  console.log(`seed ${seed}: ${code === 0 ? 'passed' : 'failed'}`);
  if (code !== 0) {
    failed += 1;
    console.log(output.split('\n').slice(-SHOWN_LINES).join('\n'));
  }
}
console.log(`${failed} of ${options.runs} runs failed`);
process.exit(failed === 0 ? 0 : 1);

async function runSuspended(seed: number): Promise<{ code: number; output: string }> {
  const generator = xoroshiro128plus(seed);
  const child = spawn(process.execPath, [
    'node_modules/mocha/bin/mocha.js',
    '--no-config',
    '--exit',
    '--timeout',
    String(TEST_TIMEOUT_MS),
    file,
    ...(options.title === '' ? [] : ['--fgrep', options.title]),
  ]);
  let output = '';
  const take = (data: unknown): void => {
    output += String(data);
  };
  child.stdout.on('data', take);
  child.stderr.on('data', take);
  const exited = new Promise<number>(resolve => {
    child.on('close', code => {
      resolve(code ?? 1);
    });
  });
  const over = new AbortController();
  const suspending = suspendUntil(over.signal, child.pid ?? 0, () => uniformFloat64(generator));
  const code = await exited;
  over.abort();
  await suspending;
  return { code, output };
}

async function suspendUntil(over: AbortSignal, root: number, draw: () => number): Promise<void> {
  while (!over.aborted) {
    await sleep(draw() * MOST_PAUSE_MS, over);
    const running = descendants(root);
    // Until the deployment stands, the test's own calls to its platform are all that there is.
    if (running.length < LEAST_PROCESSES) {
      continue;
    }
    const isAll = draw() < ALL_AT_ONCE_PART;
    const one = running[Math.floor(draw() * running.length)];
    const struck = isAll || one === undefined ? running : [one];
    signalAll(struck, 'SIGSTOP');
    await sleep(options.least + draw() * (options.most - options.least), over);
    signalAll(struck, 'SIGCONT');
  }
}

function signalAll(processes: readonly number[], signal: NodeJS.Signals): void {
  for (const id of processes) {
    try {
      process.kill(id, signal);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'ESRCH') {
        throw error;
      }
    }
  }
}

/** A process and all that it and its children have started, as far as they still run. */
function descendants(root: number): number[] {
  try {
    const children = readFileSync(`/proc/${root}/task/${root}/children`, 'utf8').trim();
    const ids = children === '' ? [] : children.split(' ').map(Number);
    return [root, ...ids.flatMap(id => descendants(id))];
  } catch {
    // The process has ended.
    return [];
  }
}
