/**
 * Reads messages of peers, whatever they hold: a peer may be of another version, and whoever reaches the port may
 * send anything. What is wrong as a whole is refused; of lists, entries that can not be read are left out.
 */
import type { HostIncarnation } from '../hosts/host-entry.js';
import type { RunReport } from '../quarantine/run-report.js';
import type { LimitReport } from '../rate-limits/limit-report.js';
import type { OutlierReport } from '../routing/outlier-reports.js';
import type { KindAnswer } from '../store/kind-reader.js';
import type { ObjectChange, StoredObject } from '../store/object-store.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import type {
  Counts,
  ReadReply,
  ReadRequest,
  ReportsReply,
  SuspectRequest,
  Tally,
} from './peer-messages.js';

/** A message that is not what its type says. */
export class PeerMessageError extends Error {
  readonly reason = 'unreadable';

  constructor(message: string) {
    super(`message of a peer can not be read: ${message}`);
    this.name = 'PeerMessageError';
  }
}

type Fields = Readonly<Record<string, unknown>>;

const KINDS: readonly unknown[] = Object.values(OBJECT_KINDS);
/** Passes of a suspicion that are believed; more than any tree of entry hosts is deep. */
const MOST_HOPS = 8;

/** Reads a question for a kind. */
export function readRequestOf(value: unknown): ReadRequest {
  const fields = fieldsOf(value, 'question');
  const { kind, revision, waitMs, view, tally, outliersHeard } = fields;
  const isKnown = KINDS.includes(kind) && (view === 'full' || view === 'routing');
  if (!isKnown || !isNumber(waitMs) || (revision !== undefined && !isNumber(revision))) {
    throw new PeerMessageError('question');
  }
  return {
    ...(fields as ReadRequest),
    tally: tally === undefined ? undefined : readTally(tally),
    outliersHeard: isNumber(outliersHeard) ? outliersHeard : 0,
  };
}

/** Reads the answer to a question for a kind. */
export function readReplyOf(value: unknown): ReadReply {
  const fields = fieldsOf(value, 'answer');
  const { answer, inTouch, confirmedAfterMs, tally, outliers, outlierSequence } = fields;
  if (typeof confirmedAfterMs !== 'number' || Number.isNaN(confirmedAfterMs)) {
    throw new PeerMessageError('answer without an age');
  }
  return {
    answer: answer === undefined ? undefined : readAnswer(answer),
    inTouch: inTouch === true,
    confirmedAfterMs,
    tally: tally === undefined ? undefined : readTally(tally),
    outliers: listOf(outliers).filter(isOutlierReport),
    outlierSequence: isNumber(outlierSequence) ? outlierSequence : 0,
    lackingGroups: listOf(fields['lackingGroups']).filter(isText),
  };
}

/** Reads a suspicion that is passed on. */
export function readSuspicion(value: unknown): SuspectRequest {
  const { service, report, hops } = fieldsOf(value, 'suspicion');
  if (!isText(service) || !isOutlierReport(report) || !isNumber(hops)) {
    throw new PeerMessageError('suspicion');
  }
  return { service, report, hops: Math.min(hops, MOST_HOPS) };
}

/** Reads the tally of a failure domain. */
export function readTallyReply(value: unknown): Tally {
  return readTally(fieldsOf(value, 'tally')['tally']);
}

/** Reads run reports. */
export function readRunReports(value: unknown): readonly RunReport[] {
  return listOf(fieldsOf(value, 'run reports')['reports']).filter(isRunReport);
}

/** Reads reports of limits. */
export function readLimitReports(value: unknown): readonly LimitReport[] {
  return listOf(fieldsOf(value, 'limit reports')['reports']).filter(isLimitReport);
}

/** Reads the hosts that are shutting down. */
export function readLeavingHosts(value: unknown): readonly HostIncarnation[] {
  return listOf(fieldsOf(value, 'leaving hosts')['reports']).filter(isIncarnation);
}

/** Reads the answer to reports. */
export function readReportsReply(value: unknown): ReportsReply {
  const { instance } = fieldsOf(value, 'answer to reports');
  return { instance: isText(instance) ? instance : '' };
}

function readAnswer(value: unknown): KindAnswer {
  const fields = fieldsOf(value, 'answer');
  if (fields['kind'] === 'expired') {
    return { kind: 'expired' };
  }
  if (fields['kind'] === 'list') {
    const { objects, revision } = fieldsOf(fields['list'], 'list');
    return {
      kind: 'list',
      list: { objects: listOf(objects).filter(isObject), revision: revisionOf(revision) },
    };
  }
  if (fields['kind'] === 'changes') {
    const changes = listOf(fields['changes']).filter(isChange);
    return { kind: 'changes', changes, revision: revisionOf(fields['revision']) };
  }
  throw new PeerMessageError('answer of no kind');
}

function readTally(value: unknown): Tally {
  const { loads, work } = fieldsOf(value, 'tally');
  return { loads: readCounts(loads), work: readCounts(work) };
}

function readCounts(value: unknown): Counts {
  return listOf(value).filter(
    (pair): pair is readonly [string, number] =>
      Array.isArray(pair) && isText(pair[0]) && isNumber(pair[1]),
  );
}

function revisionOf(value: unknown): number {
  if (!isNumber(value)) {
    throw new PeerMessageError('no revision');
  }
  return value;
}

function fieldsOf(value: unknown, what: string): Fields {
  if (typeof value !== 'object' || value === null) {
    throw new PeerMessageError(what);
  }
  return value as Fields;
}

function listOf(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

function isObject(value: unknown): value is StoredObject {
  const { name, revision } = (value ?? {}) as Fields;
  return isText(name) && isNumber(revision);
}

function isChange(value: unknown): value is ObjectChange {
  const { object, deleted } = (value ?? {}) as Fields;
  return isObject(object) && typeof deleted === 'boolean';
}

function isOutlierReport(value: unknown): value is OutlierReport {
  const fields = (value ?? {}) as Fields;
  const names = ['target', 'targetHost', 'targetDomain', 'reporter', 'reporterDomain'];
  return names.every(name => isText(fields[name])) && isAge(fields['ageMs']);
}

function isRunReport(value: unknown): value is RunReport {
  const fields = (value ?? {}) as Fields;
  const { kind, fingerprint, host, place, ranMs, ageMs, route } = fields;
  if (!isText(fingerprint) || !isAge(ageMs)) {
    return false;
  }
  const isCrash = isText(place) && isText(route) && isAge(ranMs) && isText(hostIdOf(host));
  return kind === 'completed' || (kind === 'crashed' && isCrash);
}

function isLimitReport(value: unknown): value is LimitReport {
  const fields = (value ?? {}) as Fields;
  const { host, turn } = fields;
  const isTurn = Number.isSafeInteger(turn) && isAge(turn);
  const isKnown = ['heardAgeMs', 'confirmedAgeMs'].every(name => isAge(fields[name]));
  const isOptional = (name: string): boolean => fields[name] === undefined || isAge(fields[name]);
  return (
    isText(hostIdOf(host)) && isTurn && isKnown && ['perSecond', 'askedAgeMs'].every(isOptional)
  );
}

function isIncarnation(value: unknown): value is HostIncarnation {
  const { startedAt } = (value ?? {}) as Fields;
  return isText(hostIdOf(value)) && (startedAt === undefined || isNumber(startedAt));
}

function hostIdOf(host: unknown): unknown {
  return ((host ?? {}) as Fields)['id'];
}

function isAge(value: unknown): value is number {
  return isNumber(value) && value >= 0;
}

function isText(value: unknown): value is string {
  return typeof value === 'string';
}

function isNumber(value: unknown): value is number {
  return Number.isFinite(value);
}
