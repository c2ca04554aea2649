/** The plan that a decision builds: ledger changes, and the ledgers with these changes applied. */
import type { Model } from '../configuration/objects.js';
import type { Group, GroupId, Ledger } from '../groups/ledger.js';
import { assignedHosts } from '../groups/ledger.js';
import type { FabricDomainId } from '../hosts/host.js';
import type { DecisionInput, HostSnapshot } from './decision-input.js';
import { FLAPPING_LOSSES, isAnswering, isLeaving } from './decision-input.js';
import type { Alternative, LedgerAction, LedgerChange } from './ledger-change.js';
import { applyChange } from './ledger-change.js';

/** A group with the ledger that lists it. */
export type PlacedGroup = { readonly ledger: Ledger; readonly group: Group };

/** Collects ledger changes; each one is applied at once, so that later choices see its effect. */
export class Plan {
  readonly input: DecisionInput;
  readonly changes: LedgerChange[] = [];
  readonly #ledgers: Map<FabricDomainId, Ledger>;
  readonly #byFabricDomain = new Map<FabricDomainId, HostSnapshot[]>();

  constructor(input: DecisionInput) {
    this.input = input;
    this.#ledgers = new Map(input.ledgers.map(ledger => [ledger.fabricDomain, ledger]));
    for (const observation of input.hosts.values()) {
      const { fabricDomain } = observation.host;
      const observations = this.#byFabricDomain.get(fabricDomain) ?? [];
      observations.push(observation);
      this.#byFabricDomain.set(fabricDomain, observations);
    }
  }

  /** The ledgers with all changes so far applied. */
  ledgers(): Ledger[] {
    return [...this.#ledgers.values()];
  }

  /** The ledger of a fabric domain, which must be one of the input's. */
  ledger(fabricDomain: FabricDomainId): Ledger {
    return this.#ledgers.get(fabricDomain) as Ledger;
  }

  /** All groups, each with its ledger. */
  groups(): PlacedGroup[] {
    return this.ledgers().flatMap(ledger => ledger.groups.map(group => ({ ledger, group })));
  }

  /** Adds a change and applies it; throws `LedgerError` when the ledger does not allow it. */
  addChange(
    fabricDomain: FabricDomainId,
    group: GroupId,
    reason: string,
    action: LedgerAction,
    alternatives: readonly Alternative[] = [],
  ): void {
    const change: LedgerChange = { fabricDomain, group, reason, alternatives, ...action };
    this.#ledgers.set(fabricDomain, applyChange(this.ledger(fabricDomain), change));
    this.changes.push(change);
  }

  /** Hosts of a fabric domain that may join a group now: first those that do not flap. */
  freeHosts(fabricDomain: FabricDomainId, upstream: string): HostSnapshot[] {
    const ledger = this.ledger(fabricDomain);
    const assigned = assignedHosts(ledger);
    return (this.#byFabricDomain.get(fabricDomain) ?? [])
      .filter(
        observation =>
          observation.host.upstream === upstream &&
          !assigned.has(observation.host.id) &&
          !isLeaving(ledger, observation) &&
          isAnswering(observation) &&
          observation.report?.group === null,
      )
      .sort((a, b) => flapRank(a) - flapRank(b) || a.host.id.localeCompare(b.host.id));
  }

  /** Number of replicas of a model that count towards the wanted number: not draining, not about to, not fencing. */
  countReplicas(model: string): number {
    return this.groups().filter(
      placed =>
        placed.group.content.model === model &&
        placed.group.state !== 'draining' &&
        placed.group.state !== 'fencing' &&
        !willDrain(placed),
    ).length;
  }

  /** A declared model by name. */
  model(name: string): Model | undefined {
    return this.input.configuration.models.get(name);
  }
}

// True for a ready group with a host that an operator drains.
function willDrain({ ledger, group }: PlacedGroup): boolean {
  return group.state === 'ready' && group.members.some(host => ledger.cordoned.includes(host));
}

// Hosts below the flapping limit rank equally, so that a single loss does not change the choice of hosts.
function flapRank(observation: HostSnapshot): number {
  return observation.losses >= FLAPPING_LOSSES ? observation.losses : 0;
}
