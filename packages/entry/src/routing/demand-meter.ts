/**
 * Measures how the work of a service is divided between its models, and how near each of them is to
 * its objectives, from the requests of this host and from what other entry hosts tell of theirs.
 */
import { monotonicMs } from '../server/time.js';

/** Time in which the weight of a request falls to a third, in milliseconds. */
const DECAY_MS = 8_000;
/** Weight that the declared shares have beside what was measured, in requests. */
const PRIOR_REQUESTS = 30;
/** Work of a generated token against one that is read. */
const OUTPUT_WEIGHT = 40;

/** First events from which the pressure of a model counts as known, as a decayed sum. */
const LEAST_FIRSTS = 40;
/** Part of an objective beyond which a first event is not told apart: it is late, of a lost group. */
const MOST_PART = 2;
/**
 * How fast requests become late as their usual first event nears the objective. With 3, a model at 0.75
 * of its objective beside one at 0.5 weighs 3.4 times as much; the time of such a model fell by about
 * 50 ms with each further group (played days of the users: 0.6 and 0.94 of the answers were in time).
 */
const PRESSURE_EXPONENT = 3;
/** Bounds of the pressure: a measurement may be of seconds in which many groups were lost. */
const LEAST_PRESSURE = 0.5;
const MOST_PRESSURE = 4;

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

  /** Notes a first event that came after this part of its objective. */
  noteFirst(service: string, model: string, part: number): void {
    const now = monotonicMs();
    const counted = Math.min(MOST_PART, part) * PART_SCALE;
    add(this.#sums, partsKey(service, model), counted, now);
    add(this.#sums, firstsKey(service, model), 1, now);
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

  /**
   * Models with their part of the work, 0 to 1, and their pressure; declared shares and a pressure of
   * 1 count until enough is measured.
   */
  shared<T extends { readonly name: string; readonly workShare: number }>(
    service: string,
    models: readonly T[],
  ): readonly (T & { readonly pressure: number })[] {
    const work = models.map(model => this.#sumOf(keyOf(service, model.name)));
    const total = work.reduce((sum, value) => sum + value, 0);
    const requests = this.#sumOf(keyOf(service, ALL_REQUESTS));
    return models.map((model, index) => {
      const measured = total > 0 ? (work[index] ?? 0) / total : model.workShare;
      const weighted = measured * requests + model.workShare * PRIOR_REQUESTS;
      const workShare = weighted / (requests + PRIOR_REQUESTS);
      return { ...model, workShare, pressure: this.#pressure(service, model.name, models) };
    });
  }

  // Against the mean over all first events of the service, so that it tells models apart and says
  // nothing of how busy all of them are.
  #pressure(service: string, model: string, all: readonly { readonly name: string }[]): number {
    const own = this.#sumOf(firstsKey(service, model));
    if (own < LEAST_FIRSTS) {
      return 1;
    }
    const firsts = all.reduce((sum, { name }) => sum + this.#sumOf(firstsKey(service, name)), 0);
    const parts = all.reduce((sum, { name }) => sum + this.#sumOf(partsKey(service, name)), 0);
    const ownPart = this.#sumOf(partsKey(service, model)) / own;
    const pressure = Math.pow(ownPart / (parts / firsts), PRESSURE_EXPONENT);
    return Math.min(MOST_PRESSURE, Math.max(LEAST_PRESSURE, pressure));
  }

  #sumOf(key: string): number {
    const own = this.#sums.get(key);
    return (own === undefined ? 0 : decayed(own, monotonicMs())) + this.#ofOthers(key);
  }
}

function keyOf(service: string, model: string): string {
  return `${service}/${model}`;
}

/** Sums are told as whole numbers, so that parts of objectives are counted in hundredths. */
const PART_SCALE = 100;

function firstsKey(service: string, model: string): string {
  return `${keyOf(service, model)}/firsts`;
}

function partsKey(service: string, model: string): string {
  return `${keyOf(service, model)}/parts`;
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
