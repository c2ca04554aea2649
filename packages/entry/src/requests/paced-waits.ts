/** The order of requests that wait for the same paced hosts. */
import type { TargetQuery } from '../routing/target-chooser.js';

/** The place of one request in the order of those that wait for the same paced hosts. */
export type PacedPlace = {
  /** True for the one that has waited longest. */
  readonly isFirst: () => boolean;
  readonly leave: () => void;
};

/** Waiting requests in the order in which they came, by service, model and home regions. */
export class PacedWaits {
  readonly #waiting = new Map<string, PacedPlace[]>();

  /** Requests that wait for the same paced hosts. */
  count(query: TargetQuery): number {
    return this.#waiting.get(keyOf(query))?.length ?? 0;
  }

  /** One more waits, behind all others, until it leaves. */
  enter(query: TargetQuery): PacedPlace {
    const key = keyOf(query);
    const places = this.#waiting.get(key) ?? [];
    this.#waiting.set(key, places);
    const place: PacedPlace = {
      isFirst: () => places[0] === place,
      leave: () => {
        places.splice(places.indexOf(place), 1);
        if (places.length === 0) {
          this.#waiting.delete(key);
        }
      },
    };
    places.push(place);
    return place;
  }
}

// Callers choose the model's name freely where the service has no engine.
function keyOf({ service, model, homeRegions }: TargetQuery): string {
  const served = service.engine === undefined ? '' : (model ?? '');
  return `${service.name}/${served}/${JSON.stringify(homeRegions)}`;
}
