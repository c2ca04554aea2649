/**
 * A whole deployment on loopback: gateways and controllers run as child processes, the stand-ins in
 * this process or in one of their own.
 */
import type { Host } from '@hingescale/core';
import { acceptChange, PlatformClient, readRevision } from '@hingescale/object-store';
import { silentLog, sleep } from '@hingescale/runtime';
import type {
  EngineOptions,
  EngineStandIn,
  PlatformStandIn,
  ServiceStandIn,
} from '@hingescale/stand-ins';
import { ENGINE_DEFAULTS, startEngine, startPlatform, startService } from '@hingescale/stand-ins';
import { request } from 'undici';

import { Caller } from './caller.js';
import { Child } from './child.js';
import { freeAddresses, loopbackIp } from './ports.js';
import type { ConfigurationOptions, Profile } from './profile.js';
import {
  callerKey,
  configurationText,
  hostNames,
  OPERATOR_KEY,
  profileHosts,
  PROFILES,
} from './profile.js';
import type { ProcessPlan } from './settings-text.js';
import { controllerSettings, FAST_TIMING, gatewaySettings } from './settings-text.js';
import type { StandInsProcess } from './stand-ins-process.js';
import { startStandInsProcess } from './stand-ins-process.js';

/** Size and settings of a deployment; every option has a small default. */
export type DeploymentOptions = {
  readonly profile?: Profile['name'];
  /** Number of the profile's failure domains that get processes; by default 1. */
  readonly domains?: number;
  readonly controllersPerDomain?: number;
  readonly gatewaysPerDomain?: number;
  readonly hostsPerDomain?: number;
  readonly configuration?: Partial<ConfigurationOptions>;
  readonly engine?: Partial<EngineOptions>;
  readonly timing?: Readonly<Record<string, number>>;
  readonly logLevel?: string;
  /** Starts gateways one after another, after the controllers have formed the replica groups. */
  readonly startsGatewaysInSequence?: boolean;
  /** Further values of the gateways' `[callers]` section. */
  readonly callers?: Readonly<Record<string, number>>;
  /** Values of the gateways' `[routing]` section. */
  readonly routing?: Readonly<Record<string, string>>;
  /** Further values of the gateways' `[limits]` section. */
  readonly limits?: Readonly<Record<string, number>>;
  /** Address by which a process reaches the platform; a proof can put a proxy there to cut the connection. */
  readonly platformFor?: (process: string, platform: string) => string;
  /** Runs platform, engine hosts and services in a separate process, which can be suspended. */
  readonly separateStandInsProcess?: boolean;
  /** Addresses by which a process reaches controllers; as for the platform, a proof can put proxies there. */
  readonly controllersFor?: (process: string, controllers: readonly string[]) => readonly string[];
};

/** A gateway process; `address` serves callers, `link` serves other entry hosts. */
export type DeployedGateway = {
  readonly child: Child;
  readonly name: string;
  readonly failureDomain: string;
  readonly address: string;
  readonly link: string;
};

/** A controller process; `link` serves other entry hosts, `admin` the administration API. */
export type DeployedController = {
  readonly child: Child;
  readonly name: string;
  readonly failureDomain: string;
  readonly link: string;
  readonly admin: string;
};

const DEFAULT_WAIT_MS = 20_000;
const POLL_INTERVAL_MS = 20;

/** Polls until a condition holds; on a timeout, throws an error that names the condition. */
export async function eventually(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = DEFAULT_WAIT_MS,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadline) {
      throw new Error(`timed out waiting for: ${description}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Starts, configures and stops the processes of a deployment. */
export class Deployment {
  readonly profile: Profile;
  readonly caller = new Caller();
  readonly gateways: DeployedGateway[] = [];
  readonly controllers: DeployedController[] = [];
  platform!: PlatformStandIn;
  engine!: EngineStandIn;
  services: ServiceStandIn[] = [];
  client!: PlatformClient;
  /** The stand-ins process, if they run in one; `platform`, `engine` and `services` are then not set. */
  standIns: StandInsProcess | undefined;
  readonly #options: DeploymentOptions;

  constructor(options: DeploymentOptions = {}) {
    this.#options = options;
    this.profile = PROFILES[options.profile ?? 'acquiring'];
  }

  /** Starts a deployment and waits until every gateway has one certified group per failure domain. */
  static async start(options: DeploymentOptions = {}): Promise<Deployment> {
    const deployment = new Deployment(options);
    await deployment.startStandIns();
    await deployment.apply();
    await deployment.startProcesses();
    await deployment.ready();
    return deployment;
  }

  /** Failure domains that have processes. */
  get domains(): readonly string[] {
    return this.profile.failureDomains.slice(0, this.#options.domains ?? 1);
  }

  /** Caller key of a workspace, given by its index in the profile. */
  key(workspace = 0): string {
    return callerKey(this.profile.workspaces[workspace]);
  }

  /** Starts the platform, the engine hosts and a service runner per failure domain. */
  async startStandIns(): Promise<void> {
    const listen = '127.0.0.1:0';
    if (this.#options.separateStandInsProcess === true) {
      this.standIns = await this.#startSeparateStandIns();
      this.client = this.#connectToPlatform();
      return;
    }
    const limits = {
      writesPerSecond: 1_000,
      readsPerSecond: 10_000,
      weightGigabytesPerSecond: 10,
    };
    this.platform = await startPlatform({ listen, ...limits, hosts: [] });
    const count = this.#options.hostsPerDomain ?? 4;
    const names = this.domains.flatMap(domain => hostNames(domain, count));
    this.engine = await startEngine({
      ...ENGINE_DEFAULTS,
      listen,
      hosts: names.map(id => ({ id, listen: `${loopbackIp()}:0` })),
      platformUrl: `http://${this.platform.address}`,
      ...this.#options.engine,
    });
    this.listHosts();
    this.services = await Promise.all(this.domains.map(() => startService(listen)));
    this.client = this.#connectToPlatform();
  }

  /** Sets the platform's list of hosts: those of the deployment, some marked as leaving, and more. */
  listHosts(leaving: readonly string[] = [], more: readonly Host[] = []): void {
    const count = this.#options.hostsPerDomain ?? 4;
    const hosts = profileHosts(this.profile, count, id => this.engine.addresses.get(id) ?? '');
    const deployed = hosts.filter(host => this.domains.includes(host.failureDomain));
    const marked = deployed.map(host =>
      leaving.includes(host.id) ? { ...host, state: 'leaving' as const } : host,
    );
    this.platform.setHosts([...marked, ...more]);
  }

  /** Stores the changed configuration as the next revision; returns the revision's number. */
  async apply(change: Partial<ConfigurationOptions> = {}): Promise<number> {
    const current = await readRevision(this.client);
    const base = current.isOk ? current.value.head.revision : 0;
    const files = [{ name: 'deployment.ini', text: this.configurationText(change) }];
    const accepted = await acceptChange(this.client, {
      files,
      operator: 'ops',
      note: '',
      base,
    });
    if (accepted.isErr) {
      throw new Error(`configuration was not accepted: ${JSON.stringify(accepted.error)}`);
    }
    return accepted.value.head.revision;
  }

  /** The configuration of this deployment as INI text. */
  configurationText(change: Partial<ConfigurationOptions> = {}): string {
    const services = this.standIns?.services ?? this.services.map(service => service.address);
    const runners = services.map((address, index) => `${this.domains[index]}@http://${address}`);
    const [firstDomain] = this.domains;
    return configurationText(
      {
        ...this.profile,
        failureDomains: this.domains.length > 0 ? this.domains : [firstDomain],
      },
      {
        hostsPerGroup: 4,
        replicas: this.domains.length,
        slots: 32,
        checksFence: this.#options.engine?.checksFence ?? true,
        runners,
        ...this.#options.configuration,
        ...change,
      },
    );
  }

  /** Starts all controllers and gateways. */
  async startProcesses(): Promise<void> {
    const perDomain = this.#options.controllersPerDomain ?? 1;
    const links = await freeAddresses(perDomain * this.domains.length);
    const linksOf = (domain: string): string[] => {
      const index = this.domains.indexOf(domain);
      return links.slice(index * perDomain, (index + 1) * perDomain);
    };
    for (const domain of this.domains) {
      const remote = this.domains.filter(other => other !== domain).flatMap(linksOf);
      await this.#addProcesses(domain, linksOf(domain), remote);
    }
    if (this.#options.startsGatewaysInSequence === true) {
      await Promise.all(this.controllers.map(({ child }) => child.start()));
      await eventually('groups are ready', () => this.#groupsAreReady());
      for (const gateway of this.gateways) {
        await gateway.child.start();
        await eventually(`${gateway.name} issues idempotency keys`, () =>
          this.#issuesKeys(gateway),
        );
      }
    } else {
      await Promise.all([...this.controllers, ...this.gateways].map(({ child }) => child.start()));
    }
  }

  /** Waits until every gateway has at least this number of certified groups. */
  async ready(groups = this.domains.length): Promise<void> {
    await Promise.all(
      this.gateways.map(gateway =>
        eventually(`${groups} ready groups at ${gateway.name}`, async () => {
          return (await this.readyGroups(gateway)) >= groups;
        }),
      ),
    );
  }

  /** Number of certified groups at a gateway; -1 when it does not answer with 200. */
  async readyGroups(gateway: DeployedGateway): Promise<number> {
    const call = {
      address: gateway.address,
      key: this.key(),
      path: '/v1/models',
      method: 'GET',
    } as const;
    const answer = await this.caller.send(call);
    if (answer.status !== 200) {
      return -1;
    }
    const list = JSON.parse(answer.body) as {
      data: { ready_groups: number }[];
    };
    return list.data[0]?.ready_groups ?? 0;
  }

  /** Value of a counter or gauge at a gateway, summed over its labels. */
  async metric(address: string, name: string): Promise<number> {
    const response = await request(`http://${address}/metrics`);
    const text = await response.body.text();
    return text
      .split('\n')
      .filter(line => line.startsWith(`hingescale_${name}`) && !line.startsWith('#'))
      .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0);
  }

  /** Calls the administration API of a controller. */
  async admin<T>(controller: DeployedController, path: string, method = 'GET'): Promise<T> {
    const response = await request(`http://${controller.admin}${path}`, {
      method: method as 'GET',
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    });
    return JSON.parse(await response.body.text()) as T;
  }

  /** Kills all processes, closes the connections and stops the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all([...this.gateways, ...this.controllers].map(({ child }) => child.kill()));
    await this.caller.close();
    await this.client.close();
    if (this.standIns !== undefined) {
      await this.standIns.child.kill();
      return;
    }
    await Promise.all([this.engine, this.platform, ...this.services].map(item => item.stop()));
  }

  get #platformUrl(): string {
    return `http://${this.standIns?.platform ?? this.platform.address}`;
  }

  #connectToPlatform(): PlatformClient {
    return new PlatformClient({ url: this.#platformUrl, timeoutMs: 500, log: silentLog() });
  }

  #startSeparateStandIns(): Promise<StandInsProcess> {
    const count = this.#options.hostsPerDomain ?? 4;
    return startStandInsProcess({
      engineHosts: this.domains.flatMap(domain => hostNames(domain, count)),
      services: this.domains.length,
      listHosts: addressOf => {
        const hosts = profileHosts(this.profile, count, addressOf);
        return hosts.filter(host => this.domains.includes(host.failureDomain));
      },
    });
  }

  async #issuesKeys({ address }: DeployedGateway): Promise<boolean> {
    const call = { address, key: this.key(), path: '/v1/idempotency-keys', body: {} };
    return (await this.caller.send(call)).status === 201;
  }

  async #groupsAreReady(): Promise<boolean> {
    const states = await Promise.all(
      this.controllers.map(entry =>
        this.admin<{ groups: { state: string }[] }>(entry, '/v1/status'),
      ),
    );
    return states.every(({ groups }) => groups.some(group => group.state === 'ready'));
  }

  async #addProcesses(
    domain: string,
    links: readonly string[],
    remote: readonly string[],
  ): Promise<void> {
    const addresses = await freeAddresses(
      links.length + 2 * (this.#options.gatewaysPerDomain ?? 1),
    );
    links.forEach((link, index) => {
      const name = `${domain}-c${index + 1}`;
      const admin = addresses[index];
      const settings = controllerSettings(
        this.#processPlan(name, domain, link, links, remote),
        admin,
      );
      const child = new Child('controller', name, settings);
      this.controllers.push({
        child,
        name,
        failureDomain: domain,
        link,
        admin,
      });
    });
    const gatewayAddresses = addresses.slice(links.length);
    for (let index = 0; 2 * index < gatewayAddresses.length; index++) {
      const name = `${domain}-g${index + 1}`;
      const [link, address] = gatewayAddresses.slice(2 * index);
      const plan = this.#processPlan(name, domain, link, links, remote);
      const settings = {
        ...gatewaySettings(plan, address, this.#options.callers, this.#options.limits),
        routing: this.#options.routing ?? {},
      };
      const child = new Child('gateway', name, settings);
      this.gateways.push({ child, name, failureDomain: domain, address, link });
    }
  }

  #processPlan(
    name: string,
    failureDomain: string,
    link: string,
    controllers: readonly string[],
    remoteControllers: readonly string[],
  ): ProcessPlan {
    const { platformFor, controllersFor, timing, logLevel } = this.#options;
    const platform = this.#platformUrl;
    return {
      name,
      failureDomain,
      platformUrl: platformFor?.(name, platform) ?? platform,
      link,
      controllers: controllersFor?.(name, controllers) ?? controllers,
      remoteControllers: controllersFor?.(name, remoteControllers) ?? remoteControllers,
      timing: { ...FAST_TIMING, ...timing },
      logLevel: logLevel ?? 'info',
    };
  }
}
