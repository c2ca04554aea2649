/** Orders that change a ledger, each with a reason an operator can read. */
import type { GroupContent, GroupId, GroupState, Ledger } from '../groups/ledger.js';
import {
  clearUnfenced,
  confirmFenced,
  dissolveGroup,
  formGroup,
  moveGroup,
  repairGroup,
} from '../groups/ledger.js';
import type { FabricDomainId, HostId } from '../hosts/host.js';

/** An alternative that was weighed, with its score; lower is better. */
export type Alternative = { readonly name: string; readonly score: number };

/** An order with its reason. */
export type LedgerOrder = {
  readonly fabricDomain: FabricDomainId;
  readonly group: GroupId;
  readonly reason: string;
  readonly alternatives: readonly Alternative[];
} & LedgerAction;

/** What an order does to the ledger. */
export type LedgerAction =
  | {
      readonly kind: 'form';
      readonly content: GroupContent;
      readonly members: readonly HostId[];
    }
  | { readonly kind: 'move'; readonly state: GroupState }
  | {
      readonly kind: 'repair';
      readonly replacements: ReadonlyMap<HostId, HostId>;
      readonly content: GroupContent;
    }
  | { readonly kind: 'confirm-fenced'; readonly host: HostId }
  | { readonly kind: 'dissolve' }
  | { readonly kind: 'clear-unfenced'; readonly hosts: ReadonlySet<HostId> };

/** Applies an order; throws `LedgerError` when the ledger does not allow it. */
export function applyOrder(ledger: Ledger, order: LedgerOrder): Ledger {
  switch (order.kind) {
    case 'form':
      return formGroup(ledger, order.group, order.content, order.members, order.reason);
    case 'move':
      return moveGroup(ledger, order.group, order.state, order.reason);
    case 'repair':
      return repairGroup(ledger, order.group, order.replacements, order.content, order.reason);
    case 'confirm-fenced':
      return confirmFenced(ledger, order.group, order.host);
    case 'dissolve':
      return dissolveGroup(ledger, order.group);
    case 'clear-unfenced':
      return clearUnfenced(ledger, order.hosts);
  }
}

/** Applies orders of one fabric domain in turn. */
export function applyOrders(ledger: Ledger, orders: readonly LedgerOrder[]): Ledger {
  return orders.reduce(applyOrder, ledger);
}
