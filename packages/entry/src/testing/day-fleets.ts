/** Deployments for days of the fleet model: a large and a small model. */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import { FleetModel } from './fleet-model.js';

/** A large and a small model; the large one has this part of the work, 0 to 1. */
export function dayProfile(largeSize: number, smallSize: number, largeShare = 0.4): EngineProfile {
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

/** A fleet of three failure domains with three fabric domains each. */
export type WideFleet = {
  readonly domainSize: number;
  readonly largeSize: number;
  readonly smallSize: number;
  readonly largeShare: number;
};

const WIDE_DOMAINS = 9;

/** Such a fleet; its hosts stay cold for 3 s after an evacuation. */
export function wideFleet(kind: WideFleet): FleetModel {
  const { domainSize, largeSize, smallSize, largeShare } = kind;
  return new FleetModel({
    domainSizes: Array.from({ length: WIDE_DOMAINS }, () => domainSize),
    domainsPerFailureDomain: 3,
    coldMs: 3_000,
    profile: dayProfile(largeSize, smallSize, largeShare),
  });
}
