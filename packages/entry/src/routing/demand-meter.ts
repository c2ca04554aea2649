/** Measures how the work of a service is divided between its models, from own requests. */
import { monotonicMs } from '../server/time.js';

/** Time in which the weight of a request falls to a third, in milliseconds. */
const DECAY_MS = 8_000;
/** Weight that the declared shares have beside what was measured, in requests. */
const PRIOR_REQUESTS = 12;
/** Work of a generated token against one that is read. */
const OUTPUT_WEIGHT = 40;

type Measured = { work: number; at: number };

/** Decayed sums of work by service and model. */
export class DemandMeter {
  readonly #work = new Map<string, Map<string, Measured>>();
  readonly #requests = new Map<string, Measured>();

  /** Notes a request; `tokenCounts` are those of the prompt and the most it generates. */
  note(service: string, model: string, tokenCounts: string | undefined): void {
    const now = monotonicMs();
    const models = this.#work.get(service) ?? new Map<string, Measured>();
    this.#work.set(service, models);
    add(models, model, workOf(tokenCounts), now);
    add(this.#requests, service, 1, now);
  }

  /** Part of the work that a model has, 0 to 1; `declared` counts until enough was measured. */
  shareOf(service: string, model: string, declared: number): number {
    const now = monotonicMs();
    const models = this.#work.get(service);
    if (models === undefined) {
      return declared;
    }
    let total = 0;
    for (const measured of models.values()) {
      total += decayed(measured, now);
    }
    const own = models.get(model);
    const measuredShare = total > 0 && own !== undefined ? decayed(own, now) / total : 0;
    const seen = this.#requests.get(service);
    const requests = seen === undefined ? 0 : decayed(seen, now);
    return (measuredShare * requests + declared * PRIOR_REQUESTS) / (requests + PRIOR_REQUESTS);
  }
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
