/**
 * Plans for the hosts of evacuated failure domains. Pure.
 *
 * Their groups stay formed, so that they serve at once when the evacuation ends. The hosts of a group that
 * breaks there form groups again, valued as all domains together will need them; no group there is
 * dissolved for another. Loads go to the domains in use first.
 */
import type { FleetView } from './fleet-view.js';
import { valueOf, wholeFleetOf } from './fleet-view.js';
import type { FormationLoads, PlannedFormation } from './formation-plan.js';
import { fillDomains } from './formation-plan.js';
import type { PlannedStaging } from './staging-plan.js';
import { planCompletions } from './staging-plan.js';

/**
 * Part of the loads left over by the domains in use that evacuated ones may take, 0 to 1. A load lasts for
 * many seconds: if all of them were taken, the domains in use would have to wait after their next loss.
 */
const PART_OF_LOADS = 0.5;

/** Formations of the free hosts of evacuated failure domains. */
export function planIdleFormations(
  view: FleetView,
  loads: FormationLoads,
): readonly PlannedFormation[] {
  if (view.evacuated.length === 0) {
    return [];
  }
  const whole = wholeFleetOf(view);
  return fillDomains(whole, view.evacuated, valueOf(whole), loads);
}

/** Stagings that complete groups there; `loadsLeft` is what the domains in use leave over. */
export function planIdleStagings(view: FleetView, loadsLeft: number): readonly PlannedStaging[] {
  if (view.evacuated.length === 0) {
    return [];
  }
  const loads = Math.floor(loadsLeft * PART_OF_LOADS);
  return planCompletions(wholeFleetOf(view), view.evacuated, loads);
}
