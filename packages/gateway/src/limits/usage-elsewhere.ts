/** What the other gateways of the failure domain run, as of the last poll. */
import type { WorkspaceUsage } from '@hingescale/link';

/** Running requests elsewhere, by workspace and model. */
export class UsageElsewhere {
  #running = new Map<string, number>();
  #totals = new Map<string, number>();

  /** Replaces everything by a fresh report. */
  take(usage: readonly WorkspaceUsage[]): void {
    this.#running = new Map();
    this.#totals = new Map();
    for (const { workspace, model, running } of usage) {
      this.#running.set(`${workspace}\0${model}`, running);
      this.#totals.set(model, (this.#totals.get(model) ?? 0) + running);
    }
  }

  /** Running requests of a workspace on a model. */
  running(workspace: string, model: string): number {
    return this.#running.get(`${workspace}\0${model}`) ?? 0;
  }

  /** Running requests on a model. */
  total(model: string): number {
    return this.#totals.get(model) ?? 0;
  }
}
