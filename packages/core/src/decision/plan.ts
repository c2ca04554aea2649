/** The plan that a decision builds up: orders, and the ledgers as they will be after them. */
import type { Model } from '../configuration/objects.js';
import type { Group, GroupId, Ledger } from '../groups/ledger.js';
import { assignedHosts } from '../groups/ledger.js';
import type { FabricDomainId } from '../hosts/host.js';
import type { DecisionInput, HostFact } from './decision-input.js';
import { answers, FLAPPING_LOSSES, isLeaving } from './decision-input.js';
import type { Alternative, LedgerAction, LedgerOrder } from './ledger-order.js';
import { applyOrder } from './ledger-order.js';

/** A group with the ledger that it stands in. */
export type PlacedGroup = { readonly ledger: Ledger; readonly group: Group };

/** Collects orders; each one is applied at once, so that later choices see its effect. */
export class Plan {
  readonly input: DecisionInput;
  readonly orders: LedgerOrder[] = [];
  readonly #ledgers: Map<FabricDomainId, Ledger>;
  readonly #byFabric = new Map<FabricDomainId, HostFact[]>();

  constructor(input: DecisionInput) {
    this.input = input;
    this.#ledgers = new Map(input.ledgers.map(ledger => [ledger.fabricDomain, ledger]));
    for (const fact of input.hosts.values()) {
      const { fabricDomain } = fact.host;
      const facts = this.#byFabric.get(fabricDomain) ?? [];
      facts.push(fact);
      this.#byFabric.set(fabricDomain, facts);
    }
  }

  /** The ledgers with all orders applied. */
  ledgers(): Ledger[] {
    return [...this.#ledgers.values()];
  }

  /** The ledger of a fabric domain. */
  ledger(fabricDomain: FabricDomainId): Ledger {
    return this.#ledgers.get(fabricDomain) as Ledger;
  }

  /** All groups, each with its ledger. */
  groups(): PlacedGroup[] {
    return this.ledgers().flatMap(ledger => ledger.groups.map(group => ({ ledger, group })));
  }

  /** Adds an order and applies it. */
  add(
    fabricDomain: FabricDomainId,
    group: GroupId,
    reason: string,
    action: LedgerAction,
    alternatives: readonly Alternative[] = [],
  ): void {
    const order: LedgerOrder = { fabricDomain, group, reason, alternatives, ...action };
    this.#ledgers.set(fabricDomain, applyOrder(this.ledger(fabricDomain), order));
    this.orders.push(order);
  }

  /** Hosts of a fabric domain that may join a group now, steady ones first. */
  free(fabricDomain: FabricDomainId, upstream: string): HostFact[] {
    const ledger = this.ledger(fabricDomain);
    const taken = assignedHosts(ledger);
    return (this.#byFabric.get(fabricDomain) ?? [])
      .filter(
        fact =>
          fact.host.upstream === upstream &&
          !taken.has(fact.host.id) &&
          !isLeaving(ledger, fact) &&
          answers(fact) &&
          fact.report?.group === null,
      )
      .sort((a, b) => flapRank(a) - flapRank(b) || a.host.id.localeCompare(b.host.id));
  }

  /** Replicas of a model that count towards the wanted number: not draining or about to, not being undone. */
  held(model: string): number {
    return this.groups().filter(
      placed =>
        placed.group.content.model === model &&
        placed.group.state !== 'draining' &&
        placed.group.state !== 'fencing' &&
        !isToDrain(placed),
    ).length;
  }

  /** A declared model by name. */
  model(name: string): Model | undefined {
    return this.input.configuration.models.get(name);
  }
}

/** True for a ready group with a host that an operator drains. */
function isToDrain({ ledger, group }: PlacedGroup): boolean {
  return group.state === 'ready' && group.members.some(host => ledger.cordoned.includes(host));
}

// Among steady hosts the number of losses does not matter, so that choices stay put.
function flapRank(fact: HostFact): number {
  return fact.losses >= FLAPPING_LOSSES ? fact.losses : 0;
}
