/** Runs platform, engine hosts and plain services as one process, so that a test can suspend them all at once. */
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { Host } from '@hingescale/core';
import type { RunRecord } from '@hingescale/stand-ins';
import { request } from 'undici';

import { Child } from './child.js';
import { freeAddresses } from './ports.js';

/** The hosts and services that the process simulates. */
export type StandInsOptions = {
  readonly engineHosts: readonly string[];
  /** Number of service runners. */
  readonly services: number;
  /** Builds the platform's list of hosts from the address of each engine host. */
  readonly listHosts: (addressOf: (host: string) => string) => readonly Host[];
};

/** The running stand-ins process and the addresses that it listens on. */
export type StandInsProcess = {
  readonly child: Child;
  /** `ip:port` of the platform. */
  readonly platform: string;
  /** `ip:port` of each service runner. */
  readonly services: readonly string[];
  /** Fetches the requests that engine hosts have run. */
  readonly runs: () => Promise<readonly RunRecord[]>;
};

const PLATFORM_LIMITS = {
  'writes-per-second': 1_000,
  'reads-per-second': 10_000,
  'weight-gigabytes-per-second': 10,
};

/** Writes the list of hosts, starts the process and waits until it is started. */
export async function startStandInsProcess(options: StandInsOptions): Promise<StandInsProcess> {
  const { engineHosts, listHosts } = options;
  const [platform, control, ...rest] = await freeAddresses(
    2 + engineHosts.length + options.services,
  );
  const services = rest.slice(engineHosts.length);
  const addresses = new Map(engineHosts.map((host, index) => [host, rest[index]]));
  const hostsFile = join(mkdtempSync(join(tmpdir(), 'hingescale-')), 'hosts.json');
  const hosts = listHosts(host => `http://${addresses.get(host) ?? ''}`);
  writeFileSync(hostsFile, JSON.stringify(hosts));
  const child = new Child('stand-ins', 'stand-ins', {
    platform: { listen: platform, 'hosts-file': hostsFile, ...PLATFORM_LIMITS },
    engine: {
      listen: control,
      'platform-url': `http://${platform}`,
      hosts: [...addresses].map(([host, address]) => `${host}@${address}`).join(', '),
    },
    service: { listen: services.join(', ') },
  });
  await child.start();
  const runs = async (): Promise<readonly RunRecord[]> => {
    const response = await request(`http://${control}/control/runs`);
    return (await response.body.json()) as RunRecord[];
  };
  return { child, platform, services, runs };
}
