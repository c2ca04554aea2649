/**
 * A small model of model hosts for tests of the plans: joins, stagings that share the weight
 * store's bandwidth, losses and arrivals. Time only moves in `run`; orders are taken at once.
 */
import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';
import type { FleetDomain, FleetView, PlacedGroup } from '../groups/fleet-view.js';
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
  #groups: ModelGroup[] = [];
  #now = 0;
  #dissolvedAt = -Infinity;
  #made = 0;
  /** Time that hosts spent in serving groups, in host milliseconds. */
  servingHostMs = 0;
  /** Time that hosts could have spent there if loads took no time, in host milliseconds. */
  possibleHostMs = 0;
  /** Time without a serving group by model, in milliseconds. */
  readonly unservedMs = new Map<string, number>();

  constructor(options: FleetModelOptions) {
    this.#profile = options.profile;
    this.#perFailureDomain = options.domainsPerFailureDomain;
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

  /** Serving groups of a model. */
  serving(model: string): number {
    return this.#groups.filter(group => group.model.name === model && group.openInMs === 0).length;
  }

  /** True when no join and no staging is under way. */
  get isQuiet(): boolean {
    const joining = this.#groups.some(group => group.openInMs > 0);
    return !joining && this.#hosts.every(host => host.staging === undefined);
  }

  /** Most free hosts that any fabric domain has. */
  get mostFree(): number {
    return Math.max(0, ...this.#view().domains.map(domain => domain.free.length));
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
    const lost = from[pick % from.length];
    this.#groups = this.#groups.filter(group => !group.members.some(member => member === lost));
    const index = this.#hosts.findIndex(host => host === lost);
    this.#hosts.splice(index, 1);
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
    const formations = planFormations(view, loads);
    for (const { hosts, model, readyMs } of formations) {
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
      this.#groups = this.#groups.filter(group => !dissolved.includes(group.name));
    }
    return dissolved.length > 0;
  }

  #stage(view: FleetView, loads: FormationLoads): boolean {
    if (loads === FREE_LOADS) {
      const prepared = planStagings(view, Infinity);
      for (const { host, model } of prepared) {
        this.#putStaged(this.#find(host), model);
      }
      return prepared.length > 0;
    }
    const { loadsPerSecond, loadsAtOnce } = this.#profile;
    const running = this.#hosts.filter(host => host.staging !== undefined).length;
    const left = this.#budget.left(this.#now, loadsPerSecond, loadsAtOnce + 1, running);
    const planned = planStagings(view, left);
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
    const serving = this.#groups.filter(group => group.openInMs === 0);
    this.servingHostMs += ms * serving.reduce((sum, group) => sum + group.members.length, 0);
    const allFree = view.domains.map(domain => ({
      ...domain,
      free: this.#hosts.filter(host => host.fabricDomain === domain.fabricDomain).map(entryOf),
      groups: [],
    }));
    const ideal = planFormations({ ...view, domains: allFree }, FREE_LOADS);
    this.possibleHostMs += ms * ideal.reduce((sum, formation) => sum + formation.hosts.length, 0);
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
    return { profile: this.#profile, domains, stagingNow, slow: new Set() };
  }
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
