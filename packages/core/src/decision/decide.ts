/** The group decision: a pure function from observed hosts, ledgers and configuration to ledger changes. */
import type { DecisionInput } from './decision-input.js';
import { displaceForMissingReplica } from './displacement.js';
import {
  drainExcessReplicas,
  drainGroupsWithLeavingHosts,
  endDrainedGroups,
  rollVersions,
} from './drains.js';
import { formMissingReplicas } from './formation.js';
import type { LedgerChange } from './ledger-change.js';
import { Plan } from './plan.js';
import { handleSuspendedGroups } from './suspended-groups.js';

/** Changes to all ledgers of a failure domain; each one is legal after those before it have been applied. */
export function decide(input: DecisionInput): LedgerChange[] {
  const plan = new Plan(input);
  drainGroupsWithLeavingHosts(plan);
  drainExcessReplicas(plan);
  endDrainedGroups(plan);
  handleSuspendedGroups(plan);
  formMissingReplicas(plan);
  displaceForMissingReplica(plan);
  rollVersions(plan);
  return plan.changes;
}
