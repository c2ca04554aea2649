/**
 * `npm run test:suspended -- FILE --title TEXT --runs N --seed S`: runs an unchanged test file repeatedly while its
 * processes are suspended by signals at random moments: the test process, which simulates engines and platform, and
 * its gateways, controllers and operator commands.
 */
import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';

import { sleep } from '@hingescale/runtime';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

const TEST_TIMEOUT_MS = 120_000;
/** Longest pause between two suspensions. */
const MAX_PAUSE_MS = 1_200;
/** Share of the suspensions that stop all processes of a run at once, 0 to 1. */
const ALL_AT_ONCE_SHARE = 0.3;
/** Lines of output that are printed of a failed run. */
const SHOWN_LINES = 25;
/** The test, a controller and a gateway; with fewer processes, none is suspended. */
const MIN_PROCESSES = 3;

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
  const appendOutput = (data: unknown): void => {
    output += String(data);
  };
  child.stdout.on('data', appendOutput);
  child.stderr.on('data', appendOutput);
  const exited = new Promise<number>(resolve => {
    child.on('close', code => {
      resolve(code ?? 1);
    });
  });
  const ended = new AbortController();
  const suspending = suspendRepeatedly(ended.signal, child.pid ?? 0, () =>
    uniformFloat64(generator),
  );
  const code = await exited;
  ended.abort();
  await suspending;
  return { code, output };
}

async function suspendRepeatedly(
  ended: AbortSignal,
  root: number,
  draw: () => number,
): Promise<void> {
  while (!ended.aborted) {
    await sleep(draw() * MAX_PAUSE_MS, ended);
    const running = descendants(root);
    // Before the deployment has started, there are only the test's own calls to its platform to disturb.
    if (running.length < MIN_PROCESSES) {
      continue;
    }
    const isAll = draw() < ALL_AT_ONCE_SHARE;
    const one = running[Math.floor(draw() * running.length)];
    const suspended = isAll || one === undefined ? running : [one];
    signalAll(suspended, 'SIGSTOP');
    await sleep(options.least + draw() * (options.most - options.least), ended);
    signalAll(suspended, 'SIGCONT');
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

/** Ids of a process and all its descendants that still run. */
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
