/** The order of requests that wait for the same cold hosts. */
import type { TargetQuery } from '../routing/target-chooser.js';

/** The place of one request in the order of those that wait for the same cold hosts. */
export type ColdPlace = {
  /** True for the one that has waited longest. */
  readonly isFirst: () => boolean;
  readonly leave: () => void;
};

/** Waiting requests in the order in which they came, by service, model and home regions. */
export class ColdWaits {
  readonly #waiting = new Map<string, ColdPlace[]>();

  /** Requests that wait for the same cold hosts. */
  count(query: TargetQuery): number {
    return this.#waiting.get(keyOf(query))?.length ?? 0;
  }

  /** One more waits, behind all others, until it leaves. */
  enter(query: TargetQuery): ColdPlace {
    const key = keyOf(query);
    const places = this.#waiting.get(key) ?? [];
    this.#waiting.set(key, places);
    const place: ColdPlace = {
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
