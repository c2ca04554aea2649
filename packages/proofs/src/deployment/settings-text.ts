/** Builds the settings files of gateways and controllers on loopback. */
import { sha256 } from '@hingescale/runtime';

import { OPERATOR_KEY } from './profile.js';

/** Values of an INI file by section and key. */
export type SettingsValues = Readonly<Record<string, Readonly<Record<string, string | number>>>>;

/** Key that all processes of a deployment share for their links. */
export const LINK_KEY = 'link-key-for-loopback-tests';

/** Times short enough for proofs to take seconds, in the same ratios as the default settings. */
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

/** The values that the settings of one process are built from; links are given as `ip:port`. */
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

/** Builds the settings of a gateway. */
export function gatewaySettings(
  plan: ProcessPlan,
  listen: string,
  callers: Readonly<Record<string, number>> = {},
  limits: Readonly<Record<string, number>> = {},
): SettingsValues {
  return {
    ...commonSettings(plan),
    callers: { listen, 'notice-ms': 200, ...callers },
    limits: { ...limits },
  };
}

/** Builds the settings of a controller. */
export function controllerSettings(plan: ProcessPlan, admin: string): SettingsValues {
  const operators = `ops:${sha256(OPERATOR_KEY)}`;
  return {
    ...commonSettings(plan),
    admin: { listen: admin, operators },
    orders: { 'retry-ms': 200 },
  };
}

/** Formats values as INI text. */
export function iniText(values: SettingsValues): string {
  return Object.entries(values)
    .map(([section, keys]) => {
      const lines = Object.entries(keys).map(([key, value]) => `${key} = ${value}`);
      return [`[${section}]`, ...lines, ''].join('\n');
    })
    .join('\n');
}

function commonSettings(plan: ProcessPlan): SettingsValues {
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
