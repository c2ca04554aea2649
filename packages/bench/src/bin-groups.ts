/** `npm run bench:groups`: cost of the group decision, compared with the naive one and a lower bound. */
import { decide } from '@hingescale/core';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { lowerBound } from './groups/bound.js';
import { Fleet } from './groups/fleet.js';
import type { FleetResult } from './groups/fleet-meter.js';
import { decideNaively } from './groups/naive.js';
import { buildScenario, SCENARIOS } from './groups/scenario.js';
import { makeTrace, readTrace } from './groups/trace.js';

const options = await yargs(hideBin(process.argv))
  .option('profile', { choices: SCENARIOS, default: 'acquiring' as const })
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('seeds', { type: 'number', default: 1, describe: 'number of seeds' })
  .option('baseline', { type: 'boolean', default: true, describe: 'run the naive decision too' })
  .option('trace', { type: 'string', describe: 'file of JSON lines instead of a seeded trace' })
  .option('json', { type: 'boolean', default: false })
  .strict()
  .parseAsync();

type Row = {
  readonly seed: number;
  readonly events: number;
  readonly ours: FleetResult;
  readonly naive: FleetResult | undefined;
  readonly bound: number;
};

const rows: Row[] = [];
for (let seed = options.seed; seed < options.seed + options.seeds; seed++) {
  const fleetScenario = buildScenario(options.profile);
  const trace =
    options.trace === undefined
      ? makeTrace(fleetScenario.hosts, fleetScenario.days, seed)
      : readTrace(options.trace);
  const ours = new Fleet(fleetScenario, decide).run(trace);
  const naive = options.baseline ? new Fleet(fleetScenario, decideNaively).run(trace) : undefined;
  rows.push({ seed, events: trace.length, ours, naive, bound: lowerBound(fleetScenario, trace) });
}
if (options.json) {
  process.stdout.write(JSON.stringify(rows.map(summarizeDurations), undefined, 2) + '\n');
} else {
  print();
}

function summarizeDurations(row: Row): object {
  const withPercentiles = (result: FleetResult | undefined): object | undefined =>
    result && {
      ...result,
      decisionMs: undefined,
      p50: percentile(result, 0.5),
      p99: percentile(result, 0.99),
    };
  return { ...row, ours: withPercentiles(row.ours), naive: withPercentiles(row.naive) };
}

function print(): void {
  const columns = [
    'seed',
    'events',
    'who',
    'cost',
    'down share',
    'stranded share',
    'loads',
    'moves',
  ];
  console.log(
    [...columns, 'decisions', 'p50 ms', 'p99 ms'].map(text => text.padStart(14)).join(''),
  );
  for (const { seed, events, ours, naive, bound } of rows) {
    printRow(seed, events, 'ours', ours);
    if (naive !== undefined) {
      printRow(seed, events, 'naive', naive);
      console.log(`${''.padStart(28)}${compare(ours.cost, naive.cost, bound)}`);
    }
  }
  printTotals();
}

// A decision can save only the part of the cost that lies above the bound.
function compare(ours: number, naive: number, bound: number): string {
  const excess = (ours - bound) / (naive - bound);
  return [
    `ours/naive ${(ours / naive).toFixed(3)}`,
    `above the bound ${excess.toFixed(3)} of naive`,
    `bound/naive ${(bound / naive).toFixed(3)}`,
    `ours/bound ${(ours / bound).toFixed(2)}`,
  ].join(', ');
}

function printRow(seed: number, events: number, decision: string, result: FleetResult): void {
  const cells = [
    String(seed),
    String(events),
    decision,
    result.cost.toFixed(0),
    (result.groupDowntime / result.replicaSeconds).toExponential(3),
    (result.stranded / result.acceleratorSeconds).toExponential(3),
    String(result.loads),
    String(result.moves),
    String(result.decisions),
    percentile(result, 0.5).toFixed(3),
    percentile(result, 0.99).toFixed(3),
  ];
  console.log(cells.map(cell => cell.padStart(14)).join(''));
}

function printTotals(): void {
  const compared = rows.filter(row => row.naive !== undefined);
  const sum = (valueOf: (row: Row) => number): number =>
    compared.reduce((total, row) => total + valueOf(row), 0);
  const ours = sum(row => row.ours.cost);
  const naive = sum(row => row.naive?.cost ?? 0);
  const bound = sum(row => row.bound);
  const ratios = compared.map(row => row.ours.cost / (row.naive?.cost ?? 1));
  const heap = process.memoryUsage().heapUsed / 1e6;
  console.log(`
${options.profile}, ${rows.length} seeds: ${compare(ours, naive, bound)}`);
  const worst = Math.max(...ratios).toFixed(3);
  const best = Math.min(...ratios).toFixed(3);
  console.log(`ours/naive by seed: best ${best}, worst ${worst}; heap ${heap.toFixed(0)} MB`);
}

function percentile(result: FleetResult, share: number): number {
  const index = Math.min(
    result.decisionMs.length - 1,
    Math.floor(result.decisionMs.length * share),
  );
  return result.decisionMs[index] ?? 0;
}
