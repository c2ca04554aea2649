/**
 * Values the groups of a service: what one more or one less is worth. Pure.
 *
 * The cost of a model rises with the work that each of its groups has to carry. It rises faster than
 * in proportion, because a busy group makes all of its requests late. A failure domain that is cut
 * off has to serve its callers by itself, so each one is valued on its own as well.
 */
import type { GroupModel } from '../configuration/serving-configuration.js';

/**
 * How fast the cost rises with the work per group. The mean number of requests that wait in a queue is
 * p^2 / (1 - p) at a load p (M/M/1), which grows there as the power 2 + p / (1 - p) of the load: 4 at two
 * thirds, from where on answers miss their objectives. With a lower exponent large groups get more work each
 * than small ones: with 2, a group of eight hosts 1.6 times that of a group of two (with 4, 1.3 times).
 */
const COST_EXPONENT = 4;
/** Cost of a model without any group; costs of served models stay well below 1. */
export const UNSERVED_COST = 10;
/** Groups added to each count, so that few groups have a finite cost. */
const GROUP_OFFSET = 0.25;
/** The same within one failure domain, where the others help most of the time. */
const DOMAIN_GROUP_OFFSET = 1;
/**
 * Weight of the failure domains' own costs: the loss of one is rare against ordinary load. With a larger
 * weight, or a smaller offset, groups are dissolved only to balance the failure domains.
 */
const FAILURE_DOMAIN_WEIGHT = 0.2;
/** Least part of the work that is assumed of a model, 0 to 1: demand may come back. */
const LEAST_WORK = 0.02;

/** Numbers of groups by model and failure domain, and what they are worth. */
export class CapacityValue {
  readonly #work = new Map<string, number>();
  readonly #counts = new Map<string, number>();
  readonly #failureDomains: number;

  /** `failureDomains` is the number of failure domains that have hosts. */
  constructor(models: readonly GroupModel[], failureDomains: number) {
    this.#failureDomains = Math.max(1, failureDomains);
    const total = models.reduce((sum, model) => sum + workOf(model), 0);
    for (const model of models) {
      const part = total > 0 ? workOf(model) / total : 1 / models.length;
      this.#work.set(model.name, Math.max(LEAST_WORK, part));
    }
  }

  /** Groups of a model, in all failure domains. */
  count(model: string): number {
    return this.#counts.get(keyOf(model, '')) ?? 0;
  }

  /** Adds groups of a model; a negative number takes them away. */
  add(model: string, failureDomain: string, groups: number): void {
    for (const key of [keyOf(model, ''), keyOf(model, failureDomain)]) {
      this.#counts.set(key, (this.#counts.get(key) ?? 0) + groups);
    }
  }

  /** By how much one more group lowers the cost. */
  gain(model: string, failureDomain: string): number {
    return this.#difference(model, failureDomain, 0);
  }

  /** By how much one group less raises the cost. */
  loss(model: string, failureDomain: string): number {
    return this.#difference(model, failureDomain, -1);
  }

  /** The cost of all models. */
  total(failureDomains: readonly string[]): number {
    let sum = 0;
    for (const model of this.#work.keys()) {
      sum += this.#cost(model, this.count(model));
      for (const failureDomain of failureDomains) {
        sum += this.#domainCost(model, this.#countIn(model, failureDomain));
      }
    }
    return sum;
  }

  #difference(model: string, failureDomain: string, offset: number): number {
    const all = this.count(model) + offset;
    const own = this.#countIn(model, failureDomain) + offset;
    const overall = this.#cost(model, all) - this.#cost(model, all + 1);
    return overall + this.#domainCost(model, own) - this.#domainCost(model, own + 1);
  }

  #cost(model: string, groups: number): number {
    const work = this.#work.get(model) ?? LEAST_WORK;
    if (groups <= 0) {
      return UNSERVED_COST;
    }
    return work * Math.pow(work / (groups + GROUP_OFFSET), COST_EXPONENT);
  }

  #domainCost(model: string, groups: number): number {
    if (this.#failureDomains === 1) {
      return 0;
    }
    const work = (this.#work.get(model) ?? LEAST_WORK) / this.#failureDomains;
    const perGroup = work / (Math.max(0, groups) + DOMAIN_GROUP_OFFSET);
    return FAILURE_DOMAIN_WEIGHT * work * Math.pow(perGroup, COST_EXPONENT);
  }

  #countIn(model: string, failureDomain: string): number {
    return this.#counts.get(keyOf(model, failureDomain)) ?? 0;
  }
}

// Time of the engines that the model's requests take.
function workOf(model: GroupModel): number {
  return model.workShare * model.pace;
}

function keyOf(model: string, failureDomain: string): string {
  return `${model}/${failureDomain}`;
}
