/** Small copies of the two users' deployments: names, keys and configuration. */
import type { Host } from '@hingescale/core';
import { sha256 } from '@hingescale/runtime';

/** Names and prompt of one user's deployment. */
export type Profile = {
  readonly name: 'acquiring' | 'caudal';
  readonly failureDomains: readonly string[];
  readonly model: string;
  readonly service: string;
  /** Method and path of the service call that must not run twice. */
  readonly nonRepeatable: string;
  readonly workspaces: readonly string[];
  /** A prompt that is typical of this user. */
  readonly prompt: string;
};

/** The two profiles by name. */
export const PROFILES: Readonly<Record<Profile['name'], Profile>> = {
  acquiring: {
    name: 'acquiring',
    failureDomains: ['maroussi-hall', 'piraeus-hall', 'koropi-hall'],
    model: 'lm-pool',
    service: 'merchant-api',
    nonRepeatable: 'POST /settlements',
    workspaces: ['bank-alpha', 'bank-beta', 'bank-gamma'],
    prompt: 'Summarise dispute 4711 of the bakery on Ermou street.',
  },
  caudal: {
    name: 'caudal',
    failureDomains: ['sala-talca', 'sala-chillan', 'sala-concepcion'],
    model: 'modelo-caudal',
    service: 'datos-limnimetro',
    nonRepeatable: 'POST /bulletins',
    workspaces: ['hydrology', 'irrigation-board', 'emergency-office'],
    prompt: 'Write the flood bulletin for the lower basin from the levels of 06:00.',
  },
};

/** The values of the configuration that proofs vary. */
export type ConfigurationOptions = {
  /** Version of the model; 1 by default. */
  readonly version?: string;
  /** Hosts of one replica group. */
  readonly hostsPerGroup: number;
  readonly replicas: number;
  readonly slots: number;
  /** Whether upstream hosts check the fencing number of orders. */
  readonly checksFence: boolean;
  /** `failure-domain@url` of each service runner. */
  readonly runners: readonly string[];
  /** INI text that is appended. */
  readonly extra?: string;
};

/** Caller key of a workspace in these deployments. */
export function callerKey(workspace: string): string {
  return `key-of-${workspace}`;
}

/** Key of the operator in these deployments. */
export const OPERATOR_KEY = 'operator-key-for-loopback';

/** Builds the configuration of a profile as INI text. */
export function configurationText(profile: Profile, options: ConfigurationOptions): string {
  const share = (1 / profile.workspaces.length).toFixed(3);
  const workspaces = profile.workspaces.map(
    name => `[workspace ${name}]
key-sha256 = ${sha256(callerKey(name))}
share = ${share}
models = *
services = *
`,
  );
  return `[deployment]
name = ${profile.name}
failure-domains = ${profile.failureDomains.join(', ')}

[upstream engine]
checks-fence = ${options.checksFence ? 'yes' : 'no'}

[model ${profile.model}]
version = ${options.version ?? '1'}
hosts = ${options.hostsPerGroup}
replicas = ${options.replicas}
gigabytes-per-host = 0.01
slots = ${options.slots}
upstream = engine

[service ${profile.service}]
runners = ${options.runners.join(', ')}
non-repeatable = ${profile.nonRepeatable}

${workspaces.join('\n')}
${options.extra ?? ''}`;
}

/** Hosts of a profile: the same number in each failure domain, with one fabric domain per failure domain. */
export function profileHosts(
  profile: Profile,
  hostsPerDomain: number,
  address: (host: string) => string,
): Host[] {
  return profile.failureDomains.flatMap(failureDomain =>
    hostNames(failureDomain, hostsPerDomain).map(id => ({
      id,
      failureDomain,
      fabricDomain: `${failureDomain}-fabric`,
      address: address(id),
      accelerators: 8,
      upstream: 'engine',
      state: 'live' as const,
    })),
  );
}

/** Names of the hosts of a failure domain. */
export function hostNames(failureDomain: string, count: number): string[] {
  return Array.from({ length: count }, (_unused, index) => `${failureDomain}-h${index + 1}`);
}
