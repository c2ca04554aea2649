/** Finds which suspect is the cause of the crashes, by the rules that `crash-evidence.ts` lists. */
import type { CrashScore } from './crash-score.js';
import { crashScoreOf } from './crash-score.js';
import type { CauseFingerprint } from './request-fingerprint.js';
import type { Suspect, SuspectCrash } from './suspect.js';
import { isWider, narrowerPartsIn } from './suspect.js';
import type { Suspects } from './suspects.js';

/**
 * Score at which a suspect is quarantined. Harmless requests may reach two, since the route lets each run twice.
 */
export const QUARANTINE_THRESHOLD = 3;
/**
 * Score at which a suspect is quarantined even if another one may be the cause, and a part even if requests that contain
 * it have been completed before.
 */
const CERTAIN_SCORE = 5;
/** Number of crashes that two suspects must share for either to be a possible cause of the other's crashes. */
const MIN_SHARED_CRASHES = 2;
/** Minimum number of crashes with which a part explains those of a wider one, if it has half of them. */
const MIN_EXPLAINING_CRASHES = 2;
/** Weight of a crash that a narrower cause explains. */
const EXPLAINED_WEIGHT = 0.5;
/** Weight of a crash in which hosts had begun to answer all requests that contain the part. */
const BEGUN_WEIGHT = 0.25;

/**
 * A score, and the number of runs lost in its crashes, each request counted once in a crash; of a part, those that the
 * hosts had not begun to answer.
 */
type Score = CrashScore<SuspectCrash> & { readonly lostRuns: number };
type Candidate = Score & { readonly suspect: Suspect };

/** Compares the suspects, and keeps which crashes are attributed to a cause already. */
export class CauseFinder {
  readonly #suspects: Suspects;
  /** The quarantined causes to which the end of a host is attributed, by the host's incarnation. */
  readonly #attributed = new Map<string, Set<CauseFingerprint>>();

  constructor(suspects: Suspects) {
    this.#suspects = suspects;
  }

  /** Attributes the ends of hosts to a cause that is quarantined. */
  attribute(hosts: readonly string[], cause: CauseFingerprint): void {
    hosts.forEach(host => {
      const causes = this.#attributed.get(host) ?? new Set();
      this.#attributed.set(host, causes.add(cause));
    });
  }

  /** Forgets the causes of a host's end. */
  forgetHost(host: string): void {
    this.#attributed.delete(host);
  }

  /**
   * Returns the suspect with the highest score among those that are to be quarantined; of several, the one with the
   * fewest lost runs, so that all entry hosts name the same one. Crashes after `settledAt` (monotonic milliseconds) do
   * not count yet.
   */
  strongestOf(suspects: readonly Suspect[], settledAt: number): Suspect | undefined {
    const causes = suspects
      .map(suspect => ({ suspect, ...this.#scoreOf(suspect, settledAt) }))
      .filter(candidate => this.#isCause(candidate, settledAt));
    causes.sort((a, b) => b.score - a.score || a.lostRuns - b.lostRuns);
    return causes[0]?.suspect;
  }

  #isCause(candidate: Candidate, settledAt: number): boolean {
    const { suspect, score, crashes } = candidate;
    if (suspect.quarantine !== undefined || score < QUARANTINE_THRESHOLD) {
      return false;
    }
    const isUnexplained = crashes.some(crash => this.#explainedWeight(suspect, crash) === 1);
    if (!isUnexplained) {
      return false;
    }
    const others = this.#otherCauses(candidate, settledAt);
    if (score >= CERTAIN_SCORE) {
      return !others.some(other => isWider(suspect, other));
    }
    const wasCompleted = suspect.kind === 'prompt-part' && suspect.clearedAt > -Infinity;
    return !wasCompleted && others.length === 0;
  }

  // Crashes after `settledAt` are left out: other entry hosts may still report other requests for them.
  #scoreOf(suspect: Suspect, settledAt: number): Score {
    const settled = suspect.crashes.filter(({ at }) => at <= settledAt);
    const counted = crashScoreOf(settled, crash => this.#weightOf(suspect, crash));
    const isPart = suspect.kind === 'prompt-part';
    const lostRuns = isPart ? lostRunsOf(counted.crashes) : counted.crashes.length;
    return { ...counted, lostRuns };
  }

  // A request that the host had begun to answer is a less likely cause than one whose prompt it still processed.
  #weightOf(suspect: Suspect, crash: SuspectCrash): number {
    const hasBegun = suspect.kind === 'prompt-part' && crash.requests.every(({ begun }) => begun);
    return this.#explainedWeight(suspect, crash) * (hasBegun ? BEGUN_WEIGHT : 1);
  }

  #explainedWeight(suspect: Suspect, crash: SuspectCrash): number {
    const attributed = [...(this.#attributed.get(crash.host) ?? [])];
    const isPart = suspect.kind === 'prompt-part';
    if (attributed.length > 0) {
      const causes = attributed.flatMap(cause => this.#suspects.get(cause) ?? []);
      return isPart && causes.some(cause => isWider(suspect, cause)) ? EXPLAINED_WEIGHT : 0;
    }
    const minCrashes = Math.max(MIN_EXPLAINING_CRASHES, suspect.crashes.length / 2);
    const isExplained =
      isPart &&
      narrowerPartsIn(crash, suspect.fingerprint)
        .flatMap(part => this.#suspects.get(part) ?? [])
        .some(part => part.crashes.length >= minCrashes && isWider(suspect, part));
    return isExplained ? EXPLAINED_WEIGHT : 1;
  }

  // Other suspects with at least the same score that share crashes, so that they may be the cause of these. A wider one
  // does not count.
  #otherCauses(candidate: Candidate, settledAt: number): readonly Suspect[] {
    const { suspect, score, hosts } = candidate;
    const fingerprints = new Set(hosts.flatMap(host => [...this.#suspects.at(host)]));
    fingerprints.delete(suspect.fingerprint);
    return [...fingerprints]
      .flatMap(fingerprint => this.#suspects.get(fingerprint) ?? [])
      .filter(other => {
        if (other.quarantine !== undefined || isWider(other, suspect)) {
          return false;
        }
        const otherScore = this.#scoreOf(other, settledAt);
        const shared = otherScore.hosts.filter(host => hosts.includes(host)).length;
        return otherScore.score >= score && shared >= MIN_SHARED_CRASHES;
      });
  }
}

// Runs lost in the crashes that the hosts had not begun to answer.
function lostRunsOf(crashes: readonly SuspectCrash[]): number {
  return crashes.flatMap(({ requests }) => requests.filter(({ begun }) => !begun)).length;
}
