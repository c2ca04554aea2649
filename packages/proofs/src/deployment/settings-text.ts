/** Settings files of gateways and controllers on loopback. */
import { sha256 } from '@hingescale/runtime';

import { OPERATOR_KEY } from './profile.js';

/** Sections of an INI text: section, key, value. */
export type SettingsValues = Readonly<Record<string, Readonly<Record<string, string | number>>>>;

/** Key that the links of a deployment share. */
export const LINK_KEY = 'link-key-for-loopback-tests';

/** Short times, so that proofs take seconds; ratios are those of the defaults. */
export const FAST_TIMING = {
  'heartbeat-ms': 50,
  'probe-ms': 50,
  'certificate-ms': 600,
  'lease-ms': 900,
  'key-lease-ms': 1_500,
  'key-memory-ms': 60_000,
  'clock-skew-ms': 200,
  'drain-ms': 20_000,
};

/** What a process of a deployment is told. */
export type ProcessPlan = {
  readonly name: string;
  readonly failureDomain: string;
  readonly platformUrl: string;
  readonly link: string;
  readonly controllers: readonly string[];
  readonly remoteControllers: readonly string[];
  readonly timing: Readonly<Record<string, number>>;
  readonly logLevel: string;
};

/** Settings of a gateway. */
export function gatewaySettings(
  plan: ProcessPlan,
  listen: string,
  callers: Readonly<Record<string, number>> = {},
  limits: Readonly<Record<string, number>> = {},
): SettingsValues {
  return {
    ...common(plan),
    callers: { listen, 'notice-ms': 200, ...callers },
    limits: { ...limits },
  };
}

/** Settings of a controller. */
export function controllerSettings(plan: ProcessPlan, admin: string): SettingsValues {
  const operators = `ops:${sha256(OPERATOR_KEY)}`;
  return {
    ...common(plan),
    admin: { listen: admin, operators },
    orders: { 'retry-ms': 200 },
  };
}

/** Writes values as INI text. */
export function iniText(values: SettingsValues): string {
  return Object.entries(values)
    .map(([section, keys]) => {
      const lines = Object.entries(keys).map(([key, value]) => `${key} = ${value}`);
      return [`[${section}]`, ...lines, ''].join('\n');
    })
    .join('\n');
}

function common(plan: ProcessPlan): SettingsValues {
  return {
    process: { name: plan.name, 'failure-domain': plan.failureDomain },
    platform: {
      url: plan.platformUrl,
      'timeout-ms': 500,
      'watch-wait-ms': 5_000,
    },
    links: {
      listen: plan.link,
      key: LINK_KEY,
      controllers: plan.controllers.join(', '),
      'remote-controllers': plan.remoteControllers.join(', '),
    },
    timing: plan.timing,
    log: { level: plan.logLevel, format: 'json' },
  };
}
