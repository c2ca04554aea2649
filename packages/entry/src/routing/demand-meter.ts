/**
 * Measures how the work of a service is divided between its models, from the requests of this host
 * and from what other entry hosts tell of theirs.
 */
import type { EngineProfile } from '../configuration/serving-configuration.js';
import { monotonicMs } from '../server/time.js';

/** Time in which the weight of a request falls to a third, in milliseconds. */
const DECAY_MS = 8_000;
/** Weight that the declared shares have beside what was measured, in requests. */
const PRIOR_REQUESTS = 30;
/** Work of a generated token against one that is read. */
const OUTPUT_WEIGHT = 40;

type Measured = { work: number; at: number };

/** Key of the number of requests, beside those of models. */
const ALL_REQUESTS = '';

/** Decayed sums of work by service and model. */
export class DemandMeter {
  readonly #sums = new Map<string, Measured>();
  readonly #ofOthers: (key: string) => number;

  /** `ofOthers` gives what other entry hosts have of a key of `counts`. */
  constructor(ofOthers: (key: string) => number = () => 0) {
    this.#ofOthers = ofOthers;
  }

  /** Notes a request; `tokenCounts` are those of the prompt and the most it generates. */
  note(service: string, model: string, tokenCounts: string | undefined): void {
    const now = monotonicMs();
    add(this.#sums, keyOf(service, model), workOf(tokenCounts), now);
    add(this.#sums, keyOf(service, ALL_REQUESTS), 1, now);
  }

  /** This host's sums by key. */
  counts(): [string, number][] {
    const now = monotonicMs();
    return [...this.#sums].map(([key, measured]) => [key, Math.round(decayed(measured, now))]);
  }

  /** True once any entry host has had a request for the service, as far as others have told. */
  hasRequests(service: string): boolean {
    return this.#sumOf(keyOf(service, ALL_REQUESTS)) > 0;
  }

  /** The declared profile of an engine, with the parts of its models as the work comes. */
  profileOf(service: string, declared: EngineProfile | undefined): EngineProfile | undefined {
    return declared && { ...declared, models: this.shared(service, declared.models) };
  }

  /** Models with their part of the work, 0 to 1; declared shares count until enough is measured. */
  shared<T extends { readonly name: string; readonly workShare: number }>(
    service: string,
    models: readonly T[],
  ): readonly T[] {
    const work = models.map(model => this.#sumOf(keyOf(service, model.name)));
    const total = work.reduce((sum, value) => sum + value, 0);
    const requests = this.#sumOf(keyOf(service, ALL_REQUESTS));
    return models.map((model, index) => {
      const measured = total > 0 ? (work[index] ?? 0) / total : model.workShare;
      const weighted = measured * requests + model.workShare * PRIOR_REQUESTS;
      return { ...model, workShare: weighted / (requests + PRIOR_REQUESTS) };
    });
  }

  #sumOf(key: string): number {
    const own = this.#sums.get(key);
    return (own === undefined ? 0 : decayed(own, monotonicMs())) + this.#ofOthers(key);
  }
}

function keyOf(service: string, model: string): string {
  return `${service}/${model}`;
}

function workOf(tokenCounts: string | undefined): number {
  const [prompt, output] = (tokenCounts ?? '').split(',').map(Number);
  const work = (prompt ?? 0) + OUTPUT_WEIGHT * (output ?? 0);
  return Number.isFinite(work) && work > 0 ? work : 1;
}

function add(sums: Map<string, Measured>, key: string, amount: number, now: number): void {
  const before = sums.get(key);
  const work = (before === undefined ? 0 : decayed(before, now)) + amount;
  sums.set(key, { work, at: now });
}

function decayed(measured: Measured, now: number): number {
  return measured.work * Math.exp(-(now - measured.at) / DECAY_MS);
}
