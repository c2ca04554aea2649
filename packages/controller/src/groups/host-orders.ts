/** Derives the orders that hosts have to carry out from the ledgers and the last reported state of the hosts. */
import type {
  Configuration,
  DecisionInput,
  Group,
  HostId,
  HostOrder,
  Ledger,
} from '@hingescale/core';
import { groupsAllowedToLoad, isAnswering } from '@hingescale/core';

/** An order and the host that it is sent to. */
export type AddressedOrder = {
  readonly host: HostId;
  /** `ip:port` of the host. */
  readonly address: string;
  readonly order: HostOrder;
};

/**
 * Returns the orders whose effect no report shows yet. Orders are idempotent, so each one may be sent repeatedly until
 * then. `fence` is the epoch of the lease; `parallelLoads` limits how many hosts load at the same time;
 * the first group may exceed it.
 */
export function dueOrders(
  input: DecisionInput,
  fence: number,
  parallelLoads: number,
): AddressedOrder[] {
  const loading = groupsAllowedToLoad(input, parallelLoads);
  return input.ledgers.flatMap(ledger => [
    ...ledger.groups
      .filter(group => group.state !== 'loading' || loading.has(group.id))
      .flatMap(group => groupOrders(input, group, fence)),
    ...resetUnfencedOrders(input, ledger, fence),
  ]);
}

function groupOrders(input: DecisionInput, group: Group, fence: number): AddressedOrder[] {
  if (group.state === 'loading') {
    return group.members.flatMap(host => loadOrder(input, group, host, fence));
  }
  if (group.state === 'fencing') {
    return group.members
      .filter(host => !group.fenced.includes(host))
      .flatMap(host => resetOrder(input, host, group.epoch, fence));
  }
  return [];
}

function loadOrder(
  input: DecisionInput,
  group: Group,
  host: HostId,
  fence: number,
): AddressedOrder[] {
  const fact = input.hosts.get(host);
  if (!isAnswering(fact)) {
    return [];
  }
  if (fact.report?.group === group.id && fact.report.epoch === group.epoch) {
    return [];
  }
  const order: HostOrder = {
    kind: 'load',
    operation: `${group.id}/${group.epoch}/load`,
    fence,
    group: group.id,
    epoch: group.epoch,
    members: group.members,
    model: group.content.model,
    version: group.content.version,
    adapters: group.content.adapters,
    ...loadSize(input.configuration, group),
  };
  return [{ host, address: fact.host.address, order }];
}

function loadSize(
  configuration: Configuration,
  group: Group,
): { gigabytes: number; slots: number } {
  const model = configuration.models.get(group.content.model);
  return {
    gigabytes: model?.['gigabytes-per-host'] ?? 0,
    slots: model?.slots ?? 1,
  };
}

function resetUnfencedOrders(
  input: DecisionInput,
  ledger: Ledger,
  fence: number,
): AddressedOrder[] {
  return ledger.unfenced.flatMap(entry => resetOrder(input, entry.host, entry.epoch, fence));
}

function resetOrder(
  input: DecisionInput,
  host: HostId,
  epoch: number,
  fence: number,
): AddressedOrder[] {
  const fact = input.hosts.get(host);
  if (!isAnswering(fact) || fact.report?.group === null) {
    return [];
  }
  const order: HostOrder = {
    kind: 'reset',
    operation: `${host}/${epoch}/reset`,
    fence,
    epoch,
  };
  return [{ host, address: fact.host.address, order }];
}
