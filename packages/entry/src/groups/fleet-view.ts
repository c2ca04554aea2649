/** The hosts of a service as the plans see them: by fabric domain, free or in a group. Pure. */
import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { CapacityValue } from './capacity-value.js';

/** A group that serves or forms. */
export type PlacedGroup = {
  readonly name: string;
  readonly model: string;
  /** Members as far as their entries are there, head first. */
  readonly members: readonly HostEntry[];
  /** It serves, is whole, and its head can be told to leave. */
  readonly dissolvable: boolean;
};

/** One fabric domain. */
export type FleetDomain = {
  readonly fabricDomain: string;
  readonly failureDomain: string;
  readonly free: readonly HostEntry[];
  readonly groups: readonly PlacedGroup[];
};

/** What plans start from. */
export type FleetView = {
  readonly profile: EngineProfile;
  /** Fabric domains that may be used. */
  readonly domains: readonly FleetDomain[];
  /** Fabric domains of evacuated failure domains: their groups and hosts are not counted meanwhile. */
  readonly evacuated: readonly FleetDomain[];
  /**
   * A failure domain has just come back into use and its hosts may be cold: its groups count, but no other
   * groups are dissolved because of them.
   */
  readonly isReturning: boolean;
  /** Fabric domains whose hosts are coming back one after the other, or were a moment ago. */
  readonly lapsed: ReadonlySet<string>;
  /** Model that a host is staging. */
  readonly stagingNow: (hostId: string) => string | undefined;
  /** Hosts that are slow: a group runs at the pace of its slowest member. */
  readonly slow: ReadonlySet<string>;
};

/** Time of a join that needs no load, in milliseconds (from the platform's protocol). */
export const REJOIN_MS = 200;

/** Time until a host is ready for a model without a load; undefined when it has to load. */
export function warmMsOf(host: HostEntry, model: GroupModel, view: FleetView): number | undefined {
  if (host.lastModel === model.name) {
    return REJOIN_MS;
  }
  // A join that needs the staged copy waits for a staging that is under way.
  const staged = host.stagedModels.includes(model.name);
  return staged && view.stagingNow(host.id) === undefined ? model.warmMs : undefined;
}

/** True when a host is ready for a model without a load, or will be after its staging. */
export function willHave(host: HostEntry, model: GroupModel, view: FleetView): boolean {
  const staging = view.stagingNow(host.id);
  if (host.lastModel === model.name || staging === model.name) {
    return true;
  }
  return staging === undefined && host.stagedModels.includes(model.name);
}

/** The names of all failure domains. */
export function failureDomainsOf(domains: readonly FleetDomain[]): readonly string[] {
  return [...new Set(domains.map(domain => domain.failureDomain))];
}

/** The fleet as it will be once no failure domain is evacuated any more. */
export function wholeFleetOf(view: FleetView): FleetView {
  return { ...view, domains: [...view.domains, ...view.evacuated], evacuated: [] };
}

/**
 * Divides fabric domains into those that may be used and those that are evacuated. Where all are
 * evacuated, plans go on as if none were: no other domain can take over, and the groups will be needed as
 * soon as the first evacuation ends.
 */
export function dividedByUse(
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

/** The value of the groups in the domains that may be used. */
export function valueOf(view: FleetView): CapacityValue {
  const { profile, domains } = view;
  const value = new CapacityValue(profile.models, failureDomainsOf(domains).length);
  for (const domain of domains) {
    for (const group of domain.groups) {
      value.add(group.model, domain.failureDomain, 1);
    }
  }
  return value;
}

/** The most of `hosts` that groups of these sizes can use. */
export function mostUsable(hosts: number, sizes: readonly number[]): number {
  const reachable = new Array<boolean>(hosts + 1).fill(false);
  reachable[0] = true;
  let most = 0;
  for (let used = 1; used <= hosts; used++) {
    reachable[used] = sizes.some(size => size <= used && reachable[used - size] === true);
    most = reachable[used] === true ? used : most;
  }
  return most;
}
