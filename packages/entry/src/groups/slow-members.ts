/**
 * Decides which groups are dissolved to replace slow members by free hosts. All functions are pure.
 *
 * A group runs at the pace of its slowest member. If the fabric domain has free hosts that are ready for the model,
 * forming the group again takes about 1.5 s, while a slow host stays slow for some 10 s in the users' workloads and
 * delays nearly all requests of the group.
 */
import type { GroupModel } from '../configuration/serving-configuration.js';
import type { FleetDomain, FleetView, PlacedGroup } from './fleet-view.js';
import { joinMsWithoutLoad } from './fleet-view.js';

/** Serving groups to be dissolved; their other members and free hosts form new groups in their place. */
export function planSlowMemberReplacements(view: FleetView): readonly PlacedGroup[] {
  if (view.slowHosts.size === 0) {
    return [];
  }
  return view.domains.flatMap(domain => replaceableGroupsIn(domain, view));
}

function replaceableGroupsIn(domain: FleetDomain, view: FleetView): readonly PlacedGroup[] {
  let reserved = 0;
  return domain.groups.filter(group => {
    const slowCount = group.members.filter(host => view.slowHosts.has(host.id)).length;
    const model = view.profile.models.find(candidate => candidate.name === group.model);
    if (slowCount === 0 || !group.dissolvable || model === undefined) {
      return false;
    }
    const hasReplacements = countReadyFreeHosts(domain, model, view) - reserved >= slowCount;
    reserved += hasReplacements ? slowCount : 0;
    return hasReplacements;
  });
}

function countReadyFreeHosts(domain: FleetDomain, model: GroupModel, view: FleetView): number {
  return domain.free.filter(
    host => !view.slowHosts.has(host.id) && joinMsWithoutLoad(host, model, view) !== undefined,
  ).length;
}
