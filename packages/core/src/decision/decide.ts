/** The group decision: a pure function from facts and wishes to orders with reasons. */
import { treatBroken } from './broken-groups.js';
import type { DecisionInput } from './decision-input.js';
import { displaceForMissing } from './displacement.js';
import { drainExcess, drainLeaving, endDrained, rollVersions } from './drains.js';
import { formMissing } from './formation.js';
import type { LedgerOrder } from './ledger-order.js';
import { Plan } from './plan.js';

/** Orders for all ledgers of a failure domain, each legal after those before it. */
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
