/** The group decision: a pure function from observed hosts, ledgers and configuration to ledger changes. */
import { treatBroken } from './broken-groups.js';
import type { DecisionInput } from './decision-input.js';
import { displaceForMissing } from './displacement.js';
import { drainExcess, drainLeaving, endDrained, rollVersions } from './drains.js';
import { formMissing } from './formation.js';
import type { LedgerOrder } from './ledger-order.js';
import { Plan } from './plan.js';

/** Changes to all ledgers of a failure domain; each one is legal after those before it have been applied. */
export function decide(input: DecisionInput): LedgerOrder[] {
  const plan = new Plan(input);
  drainLeaving(plan);
  drainExcess(plan);
  endDrained(plan);
  treatBroken(plan);
  formMissing(plan);
  displaceForMissing(plan);
  rollVersions(plan);
  return plan.orders;
}
