/** Running requests at the other gateways of the failure domain, as of the last poll. */
import type { WorkspaceUsage } from '@hingescale/link';

/** Number of running requests at the other gateways, by workspace and model. */
export class PeerUsage {
  #running = new Map<string, number>();
  #totals = new Map<string, number>();

  /** Replaces all counts with those of a new report. */
  replaceAll(usage: readonly WorkspaceUsage[]): void {
    this.#running = new Map();
    this.#totals = new Map();
    for (const { workspace, model, running } of usage) {
      this.#running.set(`${workspace}\0${model}`, running);
      this.#totals.set(model, (this.#totals.get(model) ?? 0) + running);
    }
  }

  /** Number of running requests of a workspace for a model. */
  running(workspace: string, model: string): number {
    return this.#running.get(`${workspace}\0${model}`) ?? 0;
  }

  /** Number of running requests of all workspaces for a model. */
  total(model: string): number {
    return this.#totals.get(model) ?? 0;
  }
}
