/**
 * A small model of model hosts for tests of the plans: joins, stagings that share the weight
 * store's bandwidth, losses, arrivals and evacuated failure domains. Time only moves in `run`; orders
 * are taken at once.
 */
import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';
import { planIdleFormations, planIdleStagings } from '../groups/evacuated-plan.js';
import type { FleetDomain, FleetView, PlacedGroup } from '../groups/fleet-view.js';
import { dividedByUse, wholeFleetOf } from '../groups/fleet-view.js';
import type { FormationLoads } from '../groups/formation-plan.js';
import { FREE_LOADS, NO_LOADS, planFormations } from '../groups/formation-plan.js';
import { LoadBudget } from '../groups/load-budget.js';
import { planDissolution } from '../groups/rearrangement-plan.js';
import { planStagings } from '../groups/staging-plan.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { testHost } from './groups.js';

/** What a fleet is made of. */
export type FleetModelOptions = {
  readonly profile: EngineProfile;
  /** Hosts by fabric domain. */
  readonly domainSizes: readonly number[];
  /** Fabric domains that make up a failure domain. */
  readonly domainsPerFailureDomain: number;
  /** Model that a host has staged at the start. */
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
  /** Time until it serves, in milliseconds; 0 once it does. */
  openInMs: number;
};

/** Time from the last ready member until a group serves, in milliseconds. */
const OPEN_MS = 300;
const LOAD_WINDOW_MS = 5_000;
const DISSOLUTION_PERIOD_MS = 1_500;
const FREE_LOAD_PART = 0.1;

/** The fleet, with the plans that give it orders. */
export class FleetModel {
  readonly #profile: EngineProfile;
  readonly #budget = new LoadBudget(LOAD_WINDOW_MS);
  readonly #hosts: ModelHost[] = [];
  readonly #perFailureDomain: number;
  readonly #evacuated = new Set<string>();
  readonly #possible = new Map<string, number>();
  readonly #coldMs: number;
  #groups: ModelGroup[] = [];
  #now = 0;
  #returnedAt = -Infinity;
  #dissolvedAt = -Infinity;
  #made = 0;
  /** Time that hosts spent in serving groups, in host milliseconds. */
  servingHostMs = 0;
  /** Time that hosts could have spent there if loads took no time, in host milliseconds. */
  possibleHostMs = 0;
  /** Time of all hosts in use, in host milliseconds. */
  hostMs = 0;
  /** Time that hosts in use spent in no group and without a model that their domain serves, in host ms. */
  strandedHostMs = 0;
  /** Loads from the weight store that were begun, without those before the first request. */
  loads = 0;
  /** Orders sent to hosts. */
  orders = 0;
  /** Names of groups that were dissolved for others. */
  readonly dissolved: string[] = [];
  /** Time without a serving group by model, in milliseconds. */
  readonly unservedMs = new Map<string, number>();

  constructor(options: FleetModelOptions) {
    this.#profile = options.profile;
    this.#perFailureDomain = options.domainsPerFailureDomain;
    this.#coldMs = options.coldMs ?? 0;
    options.domainSizes.forEach((size, domain) => {
      for (let index = 0; index < size; index++) {
        const staged = options.stagedAtStart?.(this.#hosts.length);
        this.arrive(domain, staged === undefined ? [] : [staged]);
      }
    });
  }

  /** Hosts that are there. */
  get hostCount(): number {
    return this.#hosts.length;
  }

  /** Serving groups of a model; those of evacuated failure domains get no requests and don't count. */
  serving(model: string): number {
    return this.#serving.filter(group => group.model.name === model).length;
  }

  /** Loses a host of a failure domain for good, and its group with it; hosts in groups first. */
  loseIn(failureDomain: string): void {
    const inside = this.#groups.filter(
      ({ members }) => members[0]?.failureDomain === failureDomain,
    );
    this.#remove(inside[0]?.members[0]);
  }

  /** Names of the groups in a failure domain, serving or not. */
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

  /** True when no join and no staging is under way. */
  get isQuiet(): boolean {
    const joining = this.#groups.some(group => group.openInMs > 0);
    return !joining && this.#hosts.every(host => host.staging === undefined);
  }

  /** Most free hosts that any fabric domain has, evacuated or not. */
  get mostFree(): number {
    const { domains } = wholeFleetOf(this.#view());
    return Math.max(0, ...domains.map(domain => domain.free.length));
  }

  /** A host comes. */
  arrive(domain: number, staged: readonly string[] = []): void {
    this.#made += 1;
    this.#hosts.push({
      id: `h${this.#made}`,
      fabricDomain: `d${domain}`,
      failureDomain: `z${Math.floor(domain / this.#perFailureDomain)}`,
      loaded: undefined,
      staged,
      staging: undefined,
    });
  }

  /** A host is lost for good, and its group with it; `pick` chooses it, hosts in groups first. */
  lose(pick: number): void {
    const grouped = this.#groups.flatMap(group => group.members);
    const from = grouped.length > 0 ? grouped : this.#hosts;
    this.#remove(from[pick % from.length]);
  }

  #remove(lost: ModelHost | undefined): void {
    this.#groups = this.#groups.filter(group => !group.members.some(member => member === lost));
    const index = this.#hosts.findIndex(host => host === lost);
    this.#hosts.splice(index, 1);
  }

  /** Nothing may be sent to a failure domain from now on. */
  evacuate(failureDomain: string): void {
    this.#evacuated.add(failureDomain);
  }

  /** It may be used again. */
  takeBack(failureDomain: string): void {
    this.#evacuated.delete(failureDomain);
    this.#returnedAt = this.#now;
  }

  /** Lets time pass; `loads` tells whether loads are free meanwhile. */
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
    const formations = [...planFormations(view, loads), ...planIdleFormations(view, loads)];
    for (const { hosts, model, readyMs } of formations) {
      this.orders += hosts.length + 1;
      const members = hosts.map(host => this.#find(host));
      const part = loads === FREE_LOADS ? FREE_LOAD_PART : 1;
      this.#made += 1;
      const openInMs = readyMs * part + OPEN_MS;
      this.#groups.push({ name: `g${this.#made}`, model, members, openInMs });
      members.forEach(member => {
        this.#load(member, model);
      });
    }
    return formations.length > 0 || this.#rearrange(view) || this.#stage(view, loads);
  }

  #load(host: ModelHost, model: GroupModel): void {
    if (host.loaded !== model.name && !host.staged.includes(model.name)) {
      this.#putStaged(host, model);
    }
    host.loaded = model.name;
  }

  #putStaged(host: ModelHost, model: GroupModel): void {
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
    if (loads === FREE_LOADS) {
      const prepared = [...planStagings(view, Infinity), ...planIdleStagings(view, Infinity)];
      for (const { host, model } of prepared) {
        this.#putStaged(this.#find(host), model);
      }
      return prepared.length > 0;
    }
    const { loadsPerSecond, loadsAtOnce } = this.#profile;
    const running = this.#hosts.filter(host => host.staging !== undefined).length;
    const left = this.#budget.left(this.#now, loadsPerSecond, loadsAtOnce + 1, running);
    const inUse = planStagings(view, left);
    const planned = [...inUse, ...planIdleStagings(view, left - inUse.length)];
    this.loads += planned.length;
    this.orders += planned.length;
    this.#budget.note(this.#now, planned.length);
    for (const { host, model } of planned) {
      this.#find(host).staging = { model, leftMs: model.loadMs };
    }
    return planned.length > 0;
  }

  #nextEventMs(): number {
    const slowness = this.#slowness();
    const stagings = this.#hosts.flatMap(host => host.staging?.leftMs ?? []);
    const openings = this.#groups.map(group => group.openInMs).filter(left => left > 0);
    return Math.min(DISSOLUTION_PERIOD_MS, ...stagings.map(left => left * slowness), ...openings);
  }

  #advance(ms: number): void {
    this.#measure(ms);
    this.#now += ms;
    const progress = ms / this.#slowness();
    for (const host of this.#hosts) {
      if (host.staging !== undefined) {
        host.staging.leftMs -= progress;
        if (host.staging.leftMs <= 0) {
          this.#putStaged(host, host.staging.model);
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

  // Hosts that would be in groups if every host could serve any model; cached by the hosts in use.
  #possibleHosts(view: FleetView): number {
    const sizes = view.domains.map(({ fabricDomain, free, groups }) => {
      const grouped = groups.reduce((sum, { members }) => sum + members.length, 0);
      return `${fabricDomain}:${free.length + grouped}`;
    });
    const key = sizes.join();
    let possible = this.#possible.get(key);
    if (possible === undefined) {
      const domains = view.domains.map(domain => ({ ...domain, free: allOf(domain), groups: [] }));
      const ideal = planFormations({ ...view, domains }, FREE_LOADS);
      possible = ideal.reduce((sum, { hosts }) => sum + hosts.length, 0);
      this.#possible.set(key, possible);
    }
    return possible;
  }

  #measureStranded(view: FleetView, ms: number): void {
    for (const domain of view.domains) {
      const served = new Set(domain.groups.map(group => group.model));
      const free = domain.free.filter(({ lastModel, stagedModels }) =>
        [lastModel, ...stagedModels].every(model => model === undefined || !served.has(model)),
      );
      const stranded = free.filter(host => view.stagingNow(host.id) === undefined);
      const inGroups = domain.groups.reduce((sum, { members }) => sum + members.length, 0);
      this.hostMs += ms * (domain.free.length + inGroups);
      this.strandedHostMs += ms * stranded.length;
    }
  }

  // Each load takes proportionally longer once more than the declared number run at a time.
  #slowness(): number {
    const running = this.#hosts.filter(host => host.staging !== undefined).length;
    return Math.max(1, running / this.#profile.loadsAtOnce);
  }

  #find(entry: HostEntry): ModelHost {
    const host = this.#hosts.find(candidate => candidate.id === entry.id);
    if (host === undefined) {
      throw new Error(`no host ${entry.id}`);
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
        free: hosts.filter(host => !grouped.has(host)).map(entryOf),
        groups: this.#groups
          .filter(group => group.members[0]?.fabricDomain === fabricDomain)
          .map(placedOf),
      };
    });
    const stagingNow = (id: string): string | undefined =>
      this.#hosts.find(host => host.id === id)?.staging?.model.name;
    const divided = dividedByUse(domains, this.#evacuated);
    return {
      profile: this.#profile,
      ...divided,
      isReturning,
      lapsed: new Set(),
      stagingNow,
      slow: new Set(),
    };
  }
}

// The hosts of a domain, with nothing on them.
function allOf({ free, groups }: FleetDomain): readonly HostEntry[] {
  const hosts = [...free, ...groups.flatMap(({ members }) => members)];
  return hosts.map(host => ({ ...host, lastModel: undefined, stagedModels: [] }));
}

function placedOf(group: ModelGroup): PlacedGroup {
  const members = group.members.map(entryOf);
  const { name, model, openInMs } = group;
  return { name, model: model.name, members, dissolvable: openInMs === 0 };
}

function entryOf(host: ModelHost): HostEntry {
  const { id, fabricDomain, failureDomain, loaded, staged } = host;
  return testHost(id, {
    fabricDomain,
    failureDomain,
    loadedModel: loaded,
    lastModel: loaded,
    stagedModels: staged,
  });
}
