/**
 * Decides which serving groups are dissolved because their hosts are worth more in another. Pure.
 *
 * After the loss of a member the others of its group stand idle unless the domain has a host to
 * replace it. A host of a less needed group that has the model staged can do that.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import type { CapacityValue } from './capacity-value.js';
import type { FleetDomain, FleetView, PlacedGroup } from './fleet-view.js';
import { failureDomainsOf, valueOf } from './fleet-view.js';
import { fillDomains, NO_LOADS } from './formation-plan.js';

/**
 * Part by which the cost has to fall for each dissolved group, which costs its streams and two to
 * three seconds. Chosen by hand; moves on the users' days gained 0.1 to 0.45 (log line `group
 * dissolved for another`).
 */
const LEAST_GAIN = 0.08;

/** Most groups that are dissolved at once; more would empty a fabric domain for one group. */
const MOST_DISSOLVED = 4;

/** Groups to be dissolved; their hosts then form what `planFormations` makes of them. */
export type PlannedDissolution = {
  readonly groups: readonly PlacedGroup[];
  /** Part by which the cost falls, 0 to 1. */
  readonly gain: number;
};

/** The dissolution that lowers the cost most; undefined when none is worth it. */
export function planDissolution(view: FleetView): PlannedDissolution | undefined {
  const failureDomains = failureDomainsOf(view.domains);
  const value = valueOf(view);
  const formed = fillDomains(view, view.domains, value, NO_LOADS);
  const before = value.total(failureDomains);
  let best: PlannedDissolution | undefined;
  for (const domain of view.domains) {
    const formedHere = formed.filter(one => one.fabricDomain === domain.fabricDomain);
    for (const groups of choicesIn(domain)) {
      const given = [...formedHere.map(one => one.model.name), ...groups.map(one => one.model)];
      const gain = 1 - costWithout(view, domain, groups, given, value) / before;
      if (gain > Math.max(LEAST_GAIN * groups.length, best?.gain ?? 0)) {
        best = { groups, gain };
      }
    }
  }
  return best;
}

// Cost of all models once the domain's free hosts and those of the dissolved groups have formed all
// the groups that they can without a load, in place of `given`. Leaves `value` as it was.
function costWithout(
  view: FleetView,
  domain: FleetDomain,
  dissolved: readonly PlacedGroup[],
  given: readonly string[],
  value: CapacityValue,
): number {
  const { failureDomain } = domain;
  given.forEach(model => {
    value.add(model, failureDomain, -1);
  });
  const formed = fillDomains(view, [without(domain, dissolved)], value, NO_LOADS);
  const cost = value.total(failureDomainsOf(view.domains));
  formed.forEach(({ model }) => {
    value.add(model.name, failureDomain, -1);
  });
  given.forEach(model => {
    value.add(model, failureDomain, 1);
  });
  return cost;
}

// Groups of one model in one domain differ little: those with most hosts of use elsewhere go first.
function choicesIn(domain: FleetDomain): readonly (readonly PlacedGroup[])[] {
  const models = new Set(domain.groups.map(group => group.model));
  return [...models].flatMap(model => {
    const groups = domain.groups
      .filter(group => group.model === model && group.dissolvable)
      .sort((a, b) => versatility(b) - versatility(a))
      .slice(0, MOST_DISSOLVED);
    return groups.map((_, index) => groups.slice(0, index + 1));
  });
}

function versatility(group: PlacedGroup): number {
  const others = (host: HostEntry): number =>
    host.stagedModels.filter(model => model !== group.model).length;
  return group.members.reduce((sum, host) => sum + others(host), 0);
}

function without(domain: FleetDomain, dissolved: readonly PlacedGroup[]): FleetDomain {
  const groups = domain.groups.filter(other => !dissolved.includes(other));
  return {
    ...domain,
    groups,
    free: [...domain.free, ...dissolved.flatMap(({ members }) => members)],
  };
}
