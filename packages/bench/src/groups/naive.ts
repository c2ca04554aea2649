/**
 * The naive decision: a broken group is formed again at once from the first free hosts (first fit).
 * It is simple enough to be clearly correct, so it is the baseline of the benchmark and of
 * differential tests.
 */
import type { DecisionInput, LedgerChange } from '@hingescale/core';
import { isDrained, isLeaving, Plan, wantedReplicas } from '@hingescale/core';

/** Computes ledger changes by first fit, without comparing costs. */
export function decideNaively(input: DecisionInput): LedgerChange[] {
  const plan = new Plan(input);
  for (const { ledger, group } of plan.groups()) {
    const leaving = group.members.some(member => {
      const snapshot = input.hosts.get(member);
      return snapshot !== undefined && isLeaving(ledger, snapshot);
    });
    const move = (state: 'draining' | 'fencing', reason: string): void => {
      plan.addChange(ledger.fabricDomain, group.id, reason, { kind: 'move', state });
    };
    if (group.state === 'suspended') {
      move('fencing', 'broken');
    } else if (group.state === 'ready' && leaving) {
      move('draining', 'leaving');
    } else if (group.state === 'loading' && leaving) {
      move('fencing', 'leaving');
    } else if (group.state === 'draining' && isDrained(input, group)) {
      move('fencing', 'drained');
    }
  }
  for (const [name, model] of input.configuration.models) {
    const wanted = wantedReplicas(input, model);
    for (const ledger of plan.ledgers()) {
      while (plan.countReplicas(name) < wanted) {
        const free = plan.freeHosts(ledger.fabricDomain, model.upstream);
        if (free.length < model.hosts) {
          break;
        }
        const members = free
          .map(snapshot => snapshot.host.id)
          .sort()
          .slice(0, model.hosts);
        const content = { model: name, version: model.version, adapters: model.adapters };
        const epoch = plan.ledger(ledger.fabricDomain).lastEpoch + 1;
        const group = `${name}-${ledger.fabricDomain}-${epoch}`;
        plan.addChange(ledger.fabricDomain, group, 'missing', { kind: 'form', content, members });
      }
    }
  }
  return plan.changes;
}
