/** The complete input of the group decision (observed hosts, ledgers, configuration) and functions that read it. */
import type { Configuration, Model } from '../configuration/objects.js';
import type { Group, GroupContent, GroupState, Ledger } from '../groups/ledger.js';
import type { FailureDomainId, Host, HostId } from '../hosts/host.js';
import type { HostStateReport } from '../hosts/host-protocol.js';

/** Observed state of a host at the time of a decision. */
export type HostSnapshot = {
  readonly host: Host;
  /** Last reported state; undefined when the host has never answered this observer. */
  readonly report: HostStateReport | undefined;
  /** Age of the report in milliseconds, counted from when its probe was sent. */
  readonly answerAgeMs: number;
  /** Milliseconds since the host last answered; 0 while it answers. */
  readonly silentMs: number;
  /**
   * True when the host does not answer while the observer runs and receives answers of other hosts. When all hosts
   * are silent at once, the observer or the network is the more likely cause.
   */
  readonly isMissing: boolean;
  /** True while the host is silent but may answer within seconds: its fabric domain or the observer just returned. */
  readonly mayReturn: boolean;
  /** How often the host fell silent or restarted within the observer's memory; used to detect flapping. */
  readonly losses: number;
};

/** Last known state of a group of another failure domain. */
export type RemoteGroup = {
  readonly failureDomain: FailureDomainId;
  readonly content: GroupContent;
  readonly state: GroupState;
};

/** Times that certificates and drains prescribe, in milliseconds. */
export type ContractTimes = {
  /** Lifetime of readiness certificates; a fencing group keeps its hosts at least that long. */
  readonly certificateMs: number;
  /** Longest time for which a draining group may finish its work. */
  readonly drainMs: number;
};

/** Milliseconds for which the observer has seen each group in its present state, by `ageKey`. */
export type GroupAges = ReadonlyMap<string, number>;

/** Input of the decision for one failure domain. */
export type DecisionInput = {
  readonly failureDomain: FailureDomainId;
  readonly configuration: Configuration;
  readonly hosts: ReadonlyMap<HostId, HostSnapshot>;
  readonly ledgers: readonly Ledger[];
  readonly ages: GroupAges;
  readonly times: ContractTimes;
  /** Last known groups of other failure domains. */
  readonly remoteGroups: readonly RemoteGroup[];
  /** Failure domains without any report for a long time; the others take over their replicas. */
  readonly absentDomains: readonly FailureDomainId[];
};

/** Losses within the observer's memory from which a host counts as flapping. */
export const FLAPPING_LOSSES = 3;

/** Key of a group's present state in `GroupAges`. */
export function stateAgeKey(group: Group): string {
  return `${group.id}/${group.epoch}/${group.state}`;
}

/** Milliseconds for which a group has been in its present state; 0 when unknown. */
export function stateAgeMs(input: DecisionInput, group: Group): number {
  return input.ages.get(stateAgeKey(group)) ?? 0;
}

/** True when a host answered the last probe. */
export function isAnswering(observation: HostSnapshot | undefined): observation is HostSnapshot {
  return (
    observation !== undefined && observation.report !== undefined && observation.silentMs === 0
  );
}

/** True when a host neither answers nor is known to be missing: its state is unknown, nothing may be decided on it. */
export function hasUnknownState(observation: HostSnapshot | undefined): boolean {
  return observation !== undefined && !observation.isMissing && !isAnswering(observation);
}

/** True when a member answers and reports that it has loaded its group's present epoch. */
export function memberIsLoaded(group: Group, observation: HostSnapshot | undefined): boolean {
  return (
    isAnswering(observation) &&
    observation.report?.group === group.id &&
    observation.report.epoch === group.epoch &&
    observation.report.loaded
  );
}

/** True when the platform reclaims a host or an operator drains it. */
export function isLeaving(ledger: Ledger, observation: HostSnapshot): boolean {
  return observation.host.state === 'leaving' || ledger.cordoned.includes(observation.host.id);
}

/** Failure domains that may hold replicas of a model, in the order of the configuration. */
export function domainsOfModel(
  configuration: Configuration,
  model: Model,
): readonly FailureDomainId[] {
  const named = model['failure-domains'];
  return named.length > 0 ? named : configuration.deployment['failure-domains'];
}

/**
 * Number of replicas of a model that a failure domain should hold: an even split over the domains that are not
 * absent; the first ones hold the remainder.
 */
export function wantedReplicas(input: DecisionInput, model: Model): number {
  const { configuration, failureDomain, absentDomains } = input;
  const present = domainsOfModel(configuration, model).filter(
    domain => !absentDomains.includes(domain),
  );
  const index = present.indexOf(failureDomain);
  if (index < 0) {
    return 0;
  }
  const base = Math.floor(model.replicas / present.length);
  return base + (index < model.replicas % present.length ? 1 : 0);
}

/** True when a group has the declared version of its model but not the declared adapters. */
export function hasOutdatedAdapters(input: DecisionInput, group: Group): boolean {
  const model = input.configuration.models.get(group.content.model);
  const { version, adapters } = group.content;
  return model?.version === version && model.adapters.join() !== adapters.join();
}

/** Accelerators per host of a group; all hosts of a fabric domain are assumed to have the same number. */
export function acceleratorsOf(input: DecisionInput, group: Group): number {
  const firstKnown = group.members
    .map(member => input.hosts.get(member))
    .find(observation => observation);
  return firstKnown?.host.accelerators ?? 0;
}
