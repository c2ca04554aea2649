/**
 * Orders that follow from facts alone: a group is ready once all members have loaded, suspended
 * once one is missing, dissolved once its members are reset. Choices are made in `decide.ts`.
 */
import type { Group, Ledger } from '../groups/ledger.js';
import type { HostId } from '../hosts/host.js';
import type { DecisionInput, HostFact } from './decision-input.js';
import {
  ageOf,
  answers,
  hasOutdatedAdapters,
  isLeaving,
  isUnheard,
  memberIsLoaded,
} from './decision-input.js';
import type { LedgerAction, LedgerOrder } from './ledger-order.js';

/** Orders for one ledger that follow from facts. */
export function reconcile(input: DecisionInput, ledger: Ledger): LedgerOrder[] {
  const orders: LedgerOrder[] = [];
  for (const group of ledger.groups) {
    orders.push(...reconcileGroup(input, ledger, group));
  }
  const cleared = clearedHosts(input, ledger);
  if (cleared.size > 0) {
    const reason = `reset confirmed: ${[...cleared].join(', ')}`;
    orders.push(order(ledger, '', reason, { kind: 'clear-unfenced', hosts: cleared }));
  }
  return orders;
}

function reconcileGroup(input: DecisionInput, ledger: Ledger, group: Group): LedgerOrder[] {
  const facts = group.members.map(member => input.hosts.get(member));
  switch (group.state) {
    case 'loading':
      return reconcileLoading(ledger, group, facts);
    case 'ready':
      return reconcileReady(ledger, group, facts);
    case 'suspended':
      return reconcileSuspended(input, ledger, group, facts);
    case 'draining':
      return reconcileDraining(ledger, group, facts);
    case 'fencing':
      return reconcileFencing(input, ledger, group, facts);
  }
}

function reconcileLoading(
  ledger: Ledger,
  group: Group,
  facts: readonly (HostFact | undefined)[],
): LedgerOrder[] {
  if (facts.every(fact => memberIsLoaded(group, fact))) {
    return [order(ledger, group.id, 'all members have loaded', move('ready'))];
  }
  const lost = group.members.filter((_member, index) => isLost(facts[index]));
  if (lost.length > 0) {
    return [order(ledger, group.id, `lost while loading: ${lost.join(', ')}`, move('suspended'))];
  }
  return [];
}

function reconcileReady(
  ledger: Ledger,
  group: Group,
  facts: readonly (HostFact | undefined)[],
): LedgerOrder[] {
  const missing = group.members.filter((_member, index) => isMissing(group, facts[index]));
  if (missing.length === 0) {
    return [];
  }
  return [order(ledger, group.id, `missing: ${missing.join(', ')}`, move('suspended'))];
}

function reconcileSuspended(
  input: DecisionInput,
  ledger: Ledger,
  group: Group,
  facts: readonly (HostFact | undefined)[],
): LedgerOrder[] {
  // A member that leaves is on its way out, even when it is back; so are outdated adapters.
  const leaving = facts.some(fact => fact !== undefined && isLeaving(ledger, fact));
  if (leaving || hasOutdatedAdapters(input, group)) {
    return [];
  }
  if (facts.every(fact => memberIsLoaded(group, fact))) {
    return [order(ledger, group.id, 'all members are back with their state', move('ready'))];
  }
  // Members that answer without the state they had (a restart) load it again in the same epoch.
  if (facts.every(fact => answers(fact))) {
    return [order(ledger, group.id, 'all members are back, some must load again', move('loading'))];
  }
  return [];
}

function reconcileDraining(
  ledger: Ledger,
  group: Group,
  facts: readonly (HostFact | undefined)[],
): LedgerOrder[] {
  if (!facts.some(fact => isMissing(group, fact))) {
    return [];
  }
  return [order(ledger, group.id, 'a member was lost while draining', move('suspended'))];
}

function reconcileFencing(
  input: DecisionInput,
  ledger: Ledger,
  group: Group,
  facts: readonly (HostFact | undefined)[],
): LedgerOrder[] {
  const confirmed = group.members.filter(
    (member, index) =>
      !group.fenced.includes(member) &&
      answers(facts[index]) &&
      facts[index].report?.group !== group.id,
  );
  const orders = confirmed.map(host =>
    order(ledger, group.id, 'reset confirmed', {
      kind: 'confirm-fenced',
      host,
    }),
  );
  const waiting = group.members.filter(
    (member, index) =>
      !group.fenced.includes(member) &&
      !confirmed.includes(member) &&
      (answers(facts[index]) || isUnheard(facts[index])),
  );
  if (waiting.length === 0 && ageOf(input, group) >= input.times.certificateMs) {
    orders.push(
      order(ledger, group.id, 'members are reset or silent', {
        kind: 'dissolve',
      }),
    );
  }
  return orders;
}

// A host that answers for nothing has been reset or restarted; one not listed is gone for good.
function clearedHosts(input: DecisionInput, ledger: Ledger): Set<HostId> {
  const cleared = new Set<HostId>();
  for (const entry of ledger.unfenced) {
    const fact = input.hosts.get(entry.host);
    const reset = answers(fact) && fact.report?.group === null;
    if (fact === undefined || reset) {
      cleared.add(entry.host);
    }
  }
  return cleared;
}

// A host that this observer has not heard yet is not known to be missing.
function isMissing(group: Group, fact: HostFact | undefined): boolean {
  return isLost(fact) || (answers(fact) && !memberIsLoaded(group, fact));
}

function isLost(fact: HostFact | undefined): boolean {
  return fact === undefined || fact.isMissing;
}

function move(state: Group['state']): LedgerAction {
  return { kind: 'move', state };
}

function order(ledger: Ledger, group: string, reason: string, action: LedgerAction): LedgerOrder {
  return {
    fabricDomain: ledger.fabricDomain,
    group,
    reason,
    alternatives: [],
    ...action,
  };
}
