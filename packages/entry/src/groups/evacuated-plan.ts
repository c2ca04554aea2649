/**
 * Plans what the hosts of evacuated failure domains do meanwhile. Pure.
 *
 * Their groups stay formed and serve at once when the domain is taken back. A group that breaks there is
 * formed anew, for the layout that all domains together will need; nothing there is dissolved. Loads
 * go to the domains in use first.
 */
import type { FleetView } from './fleet-view.js';
import { valueOf, wholeFleetOf } from './fleet-view.js';
import type { FormationLoads, PlannedFormation } from './formation-plan.js';
import { fillDomains } from './formation-plan.js';
import type { PlannedStaging } from './staging-plan.js';
import { planCompletions } from './staging-plan.js';

/**
 * Part of the loads which the domains in use leave over, 0 to 1. A load takes 12 to 16 s on the users'
 * deployments, so that all of them would keep the domains in use waiting after their next loss.
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
