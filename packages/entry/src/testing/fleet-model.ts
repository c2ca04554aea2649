/**
 * Simulates model hosts for tests of the plans: joins of groups, stagings that share the weight store's bandwidth,
 * lost and added hosts, and evacuated failure domains. Time advances only in `run`; orders take effect at once.
 */
import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';
import { planDissolution } from '../groups/dissolution-plan.js';
import { planEvacuatedFormations, planEvacuatedStagings } from '../groups/evacuated-domain-plan.js';
import type { FleetDomain, FleetView, PlacedGroup } from '../groups/fleet-view.js';
import { splitByEvacuation, withEvacuatedDomains } from '../groups/fleet-view.js';
import type { FormationLoads } from '../groups/formation-plan.js';
import { NO_LOADS, planFormations, UNLIMITED_LOADS } from '../groups/formation-plan.js';
import { LoadBudget } from '../groups/load-budget.js';
import { planStagings } from '../groups/staging-plan.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { testHost } from './groups.js';

/** Composition of a simulated fleet. */
export type FleetModelOptions = {
  readonly profile: EngineProfile;
  /** Number of hosts in each fabric domain. */
  readonly domainSizes: readonly number[];
  /** Number of fabric domains in a failure domain. */
  readonly domainsPerFailureDomain: number;
  /** Returns the model that a host has staged at the start, by the index of the host. */
  readonly stagedAtStart?: (index: number) => string | undefined;
  /** Time for which hosts stay cold after an evacuation, in milliseconds; 0 if not given. */
  readonly coldMs?: number;
};

type ModelHost = {
  readonly id: string;
  readonly fabricDomain: string;
  readonly failureDomain: string;
  loaded: string | undefined;
  staged: readonly string[];
  staging: { readonly model: GroupModel; leftMs: number } | undefined;
};

type ModelGroup = {
  readonly name: string;
  readonly model: GroupModel;
  readonly members: readonly ModelHost[];
  /** Time until the group serves, in milliseconds; 0 while it serves. */
  openInMs: number;
};

/** Time from when the last member is ready until a group serves, in milliseconds. */
const OPENING_MS = 300;
/** Window in which loads from the weight store are counted, in milliseconds. */
const LOAD_WINDOW_MS = 5_000;
/** Shortest time between two dissolutions, in milliseconds. */
const DISSOLUTION_PERIOD_MS = 1_500;
/** Duration of a formation's loads while loads are free, as a fraction of the usual duration. */
const FREE_LOAD_FACTOR = 0.1;

/** A simulated fleet that carries out the plans of the lease holder. */
export class FleetModel {
  readonly #profile: EngineProfile;
  readonly #budget = new LoadBudget(LOAD_WINDOW_MS);
  readonly #hosts: ModelHost[] = [];
  readonly #perFailureDomain: number;
  readonly #evacuated = new Set<string>();
  readonly #possibleByDomainSizes = new Map<string, number>();
  readonly #coldMs: number;
  #groups: ModelGroup[] = [];
  #now = 0;
  #returnedAt = -Infinity;
  #dissolvedAt = -Infinity;
  #namesUsed = 0;
  /** Time that hosts spent in serving groups, in host milliseconds. */
  servingHostMs = 0;
  /** Time that hosts could have spent in serving groups if loads took no time, in host milliseconds. */
  possibleHostMs = 0;
  /** Time of all hosts in use, in host milliseconds. */
  hostMs = 0;
  /** Time that hosts in use spent in no group and without a model that their domain serves, in host milliseconds. */
  strandedHostMs = 0;
  /** Loads from the weight store that were started, except free ones before the first request. */
  loads = 0;
  /** Orders sent to hosts. */
  orders = 0;
  /** Names of groups that were dissolved to form others. */
  readonly dissolved: string[] = [];
  /** Time without a serving group, in milliseconds, by model. */
  readonly unservedMs = new Map<string, number>();

  constructor(options: FleetModelOptions) {
    this.#profile = options.profile;
    this.#perFailureDomain = options.domainsPerFailureDomain;
    this.#coldMs = options.coldMs ?? 0;
    options.domainSizes.forEach((size, domain) => {
      for (let index = 0; index < size; index++) {
        const staged = options.stagedAtStart?.(this.#hosts.length);
        this.addHost(domain, staged === undefined ? [] : [staged]);
      }
    });
  }

  /** Number of hosts in the fleet. */
  get hostCount(): number {
    return this.#hosts.length;
  }

  /** Number of serving groups of a model. Groups in evacuated failure domains receive no requests and don't count. */
  serving(model: string): number {
    return this.#serving.filter(group => group.model.name === model).length;
  }

  /** Permanently removes a host in a group of a failure domain, and dissolves its group. */
  removeHostIn(failureDomain: string): void {
    const inside = this.#groups.filter(
      ({ members }) => members[0]?.failureDomain === failureDomain,
    );
    this.#remove(inside[0]?.members[0]);
  }

  /** Names of all groups in a failure domain, including those that don't serve yet. */
  groupsIn(failureDomain: string): readonly string[] {
    const inside = this.#groups.filter(
      ({ members }) => members[0]?.failureDomain === failureDomain,
    );
    return inside.map(group => group.name);
  }

  get #serving(): readonly ModelGroup[] {
    return this.#groups.filter(group => group.openInMs === 0 && !this.#isEvacuated(group));
  }

  #isEvacuated({ members }: ModelGroup): boolean {
    return this.#evacuated.has(members[0]?.failureDomain ?? '');
  }

  /** True while no group is joining and no host is staging. */
  get isSettled(): boolean {
    const isJoining = this.#groups.some(group => group.openInMs > 0);
    return !isJoining && this.#hosts.every(host => host.staging === undefined);
  }

  /** Largest number of free hosts in any fabric domain, evacuated domains included. */
  get maxFreeHosts(): number {
    const { domains } = withEvacuatedDomains(this.#view());
    return Math.max(0, ...domains.map(domain => domain.free.length));
  }

  /** Adds a host to a fabric domain. */
  addHost(domain: number, staged: readonly string[] = []): void {
    this.#namesUsed += 1;
    this.#hosts.push({
      id: `h${this.#namesUsed}`,
      fabricDomain: `d${domain}`,
      failureDomain: `z${Math.floor(domain / this.#perFailureDomain)}`,
      loaded: undefined,
      staged,
      staging: undefined,
    });
  }

  /** Permanently removes a host and dissolves its group; `pick` selects among hosts in groups, or all if none is. */
  removeHost(pick: number): void {
    const grouped = this.#groups.flatMap(group => group.members);
    const candidates = grouped.length > 0 ? grouped : this.#hosts;
    this.#remove(candidates[pick % candidates.length]);
  }

  #remove(lost: ModelHost | undefined): void {
    this.#groups = this.#groups.filter(group => !group.members.some(member => member === lost));
    const index = this.#hosts.findIndex(host => host === lost);
    this.#hosts.splice(index, 1);
  }

  /** Evacuates a failure domain: nothing may be sent to it until its evacuation ends. */
  evacuate(failureDomain: string): void {
    this.#evacuated.add(failureDomain);
  }

  /** Ends the evacuation of a failure domain. */
  endEvacuation(failureDomain: string): void {
    this.#evacuated.delete(failureDomain);
    this.#returnedAt = this.#now;
  }

  /** Advances the time by `ms`; `loads` sets whether loads are free during it. */
  run(ms: number, loads: FormationLoads = NO_LOADS): void {
    const end = this.#now + ms;
    while (this.#now < end) {
      const changed = this.#plan(loads);
      const next = changed ? 0 : this.#nextEventMs();
      this.#advance(Math.max(1, Math.min(next, end - this.#now)));
    }
    this.#plan(loads);
  }

  #plan(loads: FormationLoads): boolean {
    const view = this.#view();
    const formations = [...planFormations(view, loads), ...planEvacuatedFormations(view, loads)];
    for (const { hosts, model, readyMs } of formations) {
      this.orders += hosts.length + 1;
      const members = hosts.map(host => this.#hostOf(host));
      const loadFactor = loads === UNLIMITED_LOADS ? FREE_LOAD_FACTOR : 1;
      this.#namesUsed += 1;
      const openInMs = readyMs * loadFactor + OPENING_MS;
      this.#groups.push({ name: `g${this.#namesUsed}`, model, members, openInMs });
      members.forEach(member => {
        this.#load(member, model);
      });
    }
    return formations.length > 0 || this.#rearrange(view) || this.#stage(view, loads);
  }

  #load(host: ModelHost, model: GroupModel): void {
    if (host.loaded !== model.name && !host.staged.includes(model.name)) {
      this.#addStaged(host, model);
    }
    host.loaded = model.name;
  }

  #addStaged(host: ModelHost, model: GroupModel): void {
    host.staged = [...host.staged, model.name].slice(-this.#profile.stagedModelsKept);
  }

  #rearrange(view: FleetView): boolean {
    if (this.#now - this.#dissolvedAt < DISSOLUTION_PERIOD_MS) {
      return false;
    }
    const dissolved = planDissolution(view)?.groups.map(group => group.name) ?? [];
    if (dissolved.length > 0) {
      this.#dissolvedAt = this.#now;
      this.orders += dissolved.length * 2;
      this.dissolved.push(...dissolved);
      this.#groups = this.#groups.filter(group => !dissolved.includes(group.name));
    }
    return dissolved.length > 0;
  }

  #stage(view: FleetView, loads: FormationLoads): boolean {
    if (loads === UNLIMITED_LOADS) {
      const freeStagings = [
        ...planStagings(view, Infinity),
        ...planEvacuatedStagings(view, Infinity),
      ];
      for (const { host, model } of freeStagings) {
        this.#addStaged(this.#hostOf(host), model);
      }
      return freeStagings.length > 0;
    }
    const { loadsPerSecond, loadsAtOnce } = this.#profile;
    const running = this.#hosts.filter(host => host.staging !== undefined).length;
    const left = this.#budget.availableLoads(this.#now, loadsPerSecond, loadsAtOnce + 1, running);
    const inUse = planStagings(view, left);
    const planned = [...inUse, ...planEvacuatedStagings(view, left - inUse.length)];
    this.loads += planned.length;
    this.orders += planned.length;
    this.#budget.recordLoads(this.#now, planned.length);
    for (const { host, model } of planned) {
      this.#hostOf(host).staging = { model, leftMs: model.loadMs };
    }
    return planned.length > 0;
  }

  #nextEventMs(): number {
    const slowdown = this.#loadSlowdown();
    const stagings = this.#hosts.flatMap(host => host.staging?.leftMs ?? []);
    const openings = this.#groups.map(group => group.openInMs).filter(left => left > 0);
    return Math.min(DISSOLUTION_PERIOD_MS, ...stagings.map(left => left * slowdown), ...openings);
  }

  #advance(ms: number): void {
    this.#measure(ms);
    this.#now += ms;
    const progress = ms / this.#loadSlowdown();
    for (const host of this.#hosts) {
      if (host.staging !== undefined) {
        host.staging.leftMs -= progress;
        if (host.staging.leftMs <= 0) {
          this.#addStaged(host, host.staging.model);
          host.staging = undefined;
        }
      }
    }
    for (const group of this.#groups) {
      group.openInMs = Math.max(0, group.openInMs - ms);
    }
  }

  #measure(ms: number): void {
    const view = this.#view();
    for (const model of this.#profile.models) {
      const unserved = this.serving(model.name) === 0 ? ms : 0;
      this.unservedMs.set(model.name, (this.unservedMs.get(model.name) ?? 0) + unserved);
    }
    this.servingHostMs += ms * this.#serving.reduce((sum, { members }) => sum + members.length, 0);
    this.#measureStranded(view, ms);
    this.possibleHostMs += ms * this.#possibleHosts(view);
  }

  // Number of hosts that would be in groups if every host could serve any model; cached by the sizes of the domains.
  #possibleHosts(view: FleetView): number {
    const sizes = view.domains.map(({ fabricDomain, free, groups }) => {
      const grouped = groups.reduce((sum, { members }) => sum + members.length, 0);
      return `${fabricDomain}:${free.length + grouped}`;
    });
    const key = sizes.join();
    let possible = this.#possibleByDomainSizes.get(key);
    if (possible === undefined) {
      const domains = view.domains.map(domain => ({
        ...domain,
        free: withoutModels(domain),
        groups: [],
      }));
      const ideal = planFormations({ ...view, domains }, UNLIMITED_LOADS);
      possible = ideal.reduce((sum, { hosts }) => sum + hosts.length, 0);
      this.#possibleByDomainSizes.set(key, possible);
    }
    return possible;
  }

  #measureStranded(view: FleetView, ms: number): void {
    for (const domain of view.domains) {
      const served = new Set(domain.groups.map(group => group.model));
      const free = domain.free.filter(({ lastModel, stagedModels }) =>
        [lastModel, ...stagedModels].every(model => model === undefined || !served.has(model)),
      );
      const stranded = free.filter(host => view.stagingModelOf(host.id) === undefined);
      const inGroups = domain.groups.reduce((sum, { members }) => sum + members.length, 0);
      this.hostMs += ms * (domain.free.length + inGroups);
      this.strandedHostMs += ms * stranded.length;
    }
  }

  // Factor by which loads take longer: proportional to running loads once they exceed the declared number.
  #loadSlowdown(): number {
    const running = this.#hosts.filter(host => host.staging !== undefined).length;
    return Math.max(1, running / this.#profile.loadsAtOnce);
  }

  #hostOf(entry: HostEntry): ModelHost {
    const host = this.#hosts.find(candidate => candidate.id === entry.id);
    if (host === undefined) {
      throw new Error(`host ${entry.id} is not in the fleet`);
    }
    return host;
  }

  #view(): FleetView {
    const grouped = new Set(this.#groups.flatMap(group => group.members));
    const names = [...new Set(this.#hosts.map(host => host.fabricDomain))];
    const isReturning = this.#now - this.#returnedAt < this.#coldMs;
    const domains: FleetDomain[] = names.map(fabricDomain => {
      const hosts = this.#hosts.filter(host => host.fabricDomain === fabricDomain);
      return {
        fabricDomain,
        failureDomain: hosts[0]?.failureDomain ?? '',
        free: hosts.filter(host => !grouped.has(host)).map(hostEntryOf),
        groups: this.#groups
          .filter(group => group.members[0]?.fabricDomain === fabricDomain)
          .map(placedGroupOf),
      };
    });
    const stagingNow = (id: string): string | undefined =>
      this.#hosts.find(host => host.id === id)?.staging?.model.name;
    const divided = splitByEvacuation(domains, this.#evacuated);
    return {
      profile: this.#profile,
      ...divided,
      isReturning,
      lapsedDomains: new Set(),
      stagingModelOf: stagingNow,
      slowHosts: new Set(),
    };
  }
}

// All hosts of a domain, without loaded or staged models.
function withoutModels({ free, groups }: FleetDomain): readonly HostEntry[] {
  const hosts = [...free, ...groups.flatMap(({ members }) => members)];
  return hosts.map(host => ({ ...host, lastModel: undefined, stagedModels: [] }));
}

function placedGroupOf(group: ModelGroup): PlacedGroup {
  const members = group.members.map(hostEntryOf);
  const { name, model, openInMs } = group;
  return { name, model: model.name, members, dissolvable: openInMs === 0 };
}

function hostEntryOf(host: ModelHost): HostEntry {
  const { id, fabricDomain, failureDomain, loaded, staged } = host;
  return testHost(id, {
    fabricDomain,
    failureDomain,
    loadedModel: loaded,
    lastModel: loaded,
    stagedModels: staged,
  });
}
