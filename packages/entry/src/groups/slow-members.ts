/**
 * Decides which groups give up slow members for hosts that wait. Pure.
 *
 * A group runs at the pace of its slowest member. Where the fabric domain has free hosts that are
 * ready for the model, forming the group anew costs it about 1.5 s, while a slow host stays slow for
 * some 10 s on the users' days and makes nearly all of the group's requests late.
 */
import type { GroupModel } from '../configuration/serving-configuration.js';
import type { FleetDomain, FleetView, PlacedGroup } from './fleet-view.js';
import { warmMsOf } from './fleet-view.js';

/** Serving groups to be dissolved; their sound hosts and free ones form others in their place. */
export function planSlowReplacements(view: FleetView): readonly PlacedGroup[] {
  if (view.slow.size === 0) {
    return [];
  }
  return view.domains.flatMap(domain => replaceableIn(domain, view));
}

function replaceableIn(domain: FleetDomain, view: FleetView): readonly PlacedGroup[] {
  let taken = 0;
  return domain.groups.filter(group => {
    const slow = group.members.filter(host => view.slow.has(host.id)).length;
    const model = view.profile.models.find(candidate => candidate.name === group.model);
    if (slow === 0 || !group.dissolvable || model === undefined) {
      return false;
    }
    const enough = readyIn(domain, model, view) - taken >= slow;
    taken += enough ? slow : 0;
    return enough;
  });
}

function readyIn(domain: FleetDomain, model: GroupModel, view: FleetView): number {
  return domain.free.filter(
    host => !view.slow.has(host.id) && warmMsOf(host, model, view) !== undefined,
  ).length;
}
