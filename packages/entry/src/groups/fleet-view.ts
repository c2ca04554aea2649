/** The planning view of a service: its hosts by fabric domain, each free or in a group. All functions are pure. */
import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { CapacityValue } from './capacity-value.js';

/** A replica group that serves or is being formed. */
export type PlacedGroup = {
  readonly name: string;
  readonly model: string;
  /** The members that have an entry, head first. */
  readonly members: readonly HostEntry[];
  /** The group serves, all its members are present, and its head can be ordered to leave. */
  readonly dissolvable: boolean;
};

/** A fabric domain with its free hosts and its groups. */
export type FleetDomain = {
  readonly fabricDomain: string;
  readonly failureDomain: string;
  readonly free: readonly HostEntry[];
  readonly groups: readonly PlacedGroup[];
};

/** The input of all plans: the models of a service and its hosts by fabric domain. */
export type FleetView = {
  readonly profile: EngineProfile;
  /** Fabric domains that plans may use. */
  readonly domains: readonly FleetDomain[];
  /** Fabric domains of evacuated failure domains; their groups and hosts do not count during the evacuation. */
  readonly evacuated: readonly FleetDomain[];
  /**
   * True when the evacuation of a failure domain has just ended, so that its hosts may be cold: its groups count,
   * but no other groups are dissolved because of them.
   */
  readonly isReturning: boolean;
  /** Fabric domains that lack most of their entries, or did until recently: their hosts may return one by one. */
  readonly lapsedDomains: ReadonlySet<string>;
  /** The model that a host is staging; undefined when it stages none. */
  readonly stagingModelOf: (hostId: string) => string | undefined;
  /** Ids of slow hosts; a group runs at the pace of its slowest member. */
  readonly slowHosts: ReadonlySet<string>;
};

/** Time that a host needs to join a group of its last model, in milliseconds (from the platform's protocol). */
export const REJOIN_MS = 200;

/** Time until a host is ready for a model without a load, in milliseconds; undefined when it has to load. */
export function joinMsWithoutLoad(
  host: HostEntry,
  model: GroupModel,
  view: FleetView,
): number | undefined {
  if (host.lastModel === model.name) {
    return REJOIN_MS;
  }
  // A join that needs the staged copy has to wait for a staging in progress on the same host.
  const staged = host.stagedModels.includes(model.name);
  return staged && view.stagingModelOf(host.id) === undefined ? model.warmMs : undefined;
}

/** True when a host is ready for a model without a load, or will be once its staging in progress is done. */
export function isOrWillBeReady(host: HostEntry, model: GroupModel, view: FleetView): boolean {
  const staging = view.stagingModelOf(host.id);
  if (host.lastModel === model.name || staging === model.name) {
    return true;
  }
  return staging === undefined && host.stagedModels.includes(model.name);
}

/** The distinct failure domains of these fabric domains. */
export function failureDomainsOf(domains: readonly FleetDomain[]): readonly string[] {
  return [...new Set(domains.map(domain => domain.failureDomain))];
}

/** The view as it would be without any evacuation: evacuated fabric domains are added to those in use. */
export function withEvacuatedDomains(view: FleetView): FleetView {
  return { ...view, domains: [...view.domains, ...view.evacuated], evacuated: [] };
}

/**
 * Divides fabric domains into those that may be used and those that are evacuated. When all are evacuated, plans
 * continue as if none were: no other domain can take over, and the groups are needed as soon as the first
 * evacuation ends.
 */
export function splitByEvacuation(
  domains: readonly FleetDomain[],
  evacuatedDomains: ReadonlySet<string>,
): Pick<FleetView, 'domains' | 'evacuated'> {
  const isEvacuated = (domain: FleetDomain): boolean => evacuatedDomains.has(domain.failureDomain);
  return domains.every(isEvacuated)
    ? { domains, evacuated: [] }
    : {
        domains: domains.filter(domain => !isEvacuated(domain)),
        evacuated: domains.filter(isEvacuated),
      };
}

/** The capacity value of the groups in the domains that may be used. */
export function capacityValueOf(view: FleetView): CapacityValue {
  const { profile, domains } = view;
  const value = new CapacityValue(profile.models, failureDomainsOf(domains).length);
  for (const domain of domains) {
    for (const group of domain.groups) {
      value.add(group.model, domain.failureDomain, 1);
    }
  }
  return value;
}

/** The largest number of hosts, at most `hosts`, that groups of these sizes can use up exactly. */
export function maxUsableHosts(hosts: number, sizes: readonly number[]): number {
  const reachable = new Array<boolean>(hosts + 1).fill(false);
  reachable[0] = true;
  let most = 0;
  for (let used = 1; used <= hosts; used++) {
    reachable[used] = sizes.some(size => size <= used && reachable[used - size] === true);
    most = reachable[used] === true ? used : most;
  }
  return most;
}
