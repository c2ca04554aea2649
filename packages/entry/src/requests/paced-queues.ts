/** Queues of requests that wait for the same paced (rate-limited or cold) hosts. */
import type { TargetQuery } from '../routing/target-chooser.js';

/** The entry of one request in the queue for the same paced hosts. */
export type PacedQueueEntry = {
  /** True if no other request in the queue has waited longer. */
  readonly isFirst: () => boolean;
  /** Removes the request from the queue. */
  readonly leave: () => void;
};

/** Queues of waiting requests in the order of their arrival, by service, model and home regions. */
export class PacedQueues {
  readonly #queues = new Map<string, PacedQueueEntry[]>();

  /** Number of requests that wait for the same paced hosts. */
  count(query: TargetQuery): number {
    return this.#queues.get(queueKeyOf(query))?.length ?? 0;
  }

  /** Appends a request to the queue; it stays there until it leaves. */
  enter(query: TargetQuery): PacedQueueEntry {
    const key = queueKeyOf(query);
    const queue = this.#queues.get(key) ?? [];
    this.#queues.set(key, queue);
    const entry: PacedQueueEntry = {
      isFirst: () => queue[0] === entry,
      leave: () => {
        queue.splice(queue.indexOf(entry), 1);
        if (queue.length === 0) {
          this.#queues.delete(key);
        }
      },
    };
    queue.push(entry);
    return entry;
  }
}

// The model counts only for services with an engine: elsewhere callers may send any name.
function queueKeyOf({ service, model, homeRegions }: TargetQuery): string {
  const servedModel = service.engine === undefined ? '' : (model ?? '');
  return `${service.name}/${servedModel}/${JSON.stringify(homeRegions)}`;
}
