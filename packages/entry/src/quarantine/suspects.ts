/** Holds the suspects of crashes, by their fingerprints and by the hosts that ended, within a limit. */
import type { CauseFingerprint, CauseKind } from './request-fingerprint.js';
import type { Suspect, SuspectCrash } from './suspect.js';
import { newSuspect } from './suspect.js';

/**
 * Maximum number of suspects of each kind; those with the most crashes are kept. A rack of 16 hosts with 24 runs each
 * adds 384 requests; 2,048 of them take 1 MB.
 */
const MAX_SUSPECTS: Readonly<Record<CauseKind, number>> = { request: 2_048, 'prompt-part': 1_024 };
/** Share of the limit that is left when it is enforced, so that suspects are not sorted for each report. */
const KEPT_SHARE = 7 / 8;

/** The suspects of one entry host. */
export class Suspects {
  readonly #byKind: Readonly<Record<CauseKind, Map<CauseFingerprint, Suspect>>> = {
    request: new Map(),
    'prompt-part': new Map(),
  };
  /** Suspects by the host incarnation that ended while it ran them. */
  readonly #byHost = new Map<string, Set<CauseFingerprint>>();
  readonly #onHostForgotten: (host: string) => void;

  /** `onHostForgotten` is called when no suspect has a crash of a host any more. */
  constructor(onHostForgotten: (host: string) => void) {
    this.#onHostForgotten = onHostForgotten;
  }

  /** All suspects. */
  get all(): readonly Suspect[] {
    return Object.values(this.#byKind).flatMap(suspects => [...suspects.values()]);
  }

  /** True if there are none. */
  get isEmpty(): boolean {
    return Object.values(this.#byKind).every(({ size }) => size === 0);
  }

  /** The suspect with a fingerprint; undefined if there is none. */
  get(fingerprint: CauseFingerprint): Suspect | undefined {
    return this.#byKind.request.get(fingerprint) ?? this.#byKind['prompt-part'].get(fingerprint);
  }

  /** The suspect with a fingerprint; created if there is none. */
  getOrCreate(fingerprint: CauseFingerprint, kind: CauseKind): Suspect {
    const suspects = this.#byKind[kind];
    let suspect = suspects.get(fingerprint);
    if (suspect === undefined) {
      suspect = newSuspect(fingerprint, kind);
      suspects.set(fingerprint, suspect);
    }
    return suspect;
  }

  /** Fingerprints of the suspects that the host ran when it ended. */
  at(host: string): ReadonlySet<CauseFingerprint> {
    return this.#byHost.get(host) ?? new Set();
  }

  /** Replaces the crashes of a suspect. */
  setCrashes(suspect: Suspect, crashes: SuspectCrash[]): void {
    const kept = new Set(crashes.map(({ host }) => host));
    const forgotten = suspect.crashes.filter(({ host }) => !kept.has(host));
    suspect.crashes = crashes;
    kept.forEach(host => {
      this.#add(host, suspect.fingerprint);
    });
    forgotten.forEach(({ host }) => {
      this.#remove(host, suspect.fingerprint);
    });
  }

  /** Forgets a suspect. */
  forget(suspect: Suspect): void {
    this.setCrashes(suspect, []);
    this.#byKind[suspect.kind].delete(suspect.fingerprint);
  }

  /** Returns the suspects of a kind that exceed its limit: those with the fewest and oldest crashes. */
  surplusOf(kind: CauseKind): readonly Suspect[] {
    const suspects = this.#byKind[kind];
    if (suspects.size <= MAX_SUSPECTS[kind]) {
      return [];
    }
    const weakest = [...suspects.values()]
      .filter(({ quarantine }) => quarantine === undefined)
      .sort((a, b) => a.crashes.length - b.crashes.length || lastAtOf(a) - lastAtOf(b));
    return weakest.slice(0, Math.max(0, suspects.size - MAX_SUSPECTS[kind] * KEPT_SHARE));
  }

  #add(host: string, fingerprint: CauseFingerprint): void {
    const fingerprints = this.#byHost.get(host) ?? new Set();
    this.#byHost.set(host, fingerprints.add(fingerprint));
  }

  #remove(host: string, fingerprint: CauseFingerprint): void {
    const fingerprints = this.#byHost.get(host);
    fingerprints?.delete(fingerprint);
    if (fingerprints?.size === 0) {
      this.#byHost.delete(host);
      this.#onHostForgotten(host);
    }
  }
}

/** Time of the suspect's last crash or completion, in monotonic milliseconds. */
export function lastAtOf({ crashes, clearedAt }: Suspect): number {
  return Math.max(clearedAt, crashes.at(-1)?.at ?? -Infinity);
}
