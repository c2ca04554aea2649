/**
 * Ledger changes that follow from observed states alone: a group becomes ready once all members have loaded, is
 * suspended once one is missing, and is dissolved once its members are reset. `decide.ts` makes the choices.
 */
import type { Group, Ledger } from '../groups/ledger.js';
import type { HostId } from '../hosts/host.js';
import type { DecisionInput, HostSnapshot } from './decision-input.js';
import {
  hasOutdatedAdapters,
  hasUnknownState,
  isAnswering,
  isLeaving,
  memberIsLoaded,
  stateAgeMs,
} from './decision-input.js';
import type { LedgerAction, LedgerChange } from './ledger-change.js';

/** The changes to one ledger that follow from observed states. */
export function reconcile(input: DecisionInput, ledger: Ledger): LedgerChange[] {
  const changes: LedgerChange[] = [];
  for (const group of ledger.groups) {
    changes.push(...reconcileGroup(input, ledger, group));
  }
  const cleared = clearedHosts(input, ledger);
  if (cleared.size > 0) {
    const reason = `reset confirmed: ${[...cleared].join(', ')}`;
    changes.push(ledgerChange(ledger, '', reason, { kind: 'clear-unfenced', hosts: cleared }));
  }
  return changes;
}

function reconcileGroup(input: DecisionInput, ledger: Ledger, group: Group): LedgerChange[] {
  const observations = group.members.map(member => input.hosts.get(member));
  switch (group.state) {
    case 'loading':
      return reconcileLoading(ledger, group, observations);
    case 'ready':
      return reconcileReady(ledger, group, observations);
    case 'suspended':
      return reconcileSuspended(input, ledger, group, observations);
    case 'draining':
      return reconcileDraining(ledger, group, observations);
    case 'fencing':
      return reconcileFencing(input, ledger, group, observations);
  }
}

function reconcileLoading(
  ledger: Ledger,
  group: Group,
  observations: readonly (HostSnapshot | undefined)[],
): LedgerChange[] {
  if (observations.every(observation => memberIsLoaded(group, observation))) {
    return [ledgerChange(ledger, group.id, 'all members have loaded', moveTo('ready'))];
  }
  const lost = group.members.filter((_member, index) => isLost(observations[index]));
  if (lost.length > 0) {
    return [
      ledgerChange(ledger, group.id, `lost while loading: ${lost.join(', ')}`, moveTo('suspended')),
    ];
  }
  return [];
}

function reconcileReady(
  ledger: Ledger,
  group: Group,
  observations: readonly (HostSnapshot | undefined)[],
): LedgerChange[] {
  const missing = group.members.filter((_member, index) => isMissing(group, observations[index]));
  if (missing.length === 0) {
    return [];
  }
  return [ledgerChange(ledger, group.id, `missing: ${missing.join(', ')}`, moveTo('suspended'))];
}

function reconcileSuspended(
  input: DecisionInput,
  ledger: Ledger,
  group: Group,
  observations: readonly (HostSnapshot | undefined)[],
): LedgerChange[] {
  // A group with a leaving member or outdated adapters is repaired or dissolved, not made ready again.
  const leaving = observations.some(
    observation => observation !== undefined && isLeaving(ledger, observation),
  );
  if (leaving || hasOutdatedAdapters(input, group)) {
    return [];
  }
  if (observations.every(observation => memberIsLoaded(group, observation))) {
    return [
      ledgerChange(ledger, group.id, 'all members are back with their state', moveTo('ready')),
    ];
  }
  // Members that restarted have lost their weights and load them again in the same epoch.
  if (observations.every(observation => isAnswering(observation))) {
    return [
      ledgerChange(
        ledger,
        group.id,
        'all members are back, some must load again',
        moveTo('loading'),
      ),
    ];
  }
  return [];
}

function reconcileDraining(
  ledger: Ledger,
  group: Group,
  observations: readonly (HostSnapshot | undefined)[],
): LedgerChange[] {
  if (!observations.some(observation => isMissing(group, observation))) {
    return [];
  }
  return [ledgerChange(ledger, group.id, 'a member was lost while draining', moveTo('suspended'))];
}

function reconcileFencing(
  input: DecisionInput,
  ledger: Ledger,
  group: Group,
  observations: readonly (HostSnapshot | undefined)[],
): LedgerChange[] {
  const confirmed = group.members.filter(
    (member, index) =>
      !group.fenced.includes(member) &&
      isAnswering(observations[index]) &&
      observations[index].report?.group !== group.id,
  );
  const changes = confirmed.map(host =>
    ledgerChange(ledger, group.id, 'reset confirmed', {
      kind: 'confirm-fenced',
      host,
    }),
  );
  const unconfirmed = group.members.filter(
    (member, index) =>
      !group.fenced.includes(member) &&
      !confirmed.includes(member) &&
      (isAnswering(observations[index]) || hasUnknownState(observations[index])),
  );
  if (unconfirmed.length === 0 && stateAgeMs(input, group) >= input.times.certificateMs) {
    changes.push(
      ledgerChange(ledger, group.id, 'members are reset or silent', {
        kind: 'dissolve',
      }),
    );
  }
  return changes;
}

// A host that reports no group has been reset or restarted; a host that is no longer listed has been removed.
function clearedHosts(input: DecisionInput, ledger: Ledger): Set<HostId> {
  const cleared = new Set<HostId>();
  for (const entry of ledger.unfenced) {
    const observation = input.hosts.get(entry.host);
    const reset = isAnswering(observation) && observation.report?.group === null;
    if (observation === undefined || reset) {
      cleared.add(entry.host);
    }
  }
  return cleared;
}

// A host that has not answered this observer yet does not count as missing.
function isMissing(group: Group, observation: HostSnapshot | undefined): boolean {
  return isLost(observation) || (isAnswering(observation) && !memberIsLoaded(group, observation));
}

function isLost(observation: HostSnapshot | undefined): boolean {
  return observation === undefined || observation.isMissing;
}

function moveTo(state: Group['state']): LedgerAction {
  return { kind: 'move', state };
}

function ledgerChange(
  ledger: Ledger,
  group: string,
  reason: string,
  action: LedgerAction,
): LedgerChange {
  return {
    fabricDomain: ledger.fabricDomain,
    group,
    reason,
    alternatives: [],
    ...action,
  };
}
