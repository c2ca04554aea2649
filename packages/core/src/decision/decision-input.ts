/** What the group decision sees: facts about hosts, ledgers and wishes, and nothing else. */
import type { Configuration, Model } from '../configuration/objects.js';
import type { Group, Ledger } from '../groups/ledger.js';
import { assignedHosts } from '../groups/ledger.js';
import type { FailureDomainId, Host, HostId } from '../hosts/host.js';
import type { HostStateReport } from '../hosts/host-protocol.js';

/** What is known of a host at the time of a decision. */
export type HostFact = {
  readonly host: Host;
  /** Last answer, or undefined when it never answered this observer. */
  readonly report: HostStateReport | undefined;
  /** Milliseconds since it last answered; 0 while it answers. */
  readonly silentMs: number;
  /** Times it fell silent or restarted within the memory of the observer; damps flapping. */
  readonly losses: number;
};

/** Input of the decision for one failure domain. */
export type DecisionInput = {
  readonly failureDomain: FailureDomainId;
  readonly configuration: Configuration;
  readonly hosts: ReadonlyMap<HostId, HostFact>;
  readonly ledgers: readonly Ledger[];
  /** Monotonic milliseconds of the observer. */
  readonly now: number;
};

/** True when a host answers now. */
export function answers(fact: HostFact | undefined): fact is HostFact {
  return fact !== undefined && fact.report !== undefined && fact.silentMs === 0;
}

/** True when a member answers for its group's present epoch with everything loaded. */
export function memberIsLoaded(group: Group, fact: HostFact | undefined): boolean {
  return (
    answers(fact) &&
    fact.report?.group === group.id &&
    fact.report.epoch === group.epoch &&
    fact.report.loaded
  );
}

/** True when the platform reclaims a host or an operator drains it. */
export function isLeaving(ledger: Ledger, fact: HostFact): boolean {
  return fact.host.state === 'leaving' || ledger.cordoned.includes(fact.host.id);
}

/** Replicas of a model that a failure domain should hold: an even split, the rest to the first. */
export function wantedReplicas(
  configuration: Configuration,
  model: Model,
  failureDomain: FailureDomainId,
): number {
  const named = model['failure-domains'];
  const domains = named.length > 0 ? named : configuration.deployment['failure-domains'];
  const index = domains.indexOf(failureDomain);
  if (index < 0) {
    return 0;
  }
  const base = Math.floor(model.replicas / domains.length);
  return base + (index < model.replicas % domains.length ? 1 : 0);
}

/** Hosts of a fabric domain that may join a group for an upstream: live, answering, empty. */
export function freeHosts(input: DecisionInput, ledger: Ledger, upstream: string): HostFact[] {
  const taken = assignedHosts(ledger);
  return [...input.hosts.values()].filter(
    fact =>
      fact.host.fabricDomain === ledger.fabricDomain &&
      fact.host.upstream === upstream &&
      !isLeaving(ledger, fact) &&
      !taken.has(fact.host.id) &&
      answers(fact) &&
      fact.report?.group === null,
  );
}
