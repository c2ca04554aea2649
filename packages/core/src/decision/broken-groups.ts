/**
 * What to do with a suspended group: wait for its missing members, repair it from spares, complete
 * it by giving up a less important group, or give it up itself.
 *
 * Waiting against acting is an online rent-or-buy choice. Waiting costs what the group's downtime
 * costs; acting costs the time of a load. The group waits until both are equal, which never costs
 * more than twice what hindsight would have chosen. Members that will not return end the wait.
 */
import type { Model } from '../configuration/objects.js';
import type { Ledger } from '../groups/ledger.js';
import type { HostId } from '../hosts/host.js';
import { downRate, loadMs, strandedRate } from './costs.js';
import type { HostFact } from './decision-input.js';
import { ageOf, answers, FLAPPING_LOSSES, isLeaving, isUnheard } from './decision-input.js';
import { canForm } from './formation.js';
import { hostLossAnswer } from './host-loss.js';
import type { Alternative } from './ledger-order.js';
import type { PlacedGroup, Plan } from './plan.js';

/** A suspended group with what there is to know for the choice. */
type Broken = PlacedGroup & {
  readonly model: Model;
  readonly missing: readonly HostId[];
  /** True when a missing member will not come back. */
  readonly gone: boolean;
  /** True while a missing member may be back within moments: then nothing is decided. */
  readonly mayReturn: boolean;
  readonly waitedMs: number;
  /** Milliseconds of waiting after which acting is the better bet. */
  readonly patienceMs: number;
  readonly giveUp: boolean;
};

/** Part of the load time for which a missing member is waited for; 1 is the rent-or-buy point. */
const PATIENCE = 1;

/** Adds orders for all suspended groups, the most valuable per needed host first. */
export function treatBroken(plan: Plan): void {
  const broken = plan
    .groups()
    .filter(({ group }) => group.state === 'suspended')
    .map(placed => assess(plan, placed))
    .sort((a, b) => urgency(plan, b) - urgency(plan, a));
  const impatient = broken.filter(
    entry => !entry.mayReturn && (entry.gone || entry.waitedMs >= entry.patienceMs),
  );
  const open: Broken[] = [];
  for (const entry of impatient) {
    if (entry.giveUp) {
      fence(plan, entry, 'policy gives the group up');
    } else if (!repair(plan, entry)) {
      open.push(entry);
    }
  }
  if (open.length > 0) {
    moveElsewhere(plan, open);
    completeByMerging(plan, open);
    completeByPreempting(plan, open);
  }
}

function assess(plan: Plan, placed: PlacedGroup): Broken {
  const { input } = plan;
  const { ledger, group } = placed;
  const model = plan.model(group.content.model);
  const facts = new Map(group.members.map(member => [member, input.hosts.get(member)]));
  const missing = group.members.filter(member => isMissing(ledger, facts.get(member)));
  const mayReturn = [...facts.values()].some(fact => isUnheard(fact) || fact?.mayReturn === true);
  const gone = missing.some(member => isGone(ledger, facts.get(member)));
  const waitedMs = ageOf(input, group);
  if (model === undefined) {
    const unwanted = { model: UNDECLARED, patienceMs: 0, giveUp: true };
    return { ...placed, ...unwanted, missing, gone, mayReturn, waitedMs };
  }
  const repairMs = loadMs(input, model, Math.max(1, missing.length));
  const answer = policyAnswer(plan, placed, model, missing.length, waitedMs, repairMs);
  const patienceMs = answer === 'wait' ? Infinity : answer === 'default' ? repairMs * PATIENCE : 0;
  if (missing.length === 0) {
    return { ...placed, model, missing, gone, mayReturn, waitedMs, patienceMs: 0, giveUp: false };
  }
  const giveUp = answer === 'dissolve';
  return { ...placed, model, missing, gone, mayReturn, waitedMs, patienceMs, giveUp };
}

function policyAnswer(
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
    spares: plan.free(ledger.fabricDomain, model.upstream).length,
    loadMs: repairMs,
    ready,
  }).answer;
}

function isMissing(ledger: Ledger, fact: HostFact | undefined): boolean {
  return !answers(fact) || isLeaving(ledger, fact);
}

// A host that flaps comes back, but not for long; waiting for it is no use.
function isGone(ledger: Ledger, fact: HostFact | undefined): boolean {
  return fact === undefined || isLeaving(ledger, fact) || fact.losses >= FLAPPING_LOSSES;
}

function urgency(plan: Plan, entry: Broken): number {
  return downRate(plan.input, entry.model) / Math.max(1, entry.missing.length);
}

function repair(plan: Plan, entry: Broken): boolean {
  const { ledger, group, model, missing } = entry;
  const spares = plan.free(ledger.fabricDomain, model.upstream);
  if (spares.length < missing.length) {
    return false;
  }
  const replacements = new Map(
    missing.map((member, index): [HostId, HostId] => [member, spares[index].host.id]),
  );
  const named = [...replacements].map(([from, to]) => `${from} by ${to}`).join(', ');
  const wait = entry.gone ? 'a member will not return' : `waited ${seconds(entry.waitedMs)}`;
  const content = { model: group.content.model, version: model.version, adapters: model.adapters };
  const action = { kind: 'repair', replacements, content } as const;
  const reason = missing.length === 0 ? 'loads again' : `replace ${named}: ${wait}`;
  plan.add(ledger.fabricDomain, group.id, reason, action, waitOrRepair(plan, entry));
  return true;
}

function waitOrRepair(plan: Plan, entry: Broken): Alternative[] {
  const rate = downRate(plan.input, entry.model);
  const repairCost = (rate * loadMs(plan.input, entry.model, entry.missing.length)) / 1000;
  return [
    { name: 'wait longer', score: entry.gone ? Infinity : (rate * entry.waitedMs) / 1000 },
    { name: 'repair', score: repairCost },
  ];
}

// A group that can not be completed here is given up when a new one can stand elsewhere.
function moveElsewhere(plan: Plan, open: readonly Broken[]): void {
  for (const entry of open) {
    if (canForm(plan, entry.model)) {
      fence(plan, entry, 'a new replica can be formed elsewhere');
    }
  }
}

// Of two groups that can not be completed alone, the one worth more is completed from the other.
function completeByMerging(plan: Plan, open: readonly Broken[]): void {
  const donors = new Set<string>(givenUp(plan));
  for (const entry of open) {
    if (donors.has(entry.group.id)) {
      continue;
    }
    const donor = [...open]
      .reverse()
      .find(
        other =>
          other !== entry &&
          !donors.has(other.group.id) &&
          other.ledger.fabricDomain === entry.ledger.fabricDomain &&
          other.model.upstream === entry.model.upstream &&
          spareCount(plan, entry) + survivors(other) >= entry.missing.length,
      );
    if (donor !== undefined) {
      donors.add(donor.group.id);
      donors.add(entry.group.id);
      fence(plan, donor, `its hosts complete ${entry.group.id}`);
    }
  }
}

function completeByPreempting(plan: Plan, open: readonly Broken[]): void {
  const done = givenUp(plan);
  for (const entry of open) {
    if (done.includes(entry.group.id)) {
      continue;
    }
    const victim = plan
      .groups()
      .filter(other => mayYield(plan, entry, other))
      .map(other => ({ other, gain: preemptionGain(plan, entry, other) }))
      .filter(({ gain }) => gain > 0 && paysOff(plan, entry, gain))
      .sort((a, b) => b.gain - a.gain)[0];
    const alreadyHelped = plan.orders.some(order => order.reason.includes(entry.group.id));
    if (victim !== undefined && !alreadyHelped) {
      const { ledger, group } = victim.other;
      const reason = `its hosts complete ${entry.group.id}, which is more important`;
      const alternatives = [
        { name: 'leave as it is', score: 0 },
        { name: 'preempt', score: -victim.gain },
      ];
      plan.add(ledger.fabricDomain, group.id, reason, DRAIN, alternatives);
    }
  }
}

// Groups that this plan has already decided to give up.
function givenUp(plan: Plan): string[] {
  return plan.orders
    .filter(order => order.kind === 'move' && order.state === 'fencing')
    .map(order => order.group);
}

const DRAIN = { kind: 'move', state: 'draining' } as const;

function mayYield(plan: Plan, entry: Broken, other: PlacedGroup): boolean {
  const draining = other.ledger.groups.some(group => group.state === 'draining');
  return (
    !draining &&
    other.group.state === 'ready' &&
    other.ledger.fabricDomain === entry.ledger.fabricDomain &&
    plan.model(other.group.content.model)?.upstream === entry.model.upstream &&
    other.group.members.length + spareCount(plan, entry) >= entry.missing.length
  );
}

/** Cost per second saved once the more important group runs on the other's hosts. */
function preemptionGain(plan: Plan, entry: Broken, other: PlacedGroup): number {
  const { input } = plan;
  const otherModel = plan.model(other.group.content.model);
  const lost = otherModel === undefined ? 0 : downRate(input, otherModel);
  const idleBefore = strandedRate(input, entry.group, survivors(entry));
  const idleAfter = strandedRate(
    input,
    other.group,
    Math.max(0, other.group.members.length - entry.missing.length),
  );
  return downRate(input, entry.model) - lost + idleBefore - idleAfter;
}

// The gain must have had time to outgrow the downtime that the change itself costs.
function paysOff(plan: Plan, entry: Broken, gain: number): boolean {
  const cost =
    (loadMs(plan.input, entry.model, entry.missing.length) / 1000) *
    downRate(plan.input, entry.model);
  return (entry.waitedMs / 1000) * gain >= cost;
}

function survivors(entry: Broken): number {
  return entry.group.members.length - entry.missing.length;
}

function spareCount(plan: Plan, entry: Broken): number {
  return plan.free(entry.ledger.fabricDomain, entry.model.upstream).length;
}

function fence(plan: Plan, entry: Broken, reason: string): void {
  const { ledger, group } = entry;
  plan.add(ledger.fabricDomain, group.id, reason, { kind: 'move', state: 'fencing' });
}

function seconds(ms: number): string {
  return `${(ms / 1000).toFixed(1)} s`;
}

/** Stands for a model that is not declared any more; its groups are given up. */
const UNDECLARED: Model = {
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
