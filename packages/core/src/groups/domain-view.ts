/** Builds the view of a failure domain that gateways receive, from ledgers and hosts. */
import { createHash } from 'node:crypto';

import type { Configuration } from '../configuration/objects.js';
import type { FailureDomainId, Host, HostId } from '../hosts/host.js';
import type { Group, Ledger } from './ledger.js';

/** A member of a group with its address (`http://ip:port`). */
export type MemberAddress = { readonly host: HostId; readonly address: string };

/** A group as sent to gateways. */
export type GroupView = {
  readonly group: Group;
  readonly failureDomain: FailureDomainId;
  readonly members: readonly MemberAddress[];
  /** True when the upstreams of all members check fences, that is, refuse requests with an old epoch. */
  readonly checksFence: boolean;
  /** Number of requests that the group runs at once. */
  readonly slots: number;
};

/** The groups and leaving hosts of a failure domain, as sent to gateways. */
export type DomainView = {
  readonly failureDomain: FailureDomainId;
  /** Hash of the content: it changes exactly when the content changes. */
  readonly version: string;
  readonly groups: readonly GroupView[];
  /** Addresses of the hosts that the platform lists as leaving. */
  readonly leaving: readonly string[];
};

/** Builds the view of one failure domain. */
export function buildView(
  failureDomain: FailureDomainId,
  configuration: Configuration,
  hosts: readonly Host[],
  ledgers: readonly Ledger[],
): DomainView {
  const byId = new Map(hosts.map(host => [host.id, host]));
  const groups = ledgers
    .filter(ledger => ledger.failureDomain === failureDomain)
    .flatMap(ledger => ledger.groups)
    .map(group => buildGroupView(failureDomain, configuration, byId, group));
  const leaving = hosts.filter(host => host.state === 'leaving').map(host => host.address);
  const content = { groups, leaving };
  const version = createHash('sha1').update(JSON.stringify(content)).digest('hex');
  return { failureDomain, version, ...content };
}

function buildGroupView(
  failureDomain: FailureDomainId,
  configuration: Configuration,
  hosts: ReadonlyMap<HostId, Host>,
  group: Group,
): GroupView {
  const members = group.members.map(host => ({
    host,
    address: hosts.get(host)?.address ?? '',
  }));
  const checksFence = group.members.every(host => {
    const upstream = hosts.get(host)?.upstream ?? '';
    return configuration.upstreams.get(upstream)?.['checks-fence'] ?? false;
  });
  const slots = configuration.models.get(group.content.model)?.slots ?? 1;
  return { group, failureDomain, members, checksFence, slots };
}
