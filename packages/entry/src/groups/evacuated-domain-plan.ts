/**
 * Plans formations and stagings for the hosts of evacuated failure domains. All functions are pure.
 *
 * Their groups stay formed, so that they serve at once when the evacuation ends. When a group breaks there, its
 * hosts form groups again, chosen by the needs of all failure domains together; no group there is dissolved for
 * another. Loads go to the domains in use first.
 */
import type { FleetView } from './fleet-view.js';
import { capacityValueOf, withEvacuatedDomains } from './fleet-view.js';
import type { FormationLoads, PlannedFormation } from './formation-plan.js';
import { planFormationsIn } from './formation-plan.js';
import type { PlannedStaging } from './staging-plan.js';
import { planCompletions } from './staging-plan.js';

/**
 * Fraction of the loads left over by the domains in use that evacuated domains may use, 0 to 1. A load lasts many
 * seconds: if evacuated domains used all of them, the domains in use would have to wait after their next loss.
 */
const EVACUATED_LOAD_FRACTION = 0.5;

/** Plans groups of the free hosts of evacuated failure domains. */
export function planEvacuatedFormations(
  view: FleetView,
  loads: FormationLoads,
): readonly PlannedFormation[] {
  if (view.evacuated.length === 0) {
    return [];
  }
  const allDomains = withEvacuatedDomains(view);
  return planFormationsIn(allDomains, view.evacuated, capacityValueOf(allDomains), loads);
}

/** Plans stagings that complete groups there; `loadsLeft` is the number of loads left over by the domains in use. */
export function planEvacuatedStagings(
  view: FleetView,
  loadsLeft: number,
): readonly PlannedStaging[] {
  if (view.evacuated.length === 0) {
    return [];
  }
  const loads = Math.floor(loadsLeft * EVACUATED_LOAD_FRACTION);
  return planCompletions(withEvacuatedDomains(view), view.evacuated, loads);
}
