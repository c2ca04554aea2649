/**
 * The last check before an order is sent. It has no side effects and does not depend on the planner, so that no plan
 * can open a group that lacks a member or take a host out of a group that may still serve.
 */
import type { HostEntry } from '../hosts/host-entry.js';
import { hasHeadLeft } from './free-hosts.js';
import type { HostOrder } from './host-orders.js';
import type { KnownGroupState } from './known-group-state.js';

/** The reason for which the guard refuses an order. */
export type GuardRefusal =
  | 'not-the-head'
  | 'member-missing'
  | 'member-not-ready'
  | 'wrong-size'
  | 'still-in-group'
  | 'epoch-too-low'
  | 'host-leaving';

/** The known state that the guard checks orders against. */
export type GuardView = {
  /** Current entries of the service's hosts. */
  readonly hosts: readonly HostEntry[];
  readonly known: KnownGroupState;
  /** Number of hosts in a group that serves the model; undefined for an unknown model. */
  readonly sizeOf: (model: string) => number | undefined;
};

/** Returns the reason why the order must not be sent to the host, or undefined when it may be sent. */
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
  const membership = host.membership;
  if (
    membership?.group !== order.group ||
    membership.epoch !== order.epoch ||
    membership.rank !== 0
  ) {
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
  const membership = host.membership;
  if (
    membership === undefined ||
    (membership.group === order.group && membership.epoch === order.epoch)
  ) {
    return undefined;
  }
  if (membership.epoch >= order.epoch) {
    return 'epoch-too-low';
  }
  if (membership.rank === 0) {
    return 'still-in-group';
  }
  return hasHeadLeft(membership.group, view.known) ? undefined : 'still-in-group';
}
