/** Which groups finish their work and end: reclaimed hosts, excess replicas, old versions. */
import type { Model } from '../configuration/objects.js';
import type { Group } from '../groups/ledger.js';
import type { FailureDomainId, HostId } from '../hosts/host.js';
import type { DecisionInput } from './decision-input.js';
import {
  ageOf,
  domainsOf,
  hasOutdatedAdapters,
  isLeaving,
  isUnheard,
  memberIsLoaded,
  wantedReplicas,
} from './decision-input.js';
import { canForm, formOne } from './formation.js';
import type { PlacedGroup, Plan } from './plan.js';

/**
 * Drains groups with a member that leaves; their replacement is formed in the same plan. The last group of a model that
 * serves is drained for an operator only once its replacement is ready.
 */
export function drainLeaving(plan: Plan): void {
  for (const { ledger, group } of plan.groups()) {
    const leaving = group.members.filter(member => {
      const fact = plan.input.hosts.get(member);
      return fact !== undefined && isLeaving(ledger, fact);
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

/** Drains replicas beyond the wanted number, and those of models that are not declared. */
export function drainExcess(plan: Plan): void {
  const names = new Set(plan.groups().map(({ group }) => group.content.model));
  for (const name of names) {
    const model = plan.model(name);
    const wanted = model === undefined ? 0 : wantedReplicas(plan.input, model);
    for (let excess = plan.held(name) - wanted; excess > 0; excess--) {
      const victim = leastUseful(plan, name);
      if (victim === undefined) {
        break;
      }
      drain(plan, victim, `${wanted} replicas are wanted here`);
    }
  }
}

/** Ends drained groups: repaired with the same hosts where that helps, else fenced. */
export function endDrained(plan: Plan): void {
  for (const { ledger, group } of plan.groups()) {
    if (group.state !== 'draining' || !isDrained(plan.input, group)) {
      continue;
    }
    const repairable = mayRepair(plan, { ledger, group });
    const running = plan.input.hosts.get(group.members[0])?.report?.running ?? 0;
    const why = running === 0 ? 'drained' : `drain time is over with ${running} running`;
    const state = repairable ? 'suspended' : 'fencing';
    plan.add(ledger.fabricDomain, group.id, why, { kind: 'move', state });
  }
}

/**
 * Moves one replica at a time to the declared version and adapters: a new one is formed first
 * where hosts are free; else one is drained while others of its model serve.
 */
export function rollVersions(plan: Plan): void {
  for (const [name, model] of plan.input.configuration.models) {
    const old = plan
      .groups()
      .filter(({ group }) => group.content.model === name && !isCurrent(group, model));
    const serving = old.filter(({ group }) => group.state === 'ready');
    if (serving.length === 0 || rolling(plan, name, model) || !isTurn(plan.input, name, model)) {
      continue;
    }
    const versionChanges = serving[0].group.content.version !== model.version;
    if (versionChanges && canForm(plan, model)) {
      formOne(plan, name, model);
    } else if (othersServe(plan, name)) {
      drain(plan, serving[0], `moves to version ${model.version}`);
    }
  }
}

/** True when a draining group has no work left and no gateway may send it more. */
export function isDrained(input: DecisionInput, group: Group): boolean {
  const age = ageOf(input, group);
  const leader = input.hosts.get(group.members[0]);
  if (isUnheard(leader)) {
    return age >= input.times.drainMs;
  }
  const running = memberIsLoaded(group, leader) ? (leader?.report?.running ?? 0) : 0;
  // Gateways may send work until their certificates of before the drain have lapsed; only an answer to a probe that was
  // sent after that tells of all of it.
  const ageAtAnswer = age - (leader?.answerAgeMs ?? 0);
  return (ageAtAnswer >= input.times.certificateMs && running === 0) || age >= input.times.drainMs;
}

function isCurrent(group: Group, model: Model): boolean {
  const { version, adapters } = group.content;
  return version === model.version && adapters.join() === model.adapters.join();
}

// A change is under way while any replica of the model is not settled.
function rolling(plan: Plan, name: string, model: Model): boolean {
  const groups = plan.groups().filter(({ group }) => group.content.model === name);
  const unsettled = groups.some(({ group }) => group.state !== 'ready');
  return unsettled || plan.held(name) > wantedReplicas(plan.input, model);
}

// Failure domains change one after the other, in the order of the configuration.
function isTurn(input: DecisionInput, name: string, model: Model): boolean {
  const domains = domainsOf(input.configuration, model);
  const before = domains.slice(0, domains.indexOf(input.failureDomain));
  return before.every(
    domain => input.absent.includes(domain) || hasMoved(input, domain, name, model),
  );
}

function hasMoved(
  input: DecisionInput,
  domain: FailureDomainId,
  name: string,
  model: Model,
): boolean {
  const groups = input.remote.filter(
    group => group.failureDomain === domain && group.content.model === name,
  );
  return groups.every(
    ({ content, state }) => content.version === model.version && state === 'ready',
  );
}

function othersServe(plan: Plan, name: string): boolean {
  const here = plan
    .groups()
    .filter(({ group }) => group.content.model === name && group.state === 'ready').length;
  const elsewhere = plan.input.remote.filter(
    group => group.content.model === name && group.state === 'ready',
  ).length;
  return here + elsewhere > 1;
}

function mayWaitForReplacement(plan: Plan, group: Group, leaving: readonly HostId[]): boolean {
  const isReclaimed = leaving.some(
    member => plan.input.hosts.get(member)?.host.state === 'leaving',
  );
  const mayWait = group.state === 'ready' && !isReclaimed;
  return mayWait && isLastServing(plan, group) && replacementComes(plan, group);
}

// No other group of the model serves that is to stay.
function isLastServing(plan: Plan, { id, content }: Group): boolean {
  const others = plan.groups().filter(({ ledger, group }) => {
    const isOther = group.id !== id && group.content.model === content.model;
    const isToStay = !group.members.some(member => {
      const fact = plan.input.hosts.get(member);
      return fact === undefined || isLeaving(ledger, fact);
    });
    return isOther && group.state === 'ready' && isToStay;
  });
  const elsewhere = plan.input.remote.filter(
    group => group.content.model === content.model && group.state === 'ready',
  );
  return others.length + elsewhere.length === 0;
}

// A load that takes longer than a drain may is not waited for.
function replacementComes(plan: Plan, { content }: Group): boolean {
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
        ageOf(input, group) < input.times.drainMs,
    );
  const isWanted = plan.held(content.model) < wantedReplicas(input, model);
  // Of hosts that are not heard for the moment it is not known whether they are free.
  const mayBeFree = [...input.hosts.values()].some(fact => isUnheard(fact));
  return isLoading || (isWanted && (mayBeFree || canForm(plan, model)));
}

// Suspended ones first, then old versions, then the youngest, which has the least in its cache.
function leastUseful(plan: Plan, name: string): PlacedGroup | undefined {
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
  plan.add(ledger.fabricDomain, group.id, reason, { kind: 'move', state });
}

// Survivors keep their weights when the group is repaired, so that only the new host loads.
function mayRepair(plan: Plan, { ledger, group }: PlacedGroup): boolean {
  const model = plan.model(group.content.model);
  if (model === undefined || group.content.version !== model.version) {
    return false;
  }
  if (plan.held(group.content.model) >= wantedReplicas(plan.input, model)) {
    return false;
  }
  const leaving = group.members.filter(member => {
    const fact = plan.input.hosts.get(member);
    return fact === undefined || isLeaving(ledger, fact);
  });
  // A group that drains for another reason, such as to make room, must not come back in its place.
  const wantsRepair = leaving.length > 0 || hasOutdatedAdapters(plan.input, group);
  return wantsRepair && plan.free(ledger.fabricDomain, model.upstream).length >= leaving.length;
}
