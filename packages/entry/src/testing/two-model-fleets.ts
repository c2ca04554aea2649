/** Deployments of a large and a small model for simulations with the fleet model. */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import { FleetModel } from './fleet-model.js';

/** Creates a profile of a large and a small model; `largeShare` is the large model's share of the work, 0 to 1. */
export function twoModelProfile(
  largeSize: number,
  smallSize: number,
  largeShare = 0.4,
): EngineProfile {
  const large = { name: 'large', size: largeSize, pace: 1, workShare: largeShare };
  const small = { name: 'small', size: smallSize, pace: 0.6, workShare: 1 - largeShare };
  return {
    models: [
      { ...large, loadMs: 16_000, warmMs: 1_600 },
      { ...small, loadMs: 12_000, warmMs: 1_100 },
    ],
    slots: 18,
    loadsPerSecond: 4,
    loadsAtOnce: 6,
    stagedModelsKept: 1,
  };
}

/** Sizes of a fleet of three failure domains with three fabric domains each. */
export type NineDomainFleetSizes = {
  /** Hosts in each fabric domain. */
  readonly domainSize: number;
  /** Hosts in a group of the large model. */
  readonly largeSize: number;
  /** Hosts in a group of the small model. */
  readonly smallSize: number;
  /** Share of the work that the large model has, 0 to 1. */
  readonly largeShare: number;
};

const FABRIC_DOMAINS = 9;

/** Creates a fleet of these sizes, whose hosts stay cold for 3 s after an evacuation. */
export function nineDomainFleet(sizes: NineDomainFleetSizes): FleetModel {
  const { domainSize, largeSize, smallSize, largeShare } = sizes;
  return new FleetModel({
    domainSizes: Array.from({ length: FABRIC_DOMAINS }, () => domainSize),
    domainsPerFailureDomain: 3,
    coldMs: 3_000,
    profile: twoModelProfile(largeSize, smallSize, largeShare),
  });
}
