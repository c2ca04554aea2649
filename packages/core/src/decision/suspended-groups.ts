/**
 * Decides what to do with a suspended group: wait for its missing members, repair it with free hosts, complete it
 * with the hosts of a less important group, or dissolve it.
 *
 * Waiting or acting is an online rent-or-buy problem: waiting costs the group's downtime, acting costs the downtime of
 * a load. The group waits until both costs are equal, so the total is at most twice the cost of the best choice in
 * hindsight. The wait ends early when a missing member is known not to return.
 */
import type { Model } from '../configuration/objects.js';
import type { Ledger } from '../groups/ledger.js';
import type { HostId } from '../hosts/host.js';
import { downtimeCostPerSecond, idleCostPerSecond, loadMs } from './costs.js';
import type { HostSnapshot } from './decision-input.js';
import {
  FLAPPING_LOSSES,
  hasUnknownState,
  isAnswering,
  isLeaving,
  stateAgeMs,
} from './decision-input.js';
import { canFormReplica } from './formation.js';
import { hostLossAnswer } from './host-loss.js';
import type { Alternative } from './ledger-change.js';
import type { PlacedGroup, Plan } from './plan.js';

/** A suspended group with the data that the choice depends on. */
type SuspendedGroup = PlacedGroup & {
  readonly model: Model;
  /** Members that do not answer or that leave. */
  readonly missing: readonly HostId[];
  /** True when a missing member is not expected to return, or not for long. */
  readonly hasPermanentLoss: boolean;
  /** True while a missing member may answer again within seconds; nothing is decided until then. */
  readonly mayReturn: boolean;
  /** Milliseconds since the group was suspended. */
  readonly waitedMs: number;
  /** Milliseconds of waiting after which the group is repaired or fenced; infinite when a policy says `wait`. */
  readonly patienceMs: number;
  /** True when the group is to be dissolved: by policy, or because its model is not declared. */
  readonly mustDissolve: boolean;
};

/** Wait for missing members as a multiple of the load time; at 1 waiting costs as much as a load (rent-or-buy). */
const PATIENCE_FACTOR = 1;

/** Adds changes for all suspended groups, highest downtime cost per missing host first. */
export function handleSuspendedGroups(plan: Plan): void {
  const suspended = plan
    .groups()
    .filter(({ group }) => group.state === 'suspended')
    .map(placed => assess(plan, placed))
    .sort((a, b) => downtimeCostPerMissing(plan, b) - downtimeCostPerMissing(plan, a));
  const due = suspended.filter(
    entry => !entry.mayReturn && (entry.hasPermanentLoss || entry.waitedMs >= entry.patienceMs),
  );
  const unrepaired: SuspendedGroup[] = [];
  for (const entry of due) {
    if (entry.mustDissolve) {
      fence(plan, entry, 'policy gives the group up');
    } else if (!repair(plan, entry)) {
      unrepaired.push(entry);
    }
  }
  if (unrepaired.length > 0) {
    fenceIfFormableElsewhere(plan, unrepaired);
    completeFromSuspended(plan, unrepaired);
    completeByPreempting(plan, unrepaired);
  }
}

function assess(plan: Plan, placed: PlacedGroup): SuspendedGroup {
  const { input } = plan;
  const { ledger, group } = placed;
  const model = plan.model(group.content.model);
  const observations = new Map(group.members.map(member => [member, input.hosts.get(member)]));
  const missing = group.members.filter(member => isMissing(ledger, observations.get(member)));
  const mayReturn = [...observations.values()].some(
    observation => hasUnknownState(observation) || observation?.mayReturn === true,
  );
  const hasPermanentLoss = missing.some(member =>
    isPermanentlyLost(ledger, observations.get(member)),
  );
  const waitedMs = stateAgeMs(input, group);
  if (model === undefined) {
    const undeclared = { model: UNDECLARED_MODEL, patienceMs: 0, mustDissolve: true };
    return { ...placed, ...undeclared, missing, hasPermanentLoss, mayReturn, waitedMs };
  }
  const repairMs = loadMs(input, model, Math.max(1, missing.length));
  const answer = hostLossPolicyAnswer(plan, placed, model, missing.length, waitedMs, repairMs);
  const patienceMs =
    answer === 'wait' ? Infinity : answer === 'default' ? repairMs * PATIENCE_FACTOR : 0;
  if (missing.length === 0) {
    return {
      ...placed,
      model,
      missing,
      hasPermanentLoss,
      mayReturn,
      waitedMs,
      patienceMs: 0,
      mustDissolve: false,
    };
  }
  const mustDissolve = answer === 'dissolve';
  return {
    ...placed,
    model,
    missing,
    hasPermanentLoss,
    mayReturn,
    waitedMs,
    patienceMs,
    mustDissolve,
  };
}

function hostLossPolicyAnswer(
  plan: Plan,
  { ledger, group }: PlacedGroup,
  model: Model,
  missing: number,
  waitedMs: number,
  repairMs: number,
): string {
  const name = group.content.model;
  const ready = plan
    .groups()
    .filter(other => other.group.content.model === name && other.group.state === 'ready').length;
  return hostLossAnswer(plan.input.configuration, {
    model: name,
    importance: model.importance,
    hosts: group.members.length,
    missing,
    missingMs: waitedMs,
    spares: plan.freeHosts(ledger.fabricDomain, model.upstream).length,
    loadMs: repairMs,
    ready,
  }).answer;
}

function isMissing(ledger: Ledger, observation: HostSnapshot | undefined): boolean {
  return !isAnswering(observation) || isLeaving(ledger, observation);
}

// A flapping host returns only for a short time, so the group does not wait for it.
function isPermanentlyLost(ledger: Ledger, observation: HostSnapshot | undefined): boolean {
  return (
    observation === undefined ||
    isLeaving(ledger, observation) ||
    observation.losses >= FLAPPING_LOSSES
  );
}

function downtimeCostPerMissing(plan: Plan, entry: SuspendedGroup): number {
  return downtimeCostPerSecond(plan.input, entry.model) / Math.max(1, entry.missing.length);
}

function repair(plan: Plan, entry: SuspendedGroup): boolean {
  const { ledger, group, model, missing } = entry;
  const spares = plan.freeHosts(ledger.fabricDomain, model.upstream);
  if (spares.length < missing.length) {
    return false;
  }
  const replacements = new Map(
    missing.map((member, index): [HostId, HostId] => [member, spares[index].host.id]),
  );
  const replacementText = [...replacements].map(([from, to]) => `${from} by ${to}`).join(', ');
  const wait = entry.hasPermanentLoss
    ? 'a member will not return'
    : `waited ${formatSeconds(entry.waitedMs)}`;
  const content = { model: group.content.model, version: model.version, adapters: model.adapters };
  const action = { kind: 'repair', replacements, content } as const;
  const reason = missing.length === 0 ? 'loads again' : `replace ${replacementText}: ${wait}`;
  plan.addChange(
    ledger.fabricDomain,
    group.id,
    reason,
    action,
    waitOrRepairAlternatives(plan, entry),
  );
  return true;
}

function waitOrRepairAlternatives(plan: Plan, entry: SuspendedGroup): Alternative[] {
  const rate = downtimeCostPerSecond(plan.input, entry.model);
  const repairCost = (rate * loadMs(plan.input, entry.model, entry.missing.length)) / 1000;
  return [
    {
      name: 'wait longer',
      score: entry.hasPermanentLoss ? Infinity : (rate * entry.waitedMs) / 1000,
    },
    { name: 'repair', score: repairCost },
  ];
}

// Fences groups that cannot be repaired where a new replica can be formed from free hosts.
function fenceIfFormableElsewhere(plan: Plan, unrepaired: readonly SuspendedGroup[]): void {
  for (const entry of unrepaired) {
    if (canFormReplica(plan, entry.model)) {
      fence(plan, entry, 'a new replica can be formed elsewhere');
    }
  }
}

// Fences the less valuable of two suspended groups when its hosts complete the more valuable one.
function completeFromSuspended(plan: Plan, unrepaired: readonly SuspendedGroup[]): void {
  const donors = new Set<string>(idsBeingFenced(plan));
  for (const entry of unrepaired) {
    if (donors.has(entry.group.id)) {
      continue;
    }
    const donor = [...unrepaired]
      .reverse()
      .find(
        other =>
          other !== entry &&
          !donors.has(other.group.id) &&
          other.ledger.fabricDomain === entry.ledger.fabricDomain &&
          other.model.upstream === entry.model.upstream &&
          spareCount(plan, entry) + survivorCount(other) >= entry.missing.length,
      );
    if (donor !== undefined) {
      donors.add(donor.group.id);
      donors.add(entry.group.id);
      fence(plan, donor, `its hosts complete ${entry.group.id}`);
    }
  }
}

// Drains a ready group when its hosts complete a more valuable suspended group.
function completeByPreempting(plan: Plan, unrepaired: readonly SuspendedGroup[]): void {
  const fencedIds = idsBeingFenced(plan);
  for (const entry of unrepaired) {
    if (fencedIds.includes(entry.group.id)) {
      continue;
    }
    const victim = plan
      .groups()
      .filter(other => isPreemptable(plan, entry, other))
      .map(other => ({ other, gain: preemptionGain(plan, entry, other) }))
      .filter(({ gain }) => gain > 0 && paysOff(plan, entry, gain))
      .sort((a, b) => b.gain - a.gain)[0];
    const alreadyHelped = plan.changes.some(change => change.reason.includes(entry.group.id));
    if (victim !== undefined && !alreadyHelped) {
      const { ledger, group } = victim.other;
      const reason = `its hosts complete ${entry.group.id}, which is more important`;
      const alternatives = [
        { name: 'leave as it is', score: 0 },
        { name: 'preempt', score: -victim.gain },
      ];
      plan.addChange(ledger.fabricDomain, group.id, reason, DRAIN_ACTION, alternatives);
    }
  }
}

// Ids of the groups that this plan already moves to `fencing`.
function idsBeingFenced(plan: Plan): string[] {
  return plan.changes
    .filter(change => change.kind === 'move' && change.state === 'fencing')
    .map(change => change.group);
}

const DRAIN_ACTION = { kind: 'move', state: 'draining' } as const;

function isPreemptable(plan: Plan, entry: SuspendedGroup, other: PlacedGroup): boolean {
  const draining = other.ledger.groups.some(group => group.state === 'draining');
  return (
    !draining &&
    other.group.state === 'ready' &&
    other.ledger.fabricDomain === entry.ledger.fabricDomain &&
    plan.model(other.group.content.model)?.upstream === entry.model.upstream &&
    other.group.members.length + spareCount(plan, entry) >= entry.missing.length
  );
}

// Cost per second that is saved once the suspended group runs on hosts of the other group.
function preemptionGain(plan: Plan, entry: SuspendedGroup, other: PlacedGroup): number {
  const { input } = plan;
  const otherModel = plan.model(other.group.content.model);
  const lost = otherModel === undefined ? 0 : downtimeCostPerSecond(input, otherModel);
  const idleBefore = idleCostPerSecond(input, entry.group, survivorCount(entry));
  const idleAfter = idleCostPerSecond(
    input,
    other.group,
    Math.max(0, other.group.members.length - entry.missing.length),
  );
  return downtimeCostPerSecond(input, entry.model) - lost + idleBefore - idleAfter;
}

// Preemption starts once the gain over the time waited so far covers the downtime that the load itself costs.
function paysOff(plan: Plan, entry: SuspendedGroup, gain: number): boolean {
  const cost =
    (loadMs(plan.input, entry.model, entry.missing.length) / 1000) *
    downtimeCostPerSecond(plan.input, entry.model);
  return (entry.waitedMs / 1000) * gain >= cost;
}

function survivorCount(entry: SuspendedGroup): number {
  return entry.group.members.length - entry.missing.length;
}

function spareCount(plan: Plan, entry: SuspendedGroup): number {
  return plan.freeHosts(entry.ledger.fabricDomain, entry.model.upstream).length;
}

function fence(plan: Plan, entry: SuspendedGroup, reason: string): void {
  const { ledger, group } = entry;
  plan.addChange(ledger.fabricDomain, group.id, reason, { kind: 'move', state: 'fencing' });
}

function formatSeconds(ms: number): string {
  return `${(ms / 1000).toFixed(1)} s`;
}

/** Placeholder for a model that is no longer declared; groups of such a model are dissolved. */
const UNDECLARED_MODEL: Model = {
  version: '',
  hosts: 1,
  replicas: 0,
  importance: 0.01,
  'gigabytes-per-host': 0.001,
  slots: 1,
  'failure-domains': [],
  adapters: [],
  upstream: '',
};
