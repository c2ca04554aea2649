/** Fleets of the group benchmark: both users' present fleets, and fleets of the target size. */
import type { Configuration, Host } from '@hingescale/core';
import { readConfiguration } from '@hingescale/core';

export const SCENARIOS = ['acquiring', 'caudal', 'target-acquiring', 'target-caudal'] as const;
export type ScenarioName = (typeof SCENARIOS)[number];

/** A fleet, its configuration and the number of days to simulate. */
export type Scenario = {
  readonly name: ScenarioName;
  readonly configuration: Configuration;
  readonly failureDomains: readonly string[];
  readonly hosts: readonly Host[];
  readonly days: number;
};

type Shape = {
  readonly domains: readonly string[];
  readonly fabricsPerDomain: readonly number[];
  readonly days: number;
  readonly downtimeWeight: number;
  readonly strandedWeight: number;
  readonly gigabytesPerSecond: number;
  /** For each model: hosts per replica, replicas, importance, gigabytes per host. */
  readonly models: Readonly<Record<string, readonly [number, number, number, number]>>;
};

const ACQUIRING_WEIGHTS = { downtimeWeight: 10, strandedWeight: 0.05 };
const CAUDAL_WEIGHTS = { downtimeWeight: 1, strandedWeight: 0.2 };
const TARGET = {
  domains: ['north-1', 'north-2', 'north-3', 'south-1', 'south-2'],
  fabricsPerDomain: [89, 89],
  days: 2,
  gigabytesPerSecond: 40,
  models: { large: [16, 25, 4, 90], common: [16, 25, 1, 90] },
} as const;

const SHAPES: Readonly<Record<ScenarioName, Shape>> = {
  acquiring: {
    domains: ['maroussi-hall', 'piraeus-hall', 'koropi-hall'],
    fabricsPerDomain: [9, 8],
    days: 20,
    gigabytesPerSecond: 4,
    models: { 'lm-pool': [4, 9, 4, 70], 'lm-batch': [2, 6, 1, 70] },
    ...ACQUIRING_WEIGHTS,
  },
  caudal: {
    domains: ['sala-talca', 'sala-chillan', 'sala-concepcion'],
    fabricsPerDomain: [9, 8],
    days: 20,
    gigabytesPerSecond: 4,
    models: { 'modelo-cuenca': [8, 3, 2, 90], 'modelo-caudal': [4, 6, 1, 70] },
    ...CAUDAL_WEIGHTS,
  },
  'target-acquiring': { ...TARGET, ...ACQUIRING_WEIGHTS },
  'target-caudal': { ...TARGET, ...CAUDAL_WEIGHTS },
};

const ACCELERATORS_PER_HOST = 8;

/** Builds the hosts and the configuration of a scenario. */
export function buildScenario(name: ScenarioName): Scenario {
  const shape = SHAPES[name];
  const configuration = readConfiguration([{ name: 'scenario.ini', text: iniOf(name, shape) }]);
  if (configuration.isErr) {
    throw new Error(JSON.stringify(configuration.error));
  }
  return {
    name,
    configuration: configuration.value,
    failureDomains: shape.domains,
    hosts: shape.domains.flatMap(domain => hostsOf(domain, shape.fabricsPerDomain)),
    days: shape.days,
  };
}

function hostsOf(failureDomain: string, fabrics: readonly number[]): Host[] {
  return fabrics.flatMap((count, fabric) =>
    Array.from({ length: count }, (_unused, index) => ({
      id: `${failureDomain}-f${fabric}-${String(index).padStart(3, '0')}`,
      failureDomain,
      fabricDomain: `${failureDomain}-f${fabric}`,
      address: '',
      accelerators: ACCELERATORS_PER_HOST,
      upstream: 'engine',
      state: 'live' as const,
    })),
  );
}

function iniOf(name: string, shape: Shape): string {
  const models = Object.entries(shape.models).map(
    ([model, [hosts, replicas, importance, gigabytes]]) => `[model ${model}]
version = 1
hosts = ${hosts}
replicas = ${replicas}
importance = ${importance}
gigabytes-per-host = ${gigabytes}
upstream = engine
`,
  );
  return `[deployment]
name = ${name}
failure-domains = ${shape.domains.join(', ')}
downtime-weight = ${shape.downtimeWeight}
stranded-weight = ${shape.strandedWeight}
weight-store-gigabytes-per-second = ${shape.gigabytesPerSecond}

[upstream engine]
checks-fence = yes

${models.join('\n')}`;
}
