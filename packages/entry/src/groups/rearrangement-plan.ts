/**
 * Decides which serving groups are dissolved because their hosts are worth more in another. Pure.
 *
 * After the loss of a member the others of its group stand idle unless the domain has a host to
 * replace it. A host of a less needed group that has the model staged can do that.
 */
import type { GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import type { CapacityValue } from './capacity-value.js';
import { UNSERVED_COST } from './capacity-value.js';
import type { FleetDomain, FleetView, PlacedGroup } from './fleet-view.js';
import { failureDomainsOf, valueOf, warmMsOf } from './fleet-view.js';
import { fillDomains, NO_LOADS } from './formation-plan.js';

/**
 * Part by which the cost has to fall for each dissolved group, 0 to 1: it costs its streams and two to three
 * seconds. The log line `group dissolved for another` tells the `gain` of each.
 */
const LEAST_GAIN = 0.08;

/**
 * Most groups of one model that are dissolved at once for whatever their hosts can form; more would
 * empty a fabric domain for a small gain. A named model may take as many groups as it needs.
 */
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
  let least = before;
  let best: PlannedDissolution | undefined;
  for (const domain of view.domains) {
    const formedHere = formed.filter(one => one.fabricDomain === domain.fabricDomain);
    for (const groups of choicesIn(domain, view)) {
      const given = [...formedHere.map(one => one.model.name), ...groups.map(one => one.model)];
      const after = costWithout(view, domain, groups, given, value);
      if (after < least && isWorthIt(before, after, groups.length, view)) {
        least = after;
        best = { groups, gain: 1 - after / before };
      }
    }
  }
  return best;
}

// Each dissolved group has to pay for itself. A model that nobody serves is brought back at any
// price: its requests all fail, while the others only get slower. While a failure domain comes back that is
// the only reason: its cold groups can't take over yet from groups that would be dissolved.
function isWorthIt(before: number, after: number, dissolved: number, view: FleetView): boolean {
  const servesOneMore = before - after > UNSERVED_COST / 2;
  const lowersCost = after < before * Math.pow(1 - LEAST_GAIN, dissolved);
  return servesOneMore || (lowersCost && !view.isReturning);
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

function choicesIn(domain: FleetDomain, view: FleetView): readonly (readonly PlacedGroup[])[] {
  const forModels = view.profile.models.map(model => groupsFor(model, domain, view));
  return [...prefixesByModel(domain), ...forModels.filter(groups => groups.length > 0)];
}

// Groups of one model in one domain differ little: those with most hosts of use elsewhere go first.
function prefixesByModel(domain: FleetDomain): readonly (readonly PlacedGroup[])[] {
  const models = new Set(domain.groups.map(group => group.model));
  return [...models].flatMap(model => {
    const groups = domain.groups
      .filter(group => group.model === model && group.dissolvable)
      .sort((a, b) => versatility(b) - versatility(a))
      .slice(0, MOST_DISSOLVED);
    return groups.map((_, index) => groups.slice(0, index + 1));
  });
}

// The groups, of any models, whose hosts together with free ones form one group of `model` without a
// load; none where they can't. Those with the largest part of ready hosts go first.
function groupsFor(
  model: GroupModel,
  domain: FleetDomain,
  view: FleetView,
): readonly PlacedGroup[] {
  const readyOf = (hosts: readonly HostEntry[]): number =>
    hosts.filter(host => warmMsOf(host, model, view) !== undefined).length;
  const partReady = ({ members }: PlacedGroup): number => readyOf(members) / members.length;
  const others = domain.groups
    .filter(group => group.dissolvable && group.model !== model.name && partReady(group) > 0)
    .sort((a, b) => partReady(b) - partReady(a));
  const chosen: PlacedGroup[] = [];
  let missing = model.size - readyOf(domain.free);
  for (const group of others) {
    if (missing <= 0) {
      break;
    }
    chosen.push(group);
    missing -= readyOf(group.members);
  }
  return missing > 0 ? [] : withoutNeedless(chosen, -missing, readyOf);
}

// Leaves out groups, the last chosen first, that the ready hosts to spare make up for.
function withoutNeedless(
  chosen: readonly PlacedGroup[],
  spare: number,
  readyOf: (hosts: readonly HostEntry[]) => number,
): readonly PlacedGroup[] {
  let left = spare;
  const needed = [...chosen].reverse().filter(group => {
    const ready = readyOf(group.members);
    const needless = ready <= left;
    left -= needless ? ready : 0;
    return !needless;
  });
  return needed.reverse();
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
