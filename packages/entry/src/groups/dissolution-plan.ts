/**
 * Decides which serving groups are dissolved because their hosts are worth more in others. All functions are pure.
 *
 * After the loss of a member, the rest of its group is idle unless the fabric domain has a host to replace it. A
 * host of a less needed group can replace it if it has the model staged.
 */
import type { GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { CapacityValue } from './capacity-value.js';
import { UNSERVED_COST } from './capacity-value.js';
import type { FleetDomain, FleetView, PlacedGroup } from './fleet-view.js';
import { capacityValueOf, failureDomainsOf, joinMsWithoutLoad } from './fleet-view.js';
import { NO_LOADS, planFormationsIn } from './formation-plan.js';

/**
 * Fraction by which the cost has to fall for each dissolved group, 0 to 1: a dissolution interrupts the group's
 * streams and takes two to three seconds. The log line `group dissolved for another` contains the `gain` of each.
 */
const MIN_GAIN = 0.08;

/**
 * Largest number of groups of one model that are dissolved at once without a specific model to form; more would
 * empty a fabric domain for a small gain. To form a specific model, as many groups as it needs may be dissolved.
 */
const MAX_DISSOLVED = 4;

/** Groups to be dissolved; afterwards `planFormations` plans new groups of their hosts. */
export type PlannedDissolution = {
  readonly groups: readonly PlacedGroup[];
  /** Fraction by which the cost falls, 0 to 1. */
  readonly gain: number;
};

/** The dissolution that lowers the cost most; undefined when none lowers it enough. */
export function planDissolution(view: FleetView): PlannedDissolution | undefined {
  const failureDomains = failureDomainsOf(view.domains);
  const value = capacityValueOf(view);
  const formed = planFormationsIn(view, view.domains, value, NO_LOADS);
  const costBefore = value.total(failureDomains);
  let lowestCost = costBefore;
  let best: PlannedDissolution | undefined;
  for (const domain of view.domains) {
    const plannedHere = formed.filter(one => one.fabricDomain === domain.fabricDomain);
    for (const groups of dissolvableSetsIn(domain, view)) {
      const replaced = [...plannedHere.map(one => one.model.name), ...groups.map(one => one.model)];
      const costAfter = costAfterDissolving(view, domain, groups, replaced, value);
      if (costAfter < lowestCost && isWorthwhile(costBefore, costAfter, groups.length, view)) {
        lowestCost = costAfter;
        best = { groups, gain: 1 - costAfter / costBefore };
      }
    }
  }
  return best;
}

// The cost has to fall enough for each dissolved group. A model that no group serves is restored whatever that
// costs the others: its requests all fail, while those of the others only get slower. While a failure domain
// returns from an evacuation this is the only reason to dissolve groups: its cold groups can't replace them yet.
function isWorthwhile(
  costBefore: number,
  costAfter: number,
  dissolved: number,
  view: FleetView,
): boolean {
  const servesAnotherModel = costBefore - costAfter > UNSERVED_COST / 2;
  const lowersCost = costAfter < costBefore * Math.pow(1 - MIN_GAIN, dissolved);
  return servesAnotherModel || (lowersCost && !view.isReturning);
}

// The cost of all models once the domain's free hosts and those of the dissolved groups have formed all the groups
// that they can without a load, in place of groups of the models `replaced`. Restores `value` before it returns.
function costAfterDissolving(
  view: FleetView,
  domain: FleetDomain,
  dissolved: readonly PlacedGroup[],
  replaced: readonly string[],
  value: CapacityValue,
): number {
  const { failureDomain } = domain;
  replaced.forEach(model => {
    value.add(model, failureDomain, -1);
  });
  const formed = planFormationsIn(
    view,
    [domainAfterDissolving(domain, dissolved)],
    value,
    NO_LOADS,
  );
  const cost = value.total(failureDomainsOf(view.domains));
  formed.forEach(({ model }) => {
    value.add(model.name, failureDomain, -1);
  });
  replaced.forEach(model => {
    value.add(model, failureDomain, 1);
  });
  return cost;
}

// The sets of groups of the domain whose dissolution is evaluated.
function dissolvableSetsIn(
  domain: FleetDomain,
  view: FleetView,
): readonly (readonly PlacedGroup[])[] {
  const forModels = view.profile.models.map(model => groupsToDissolveFor(model, domain, view));
  return [...prefixesByModel(domain), ...forModels.filter(groups => groups.length > 0)];
}

// Groups of one model in one domain differ little: those whose hosts have most copies of other models come first.
function prefixesByModel(domain: FleetDomain): readonly (readonly PlacedGroup[])[] {
  const models = new Set(domain.groups.map(group => group.model));
  return [...models].flatMap(model => {
    const groups = domain.groups
      .filter(group => group.model === model && group.dissolvable)
      .sort((a, b) => countOtherCopies(b) - countOtherCopies(a))
      .slice(0, MAX_DISSOLVED);
    return groups.map((_, index) => groups.slice(0, index + 1));
  });
}

// The groups of other models whose hosts, together with free hosts, can form one group of `model` without a load;
// empty if they can't. Groups with the largest fraction of ready hosts are chosen first.
function groupsToDissolveFor(
  model: GroupModel,
  domain: FleetDomain,
  view: FleetView,
): readonly PlacedGroup[] {
  const readyOf = (hosts: readonly HostEntry[]): number =>
    hosts.filter(host => joinMsWithoutLoad(host, model, view) !== undefined).length;
  const readyFraction = ({ members }: PlacedGroup): number => readyOf(members) / members.length;
  const others = domain.groups
    .filter(group => group.dissolvable && group.model !== model.name && readyFraction(group) > 0)
    .sort((a, b) => readyFraction(b) - readyFraction(a));
  const chosen: PlacedGroup[] = [];
  let missing = model.size - readyOf(domain.free);
  for (const group of others) {
    if (missing <= 0) {
      break;
    }
    chosen.push(group);
    missing -= readyOf(group.members);
  }
  return missing > 0 ? [] : withoutUnneeded(chosen, -missing, readyOf);
}

// Removes groups that are not needed because `spare` ready hosts remain without them, the last chosen first.
function withoutUnneeded(
  chosen: readonly PlacedGroup[],
  spare: number,
  readyOf: (hosts: readonly HostEntry[]) => number,
): readonly PlacedGroup[] {
  let left = spare;
  const needed = [...chosen].reverse().filter(group => {
    const ready = readyOf(group.members);
    const isUnneeded = ready <= left;
    left -= isUnneeded ? ready : 0;
    return !isUnneeded;
  });
  return needed.reverse();
}

// The number of staged copies of other models on the hosts of the group.
function countOtherCopies(group: PlacedGroup): number {
  const others = (host: HostEntry): number =>
    host.stagedModels.filter(model => model !== group.model).length;
  return group.members.reduce((sum, host) => sum + others(host), 0);
}

function domainAfterDissolving(
  domain: FleetDomain,
  dissolved: readonly PlacedGroup[],
): FleetDomain {
  const groups = domain.groups.filter(other => !dissolved.includes(other));
  return {
    ...domain,
    groups,
    free: [...domain.free, ...dissolved.flatMap(({ members }) => members)],
  };
}
