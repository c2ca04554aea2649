/**
 * Offline lower bound of the cost: at every moment the cheapest set of replicas that the hosts
 * alive at that time can hold, with loads, drains and detection taking no time. No decision can
 * cost less.
 */
import type { Scenario } from './scenario.js';
import type { TraceEvent } from './trace.js';

const DAY_S = 86_400;

/** Numbers of replicas of each model, in the order of the configuration. */
type Counts = readonly number[];

/** Cost that remains even with full knowledge of the trace. */
export function lowerBound(scenario: Scenario, trace: readonly TraceEvent[]): number {
  const down = new Set<string>();
  const rates = new Map<string, number>();
  const endS = scenario.days * DAY_S;
  let cost = 0;
  let last = 0;
  for (const event of [...trace, { at: endS, kind: 'resume', host: '' }]) {
    const at = Math.min(event.at, endS);
    cost += cachedRate(scenario, down, rates) * (at - last);
    last = at;
    if (event.kind === 'resume' || event.kind === 'return') {
      down.delete(event.host);
    } else {
      down.add(event.host);
    }
  }
  return cost;
}

// Cached, since the rate depends only on the number of live hosts in each fabric domain.
function cachedRate(
  scenario: Scenario,
  down: ReadonlySet<string>,
  rates: Map<string, number>,
): number {
  const alive = new Map<string, number>();
  for (const host of scenario.hosts) {
    const count = alive.get(host.fabricDomain) ?? 0;
    alive.set(host.fabricDomain, count + (down.has(host.id) ? 0 : 1));
  }
  const key = [...alive.values()].join();
  let rate = rates.get(key);
  if (rate === undefined) {
    rate = cheapestRate(scenario, [...alive.values()]);
    rates.set(key, rate);
  }
  return rate;
}

function cheapestRate(scenario: Scenario, fabrics: readonly number[]): number {
  const { deployment, models } = scenario.configuration;
  const modelList = [...models.values()];
  const total = fabrics.reduce((sum, hosts) => sum + hosts, 0);
  let best = Infinity;
  for (const counts of reachableCounts(scenario, fabrics)) {
    let missing = 0;
    let used = 0;
    modelList.forEach((model, index) => {
      missing += model.importance * (model.replicas - counts[index]);
      used += model.hosts * counts[index];
    });
    const idle = missing > 0 ? (total - used) * scenario.hosts[0].accelerators : 0;
    const rate = deployment['downtime-weight'] * missing + deployment['stranded-weight'] * idle;
    best = Math.min(best, rate);
  }
  return best;
}

/** All combinations of replica counts that some placement reaches, capped at the wanted counts. */
function reachableCounts(scenario: Scenario, fabrics: readonly number[]): Counts[] {
  const modelList = [...scenario.configuration.models.values()];
  let sums = new Map<string, Counts>([['', modelList.map(() => 0)]]);
  for (const hosts of fabrics) {
    const next = new Map<string, Counts>();
    for (const base of sums.values()) {
      for (const added of packings(
        modelList.map(model => model.hosts),
        hosts,
      )) {
        const counts = base.map((count, i) => Math.min(modelList[i].replicas, count + added[i]));
        next.set(counts.join(), counts);
      }
    }
    sums = next;
  }
  return [...sums.values()];
}

function packings(sizes: readonly number[], hosts: number): Counts[] {
  if (sizes.length === 0) {
    return [[]];
  }
  const [size, ...rest] = sizes;
  const result: Counts[] = [];
  for (let count = 0; count * size <= hosts; count++) {
    for (const others of packings(rest, hosts - count * size)) {
      result.push([count, ...others]);
    }
  }
  return result;
}
