/** What the group decision sees: facts about hosts, ledgers and wishes, and nothing else. */
import type { Configuration, Model } from '../configuration/objects.js';
import type { Group, GroupContent, GroupState, Ledger } from '../groups/ledger.js';
import type { FailureDomainId, Host, HostId } from '../hosts/host.js';
import type { HostStateReport } from '../hosts/host-protocol.js';

/** What is known of a host at the time of a decision. */
export type HostFact = {
  readonly host: Host;
  /** Last answer, or undefined when it never answered this observer. */
  readonly report: HostStateReport | undefined;
  /** Milliseconds since the probe was sent that the last answer belongs to: what it says is as old. */
  readonly answerAgeMs: number;
  /** Milliseconds since it last answered; 0 while it answers. */
  readonly silentMs: number;
  /**
   * True when it is silent although it could have answered: the observer ran and heard other hosts. A silence of all
   * hosts at once says more of the observer or the network than of any host.
   */
  readonly isMissing: boolean;
  /** True while it is silent and may answer within moments, since its fabric domain or the observer is just back. */
  readonly mayReturn: boolean;
  /** Times it fell silent or restarted within the memory of the observer; damps flapping. */
  readonly losses: number;
};

/** A group of another failure domain, as far as it is known. */
export type RemoteGroup = {
  readonly failureDomain: FailureDomainId;
  readonly content: GroupContent;
  readonly state: GroupState;
};

/** Times that the contracts demand. */
export type ContractTimes = {
  /** Lifetime of certificates; fenced groups wait that long before their hosts are free. */
  readonly certificateMs: number;
  /** Longest time a draining group may finish its work. */
  readonly drainMs: number;
};

/** How long each group has been in its state, as far as the observer saw it, by `ageKey`. */
export type GroupAges = ReadonlyMap<string, number>;

/** Input of the decision for one failure domain. */
export type DecisionInput = {
  readonly failureDomain: FailureDomainId;
  readonly configuration: Configuration;
  readonly hosts: ReadonlyMap<HostId, HostFact>;
  readonly ledgers: readonly Ledger[];
  readonly ages: GroupAges;
  readonly times: ContractTimes;
  /** Groups of other failure domains. */
  readonly remote: readonly RemoteGroup[];
  /** Failure domains that have not been heard for long; the others take over their replicas. */
  readonly absent: readonly FailureDomainId[];
};

/** Losses within the memory of the observer that make a host count as flapping. */
export const FLAPPING_LOSSES = 3;

/** Key under which the age of a group's present state is kept. */
export function ageKey(group: Group): string {
  return `${group.id}/${group.epoch}/${group.state}`;
}

/** Milliseconds for which a group has been in its state. */
export function ageOf(input: DecisionInput, group: Group): number {
  return input.ages.get(ageKey(group)) ?? 0;
}

/** True when a host answers now. */
export function answers(fact: HostFact | undefined): fact is HostFact {
  return fact !== undefined && fact.report !== undefined && fact.silentMs === 0;
}

/** True when a host neither answers nor is known to be missing, so that nothing may be concluded about it. */
export function isUnheard(fact: HostFact | undefined): boolean {
  return fact !== undefined && !fact.isMissing && !answers(fact);
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

/** Failure domains that hold replicas of a model, in the order of the configuration. */
export function domainsOf(configuration: Configuration, model: Model): readonly FailureDomainId[] {
  const named = model['failure-domains'];
  return named.length > 0 ? named : configuration.deployment['failure-domains'];
}

/**
 * Replicas of a model that a failure domain should hold: an even split over the domains that are
 * there, the rest to the first ones.
 */
export function wantedReplicas(input: DecisionInput, model: Model): number {
  const { configuration, failureDomain, absent } = input;
  const present = domainsOf(configuration, model).filter(domain => !absent.includes(domain));
  const index = present.indexOf(failureDomain);
  if (index < 0) {
    return 0;
  }
  const base = Math.floor(model.replicas / present.length);
  return base + (index < model.replicas % present.length ? 1 : 0);
}

/** True when a group has the declared version of its model, but not the declared adapters. */
export function hasOutdatedAdapters(input: DecisionInput, group: Group): boolean {
  const model = input.configuration.models.get(group.content.model);
  const { version, adapters } = group.content;
  return model?.version === version && model.adapters.join() !== adapters.join();
}

/** Accelerators of a host of a group, taken as alike within a fabric domain. */
export function acceleratorsOf(input: DecisionInput, group: Group): number {
  const first = group.members.map(member => input.hosts.get(member)).find(fact => fact);
  return first?.host.accelerators ?? 0;
}
