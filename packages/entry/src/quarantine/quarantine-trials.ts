/**
 * Lets a quarantined request run occasionally, like a half-open circuit breaker. A request that was quarantined
 * wrongly, or that crashed an engine that has since been replaced, is served again without an operator.
 */
import type { Log } from '../server/log.js';
import { sleep } from '../server/time.js';
import type { ObjectStore } from '../store/object-store.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import type { QuarantineEntries } from './quarantine-entries.js';
import type { QuarantineEntry } from './quarantine-entry.js';
import { nextTrialAt, storedValueOf } from './quarantine-entry.js';
import type { CauseFingerprint } from './request-fingerprint.js';

/** What {@link QuarantineTrials} works with. */
export type QuarantineTrialsOptions = {
  readonly entries: QuarantineEntries;
  readonly store: ObjectStore;
  readonly log: Log;
};

/** Attempts to remove a request from the store after a successful trial, and the pause between them. */
const REMOVAL_ATTEMPTS = 20;
const REMOVAL_PAUSE_MS = 1_000;

/** Claims trials, one at a time among all entry hosts, by a conditional update of the request's object. */
export class QuarantineTrials {
  readonly #options: QuarantineTrialsOptions;
  readonly #claiming = new Set<CauseFingerprint>();

  constructor(options: QuarantineTrialsOptions) {
    this.#options = options;
  }

  /**
   * Claims the next trial of each entry that applies to a request. Resolves to true when this entry host may send it
   * once, to one host.
   */
  async claimAll(applying: readonly QuarantineEntry[]): Promise<boolean> {
    const now = Date.now();
    if (applying.some(entry => now < nextTrialAt(entry))) {
      return false;
    }
    for (const { fingerprint } of applying) {
      if (!(await this.claim(fingerprint))) {
        return false;
      }
    }
    return true;
  }

  /** Claims the next trial of one entry. */
  async claim(fingerprint: CauseFingerprint): Promise<boolean> {
    const entry = this.#options.entries.get(fingerprint);
    const isDue = entry !== undefined && Date.now() >= nextTrialAt(entry);
    if (!isDue || this.#claiming.has(fingerprint)) {
      return false;
    }
    this.#claiming.add(fingerprint);
    try {
      return await this.#claimInStore(entry);
    } finally {
      this.#claiming.delete(fingerprint);
    }
  }

  /** Removes a request that a host has completed from the store, so that it leaves quarantine everywhere. */
  async remove({ fingerprint, revision }: QuarantineEntry): Promise<void> {
    const { store, log } = this.#options;
    for (let attempt = 0; attempt < REMOVAL_ATTEMPTS && revision !== undefined; attempt++) {
      try {
        await store.remove(OBJECT_KINDS.quarantine, fingerprint, revision);
        return;
      } catch (error) {
        log.warn('quarantined request not removed', { fingerprint, cause: String(error) });
        await sleep(REMOVAL_PAUSE_MS);
      }
    }
  }

  async #claimInStore(entry: QuarantineEntry): Promise<boolean> {
    const { entries, store, log } = this.#options;
    const { fingerprint, revision, trials } = entry;
    if (revision === undefined) {
      return false;
    }
    const claimed = { ...entry, trials: trials + 1, lastTrialAt: Date.now() };
    try {
      const value = storedValueOf(claimed);
      const answer = await store.replace(OBJECT_KINDS.quarantine, fingerprint, value, revision);
      if (answer.object !== undefined) {
        entries.noteWritten(answer.object);
      }
      const isClaimed = answer.kind === 'written';
      log.info('trial of a quarantined request', {
        fingerprint,
        isClaimed,
        trials: claimed.trials,
      });
      return isClaimed;
    } catch (error) {
      log.warn('no trial of a quarantined request', { fingerprint, cause: String(error) });
      return false;
    }
  }
}
