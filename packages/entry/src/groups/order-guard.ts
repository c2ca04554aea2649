/**
 * The last check before an order leaves. Pure, and independent of the planner, so that no plan
 * can open a group that lacks a member or take a host out of a group that may still serve.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import { isReleased } from './free-hosts.js';
import type { GroupBeliefs } from './group-beliefs.js';
import type { HostOrder } from './host-orders.js';

/** Why the guard holds an order back. */
export type GuardRefusal =
  | 'not-the-head'
  | 'member-missing'
  | 'member-not-ready'
  | 'wrong-size'
  | 'still-in-group'
  | 'epoch-too-low'
  | 'host-leaving';

/** What the guard looks at. */
export type GuardView = {
  readonly hosts: readonly HostEntry[];
  readonly beliefs: GroupBeliefs;
  /** Hosts that a model's group needs. */
  readonly sizeOf: (model: string) => number | undefined;
};

/** Why the order must not be sent; undefined when it may. */
export function refuseOrder(
  host: HostEntry,
  order: HostOrder,
  view: GuardView,
): GuardRefusal | undefined {
  switch (order.kind) {
    case 'open':
      return refuseOpen(host, order, view);
    case 'join':
      return refuseJoin(host, order, view);
    default:
      return undefined;
  }
}

function refuseOpen(
  host: HostEntry,
  order: HostOrder & { kind: 'open' },
  view: GuardView,
): GuardRefusal | undefined {
  const own = host.membership;
  if (own?.group !== order.group || own.epoch !== order.epoch || own.rank !== 0) {
    return 'not-the-head';
  }
  const members = view.hosts.filter(
    member => member.membership?.group === order.group && member.membership.epoch === order.epoch,
  );
  if (members.some(member => member.membership?.state !== 'ready')) {
    return 'member-not-ready';
  }
  const size = host.loadedModel === undefined ? undefined : view.sizeOf(host.loadedModel);
  const ranks = new Set(members.map(member => member.membership?.rank));
  if (size === undefined || members.length !== size) {
    return 'wrong-size';
  }
  for (let rank = 0; rank < size; rank++) {
    if (!ranks.has(rank)) {
      return 'member-missing';
    }
  }
  return undefined;
}

function refuseJoin(
  host: HostEntry,
  order: HostOrder & { kind: 'join' },
  view: GuardView,
): GuardRefusal | undefined {
  if (!host.accepting) {
    return 'host-leaving';
  }
  const own = host.membership;
  if (own === undefined || (own.group === order.group && own.epoch === order.epoch)) {
    return undefined;
  }
  if (own.epoch >= order.epoch) {
    return 'epoch-too-low';
  }
  if (own.rank === 0) {
    return 'still-in-group';
  }
  return isReleased(own.group, view.beliefs) ? undefined : 'still-in-group';
}
