/**
 * Checks that each proof fails without the mechanism that it tests: removes one mechanism at a time from
 * the built code, runs the proof and restores the code. Exits with 1 when a proof still passes.
 */
import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** One mechanism, and the text replacement that removes it. */
type Mutation = {
  /** Number of the promise (guarantee) that the proof tests. */
  readonly promise: number;
  readonly mechanism: string;
  /** Path of the built file, relative to the root of the repository. */
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  /** Pattern for the titles of the proofs that must fail (`mocha -g`). */
  readonly test: string;
};

const PACKAGE = join(dirname(fileURLToPath(import.meta.url)), '..');
const ROOT = join(PACKAGE, '..', '..');

const mutations = JSON.parse(readFileSync(join(PACKAGE, 'mutations.json'), 'utf8')) as Mutation[];
const selectedPromise = process.argv[2];
let survived = 0;
for (const mutation of mutations) {
  if (selectedPromise === undefined || selectedPromise === String(mutation.promise)) {
    survived += proofFails(mutation) ? 0 : 1;
  }
}
process.stdout.write(`${survived} proofs passed without their mechanism\n`);
process.exit(survived === 0 ? 0 : 1);

function proofFails(mutation: Mutation): boolean {
  const path = join(ROOT, mutation.file);
  const original = readFileSync(path, 'utf8');
  if (!original.includes(mutation.find)) {
    throw new Error(`${mutation.file} does not contain the mechanism "${mutation.mechanism}"`);
  }
  writeFileSync(path, original.replace(mutation.find, mutation.replace));
  try {
    const failing = countFailures(mutation.test);
    const verdict = failing > 0 ? `${failing} fail` : 'PASSES';
    process.stdout.write(
      `promise ${mutation.promise}, without "${mutation.mechanism}": ${verdict}\n`,
    );
    return failing > 0;
  } finally {
    writeFileSync(path, original);
  }
}

function countFailures(test: string): number {
  const run = spawnSync('npx', ['mocha', '-g', test], { cwd: ROOT, encoding: 'utf8' });
  const match = /(\d+) failing/.exec(run.stdout);
  return match === null ? 0 : Number(match[1]);
}
