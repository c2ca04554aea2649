/**
 * Measures how the work of a service is divided among its models, from the requests of this entry host and from the
 * sums that its peers report.
 */
import type { EngineProfile, Service } from '../configuration/serving-configuration.js';
import { declaresModel } from '../configuration/serving-configuration.js';
import { monotonicMs } from '../server/time.js';

/** Time in which the weight of a request falls to 1/e, in milliseconds. */
const DECAY_MS = 8_000;
/** Weight of the declared shares against the measured ones, in requests. */
const PRIOR_REQUESTS = 30;
/** Work of a generated token as a multiple of that of a prompt token. */
const OUTPUT_WEIGHT = 40;

/** A decayed sum, as of a time in monotonic milliseconds. */
type DecayedSum = { work: number; at: number };

type MeasuredService = Pick<Service, 'name' | 'engine'>;

/** Takes the place of a model in the key under which all requests of a service are counted. */
const ALL_REQUESTS = '';

/** Decayed sums of work by service and model, and of requests by service. */
export class DemandMeter {
  readonly #sums = new Map<string, DecayedSum>();
  readonly #peerSum: (key: string) => number;

  /** `peerSum` returns the sum of the peers for a key as this entry host reports its own sums. */
  constructor(peerSum: (key: string) => number = () => 0) {
    this.#peerSum = peerSum;
  }

  /**
   * Records a request; `tokenCounts`: the prompt's tokens and the most that are generated, separated by a comma. Models
   * that the service does not declare are left out: a sum for each name that callers send would use up the memory.
   */
  noteRequest(service: MeasuredService, model: string, tokenCounts: string | undefined): void {
    if (!declaresModel(service, model)) {
      return;
    }
    const now = monotonicMs();
    add(this.#sums, keyOf(service.name, model), workOf(tokenCounts), now);
    add(this.#sums, keyOf(service.name, ALL_REQUESTS), 1, now);
  }

  /** The sums of this entry host, by key. */
  ownSums(): [string, number][] {
    const now = monotonicMs();
    return [...this.#sums].map(([key, sum]) => [key, Math.round(currentSum(sum, now))]);
  }

  /** True once any entry host has had a request for the service, as far as the peers have reported. */
  hasRequests(service: string): boolean {
    return this.#sumOf(keyOf(service, ALL_REQUESTS)) > 0;
  }

  /** The declared profile of an engine, with its models' measured shares of the work. */
  profileOf(service: string, declared: EngineProfile | undefined): EngineProfile | undefined {
    return declared && { ...declared, models: this.withMeasuredShares(service, declared.models) };
  }

  /** The models with their shares of the work, 0 to 1: the declared ones, replaced gradually by the measured ones. */
  withMeasuredShares<T extends { readonly name: string; readonly workShare: number }>(
    service: string,
    models: readonly T[],
  ): readonly T[] {
    const work = models.map(model => this.#sumOf(keyOf(service, model.name)));
    const total = work.reduce((sum, value) => sum + value, 0);
    const requests = this.#sumOf(keyOf(service, ALL_REQUESTS));
    return models.map((model, index) => {
      const measuredShare = total > 0 ? (work[index] ?? 0) / total : model.workShare;
      const weightedSum = measuredShare * requests + model.workShare * PRIOR_REQUESTS;
      return { ...model, workShare: weightedSum / (requests + PRIOR_REQUESTS) };
    });
  }

  #sumOf(key: string): number {
    const own = this.#sums.get(key);
    return (own === undefined ? 0 : currentSum(own, monotonicMs())) + this.#peerSum(key);
  }
}

function keyOf(service: string, model: string): string {
  return `${service}/${model}`;
}

// Work of a request, in prompt tokens; 1 where the counts are missing or invalid.
function workOf(tokenCounts: string | undefined): number {
  const [prompt, output] = (tokenCounts ?? '').split(',').map(Number);
  const work = (prompt ?? 0) + OUTPUT_WEIGHT * (output ?? 0);
  return Number.isFinite(work) && work > 0 ? work : 1;
}

function add(sums: Map<string, DecayedSum>, key: string, amount: number, now: number): void {
  const previous = sums.get(key);
  const work = (previous === undefined ? 0 : currentSum(previous, now)) + amount;
  sums.set(key, { work, at: now });
}

// The sum, with the weight that its requests have left now.
function currentSum(sum: DecayedSum, now: number): number {
  return sum.work * Math.exp(-(now - sum.at) / DECAY_MS);
}
