/**
 * Computes what one replica group more or less of each model of a service is worth. Performs no I/O.
 *
 * The cost of a model grows with the work per group. It grows more than linearly, because an overloaded group
 * delays all of its requests. A failure domain that is cut off has to serve its callers alone, so each failure
 * domain adds a cost of its own.
 */
import type { GroupModel } from '../configuration/serving-configuration.js';

/**
 * Exponent of the cost over the work per group. In an M/M/1 queue at utilization p, p^2 / (1 - p) requests wait
 * on average, which grows locally as the power 2 + p / (1 - p) of p: 4 at two thirds, above which answers miss
 * their objectives. A lower exponent gives large groups more work each than small ones: with 2, a group of eight
 * hosts gets 1.6 times the work of a group of two; with 4, 1.3 times.
 */
const COST_EXPONENT = 4;
/** Cost of a model without any group; the costs of served models stay well below 1. */
export const UNSERVED_COST = 10;
/** Added to the number of groups in the cost of a model, which bounds the cost where there are few groups. */
const GROUP_OFFSET = 0.25;
/** Offset for the count within one failure domain; larger, because other failure domains usually help out. */
const DOMAIN_GROUP_OFFSET = 1;
/**
 * Weight of the failure domains' own costs, 0 to 1: the loss of a failure domain is rare compared with ordinary
 * load. With a larger weight, or a smaller offset, groups are dissolved merely to balance the failure domains.
 */
const FAILURE_DOMAIN_WEIGHT = 0.2;
/** Lower bound of the share of the work assumed for a model, 0 to 1, since demand may return. */
const MIN_WORK_SHARE = 0.02;

/** Counts groups by model and failure domain and computes their cost. */
export class CapacityValue {
  readonly #workShares = new Map<string, number>();
  readonly #counts = new Map<string, number>();
  readonly #failureDomains: number;

  /** `failureDomains` is the number of failure domains with hosts. */
  constructor(models: readonly GroupModel[], failureDomains: number) {
    this.#failureDomains = Math.max(1, failureDomains);
    const totalCost = models.reduce((sum, model) => sum + engineTimeOf(model), 0);
    for (const model of models) {
      const share = totalCost > 0 ? engineTimeOf(model) / totalCost : 1 / models.length;
      this.#workShares.set(model.name, Math.max(MIN_WORK_SHARE, share));
    }
  }

  /** The number of groups of a model in all failure domains. */
  count(model: string): number {
    return this.#counts.get(keyOf(model, '')) ?? 0;
  }

  /** Adds groups of a model; a negative number removes them. */
  add(model: string, failureDomain: string, groups: number): void {
    for (const key of [keyOf(model, ''), keyOf(model, failureDomain)]) {
      this.#counts.set(key, (this.#counts.get(key) ?? 0) + groups);
    }
  }

  /** The amount by which one more group lowers the cost. */
  gain(model: string, failureDomain: string): number {
    return this.#costDifference(model, failureDomain, 0);
  }

  /** The amount by which one group less raises the cost. */
  loss(model: string, failureDomain: string): number {
    return this.#costDifference(model, failureDomain, -1);
  }

  /** The cost of all models, overall and within each of these failure domains. */
  total(failureDomains: readonly string[]): number {
    let sum = 0;
    for (const model of this.#workShares.keys()) {
      sum += this.#cost(model, this.count(model));
      for (const failureDomain of failureDomains) {
        sum += this.#domainCost(model, this.#countIn(model, failureDomain));
      }
    }
    return sum;
  }

  #costDifference(model: string, failureDomain: string, offset: number): number {
    const all = this.count(model) + offset;
    const local = this.#countIn(model, failureDomain) + offset;
    const overall = this.#cost(model, all) - this.#cost(model, all + 1);
    return overall + this.#domainCost(model, local) - this.#domainCost(model, local + 1);
  }

  #cost(model: string, groups: number): number {
    const work = this.#workShares.get(model) ?? MIN_WORK_SHARE;
    if (groups <= 0) {
      return UNSERVED_COST;
    }
    return work * Math.pow(work / (groups + GROUP_OFFSET), COST_EXPONENT);
  }

  #domainCost(model: string, groups: number): number {
    if (this.#failureDomains === 1) {
      return 0;
    }
    const work = (this.#workShares.get(model) ?? MIN_WORK_SHARE) / this.#failureDomains;
    const perGroup = work / (Math.max(0, groups) + DOMAIN_GROUP_OFFSET);
    return FAILURE_DOMAIN_WEIGHT * work * Math.pow(perGroup, COST_EXPONENT);
  }

  #countIn(model: string, failureDomain: string): number {
    return this.#counts.get(keyOf(model, failureDomain)) ?? 0;
  }
}

// The engine time that the model's requests take, as a relative weight.
function engineTimeOf(model: GroupModel): number {
  return model.workShare * model.pace;
}

function keyOf(model: string, failureDomain: string): string {
  return `${model}/${failureDomain}`;
}
