/** The group decision: a pure function from facts and wishes to orders with reasons. */
import type { Model } from '../configuration/objects.js';
import type { Ledger } from '../groups/ledger.js';
import type { DecisionInput } from './decision-input.js';
import { freeHosts, wantedReplicas } from './decision-input.js';
import type { LedgerOrder } from './ledger-order.js';

/** Orders for all ledgers of a failure domain. */
export function decide(input: DecisionInput): LedgerOrder[] {
  const orders: LedgerOrder[] = [];
  for (const [name, model] of input.configuration.models) {
    orders.push(...formMissing(input, name, model));
  }
  return orders;
}

function formMissing(input: DecisionInput, name: string, model: Model): LedgerOrder[] {
  const wanted = wantedReplicas(input.configuration, model, input.failureDomain);
  const present = input.ledgers.flatMap(ledger => ledger.groups);
  const held = present.filter(group => group.content.model === name).length;
  for (const ledger of input.ledgers) {
    const free = freeHosts(input, ledger, model.upstream);
    if (held < wanted && free.length >= model.hosts) {
      return [
        formOrder(
          ledger,
          name,
          model,
          free.slice(0, model.hosts).map(fact => fact.host.id),
        ),
      ];
    }
  }
  return [];
}

function formOrder(
  ledger: Ledger,
  name: string,
  model: Model,
  members: readonly string[],
): LedgerOrder {
  return {
    kind: 'form',
    fabricDomain: ledger.fabricDomain,
    group: `${name}-${ledger.fabricDomain}-${ledger.lastEpoch + 1}`,
    content: { model: name, version: model.version, adapters: model.adapters },
    members,
    reason: 'a wanted replica is missing',
    alternatives: [],
  };
}
