/** Drains groups with leaving hosts, excess replicas and outdated versions, and ends drained groups. */
import type { Model } from '../configuration/objects.js';
import type { Group } from '../groups/ledger.js';
import type { FailureDomainId, HostId } from '../hosts/host.js';
import type { DecisionInput } from './decision-input.js';
import {
  domainsOfModel,
  hasOutdatedAdapters,
  hasUnknownState,
  isLeaving,
  memberIsLoaded,
  stateAgeMs,
  wantedReplicas,
} from './decision-input.js';
import { canFormReplica, formReplica } from './formation.js';
import type { PlacedGroup, Plan } from './plan.js';

/**
 * Drains groups with a leaving member; their replacement is formed in the same plan. When an operator drains a host of
 * the last group that serves a model, that group is drained only once its replacement is ready.
 */
export function drainGroupsWithLeavingHosts(plan: Plan): void {
  for (const { ledger, group } of plan.groups()) {
    const leaving = group.members.filter(member => {
      const observation = plan.input.hosts.get(member);
      return observation !== undefined && isLeaving(ledger, observation);
    });
    if (
      leaving.length > 0 &&
      !mayWaitForReplacement(plan, group, leaving) &&
      (group.state === 'ready' || group.state === 'loading')
    ) {
      drain(plan, { ledger, group }, `leaving: ${leaving.join(', ')}`);
    }
  }
}

/** Drains replicas beyond the wanted number, and all replicas of models that are not declared. */
export function drainExcessReplicas(plan: Plan): void {
  const names = new Set(plan.groups().map(({ group }) => group.content.model));
  for (const name of names) {
    const model = plan.model(name);
    const wanted = model === undefined ? 0 : wantedReplicas(plan.input, model);
    for (let excess = plan.countReplicas(name) - wanted; excess > 0; excess--) {
      const victim = leastUsefulReplica(plan, name);
      if (victim === undefined) {
        break;
      }
      drain(plan, victim, `${wanted} replicas are wanted here`);
    }
  }
}

/** Ends drained groups: suspends those that are to be repaired and keep their remaining hosts, fences the others. */
export function endDrainedGroups(plan: Plan): void {
  for (const { ledger, group } of plan.groups()) {
    if (group.state !== 'draining' || !isDrained(plan.input, group)) {
      continue;
    }
    const willRepair = isRepairable(plan, { ledger, group });
    const running = plan.input.hosts.get(group.members[0])?.report?.running ?? 0;
    const reason = running === 0 ? 'drained' : `drain time is over with ${running} running`;
    const state = willRepair ? 'suspended' : 'fencing';
    plan.addChange(ledger.fabricDomain, group.id, reason, { kind: 'move', state });
  }
}

/**
 * Moves one replica at a time to the declared version and adapters. A new version is formed on free hosts first;
 * otherwise one replica is drained while others of its model serve.
 */
export function rollVersions(plan: Plan): void {
  for (const [name, model] of plan.input.configuration.models) {
    const outdated = plan
      .groups()
      .filter(({ group }) => group.content.model === name && !isCurrent(group, model));
    const serving = outdated.filter(({ group }) => group.state === 'ready');
    if (
      serving.length === 0 ||
      isChanging(plan, name, model) ||
      !isTurnOfDomain(plan.input, name, model)
    ) {
      continue;
    }
    const versionChanges = serving[0].group.content.version !== model.version;
    if (versionChanges && canFormReplica(plan, model)) {
      formReplica(plan, name, model);
    } else if (hasOtherReadyReplica(plan, name)) {
      drain(plan, serving[0], `moves to version ${model.version}`);
    }
  }
}

/** True when a draining group runs no requests and no gateway may send it more, or its drain time has expired. */
export function isDrained(input: DecisionInput, group: Group): boolean {
  const age = stateAgeMs(input, group);
  const head = input.hosts.get(group.members[0]);
  if (hasUnknownState(head)) {
    return age >= input.times.drainMs;
  }
  const running = memberIsLoaded(group, head) ? (head?.report?.running ?? 0) : 0;
  // Gateways may send requests until their certificates from before the drain have expired. Only a report whose probe
  // was sent after that counts all of these requests.
  const ageAtAnswer = age - (head?.answerAgeMs ?? 0);
  return (ageAtAnswer >= input.times.certificateMs && running === 0) || age >= input.times.drainMs;
}

function isCurrent(group: Group, model: Model): boolean {
  const { version, adapters } = group.content;
  return version === model.version && adapters.join() === model.adapters.join();
}

// A version change is in progress while a replica of the model is not ready or exceeds the wanted number.
function isChanging(plan: Plan, name: string, model: Model): boolean {
  const groups = plan.groups().filter(({ group }) => group.content.model === name);
  const unsettled = groups.some(({ group }) => group.state !== 'ready');
  return unsettled || plan.countReplicas(name) > wantedReplicas(plan.input, model);
}

// Failure domains change version one after the other, in the order of the configuration.
function isTurnOfDomain(input: DecisionInput, name: string, model: Model): boolean {
  const domains = domainsOfModel(input.configuration, model);
  const before = domains.slice(0, domains.indexOf(input.failureDomain));
  return before.every(
    domain =>
      input.absentDomains.includes(domain) || hasDeclaredVersion(input, domain, name, model),
  );
}

function hasDeclaredVersion(
  input: DecisionInput,
  domain: FailureDomainId,
  name: string,
  model: Model,
): boolean {
  const groups = input.remoteGroups.filter(
    group => group.failureDomain === domain && group.content.model === name,
  );
  return groups.every(
    ({ content, state }) => content.version === model.version && state === 'ready',
  );
}

function hasOtherReadyReplica(plan: Plan, name: string): boolean {
  const here = plan
    .groups()
    .filter(({ group }) => group.content.model === name && group.state === 'ready').length;
  const elsewhere = plan.input.remoteGroups.filter(
    group => group.content.model === name && group.state === 'ready',
  ).length;
  return here + elsewhere > 1;
}

// A group whose host the platform reclaims is drained at once; one that only an operator drains may wait.
function mayWaitForReplacement(plan: Plan, group: Group, leaving: readonly HostId[]): boolean {
  const isReclaimed = leaving.some(
    member => plan.input.hosts.get(member)?.host.state === 'leaving',
  );
  const mayWait = group.state === 'ready' && !isReclaimed;
  return mayWait && isLastServingGroup(plan, group) && replacementIsExpected(plan, group);
}

// True when no other ready group of the model will keep serving.
function isLastServingGroup(plan: Plan, { id, content }: Group): boolean {
  const others = plan.groups().filter(({ ledger, group }) => {
    const isOther = group.id !== id && group.content.model === content.model;
    const staysInService = !group.members.some(member => {
      const observation = plan.input.hosts.get(member);
      return observation === undefined || isLeaving(ledger, observation);
    });
    return isOther && group.state === 'ready' && staysInService;
  });
  const elsewhere = plan.input.remoteGroups.filter(
    group => group.content.model === content.model && group.state === 'ready',
  );
  return others.length + elsewhere.length === 0;
}

// True when a replacement is loading or can be formed. A load that already takes longer than `drainMs` does not count.
function replacementIsExpected(plan: Plan, { content }: Group): boolean {
  const { input } = plan;
  const model = plan.model(content.model);
  if (model === undefined) {
    return false;
  }
  const isLoading = plan
    .groups()
    .some(
      ({ group }) =>
        group.content.model === content.model &&
        group.state === 'loading' &&
        stateAgeMs(input, group) < input.times.drainMs,
    );
  const isWanted = plan.countReplicas(content.model) < wantedReplicas(input, model);
  // Hosts whose state is unknown may turn out to be free.
  const mayBeFree = [...input.hosts.values()].some(observation => hasUnknownState(observation));
  return isLoading || (isWanted && (mayBeFree || canFormReplica(plan, model)));
}

// Prefers suspended groups, then outdated versions, then the newest group, whose cache holds the least.
function leastUsefulReplica(plan: Plan, name: string): PlacedGroup | undefined {
  const model = plan.model(name);
  const rank = ({ group }: PlacedGroup): number =>
    (group.state === 'suspended' ? 2 : 0) +
    (model !== undefined && !isCurrent(group, model) ? 1 : 0);
  return plan
    .groups()
    .filter(
      ({ group }) =>
        group.content.model === name && group.state !== 'draining' && group.state !== 'fencing',
    )
    .sort((a, b) => rank(b) - rank(a) || b.group.epoch - a.group.epoch)[0];
}

function drain(plan: Plan, { ledger, group }: PlacedGroup, reason: string): void {
  const state = group.state === 'ready' ? 'draining' : 'fencing';
  plan.addChange(ledger.fabricDomain, group.id, reason, { kind: 'move', state });
}

// In a repair the remaining members keep their weights, so that only the new hosts load.
function isRepairable(plan: Plan, { ledger, group }: PlacedGroup): boolean {
  const model = plan.model(group.content.model);
  if (model === undefined || group.content.version !== model.version) {
    return false;
  }
  if (plan.countReplicas(group.content.model) >= wantedReplicas(plan.input, model)) {
    return false;
  }
  const leaving = group.members.filter(member => {
    const observation = plan.input.hosts.get(member);
    return observation === undefined || isLeaving(ledger, observation);
  });
  // A group that drains for another reason, such as to make room, must not be repaired on the same hosts.
  const wantsRepair = leaving.length > 0 || hasOutdatedAdapters(plan.input, group);
  return (
    wantsRepair && plan.freeHosts(ledger.fabricDomain, model.upstream).length >= leaving.length
  );
}
