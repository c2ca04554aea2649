/** Changes to a ledger, each with a reason for operators. */
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

/** An alternative that the decision compared, with its score (a cost); lower is better. */
export type Alternative = { readonly name: string; readonly score: number };

/** A change to the ledger of one fabric domain, with its reason and the alternatives that were compared. */
export type LedgerChange = {
  readonly fabricDomain: FabricDomainId;
  /** The group that changes; empty for `clear-unfenced`. */
  readonly group: GroupId;
  readonly reason: string;
  readonly alternatives: readonly Alternative[];
} & LedgerAction;

/** The operation on the ledger. */
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

/** Applies a change; throws `LedgerError` when the ledger does not allow it. */
export function applyChange(ledger: Ledger, change: LedgerChange): Ledger {
  switch (change.kind) {
    case 'form':
      return formGroup(ledger, change.group, change.content, change.members, change.reason);
    case 'move':
      return moveGroup(ledger, change.group, change.state, change.reason);
    case 'repair':
      return repairGroup(ledger, change.group, change.replacements, change.content, change.reason);
    case 'confirm-fenced':
      return confirmFenced(ledger, change.group, change.host);
    case 'dissolve':
      return dissolveGroup(ledger, change.group);
    case 'clear-unfenced':
      return clearUnfenced(ledger, change.hosts);
  }
}

/** Applies changes of one fabric domain one after the other. */
export function applyChanges(ledger: Ledger, changes: readonly LedgerChange[]): Ledger {
  return changes.reduce(applyChange, ledger);
}
