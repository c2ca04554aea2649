/**
 * Parses and validates messages of peers. A peer may run another version, and any process that reaches the port may
 * send anything. A message that is invalid as a whole is rejected; invalid entries of lists are left out.
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
  ForwardingRequest,
  ForwardingStatus,
  ReadReply,
  ReadRequest,
  ReportsReply,
  SuspectRequest,
  Tally,
} from './peer-messages.js';

/** Thrown for a message that does not have the fields of its type. */
export class PeerMessageError extends Error {
  readonly reason = 'unreadable';

  constructor(message: string) {
    super(`invalid message from a peer: ${message}`);
    this.name = 'PeerMessageError';
  }
}

type Fields = Readonly<Record<string, unknown>>;

const KINDS: readonly unknown[] = Object.values(OBJECT_KINDS);
/** Upper bound of the hops that a suspicion may claim; greater than the depth of any tree of entry hosts. */
const MAX_HOPS = 8;

/** Parses a request for the objects of a kind. */
export function parseReadRequest(value: unknown): ReadRequest {
  const fields = fieldsOf(value, 'read request');
  const { kind, revision, waitMs, view, tally, outliersHeard } = fields;
  const isKnown = KINDS.includes(kind) && (view === 'full' || view === 'routing');
  if (!isKnown || !isNumber(waitMs) || (revision !== undefined && !isNumber(revision))) {
    throw new PeerMessageError('read request');
  }
  return {
    ...(fields as ReadRequest),
    tally: tally === undefined ? undefined : parseTally(tally),
    outliersHeard: isNumber(outliersHeard) ? outliersHeard : 0,
  };
}

/** Parses the reply to a request for the objects of a kind. */
export function parseReadReply(value: unknown): ReadReply {
  const fields = fieldsOf(value, 'answer');
  const { answer, inTouch, confirmedAfterMs, tally, outliers, outlierSequence } = fields;
  if (typeof confirmedAfterMs !== 'number' || Number.isNaN(confirmedAfterMs)) {
    throw new PeerMessageError('read reply without a time of confirmation');
  }
  return {
    answer: answer === undefined ? undefined : parseAnswer(answer),
    inTouch: inTouch === true,
    // Older versions do not send it.
    canSendOrders: fields['canSendOrders'] !== false,
    confirmedAfterMs,
    tally: tally === undefined ? undefined : parseTally(tally),
    outliers: listOf(outliers).filter(isOutlierReport),
    outlierSequence: isNumber(outlierSequence) ? outlierSequence : 0,
    lackingGroups: listOf(fields['lackingGroups']).filter(isString),
  };
}

/** Parses a suspicion. */
export function parseSuspicion(value: unknown): SuspectRequest {
  const { service, report, hops } = fieldsOf(value, 'suspicion');
  if (!isString(service) || !isOutlierReport(report) || !isNumber(hops)) {
    throw new PeerMessageError('suspicion');
  }
  return { service, report, hops: Math.min(hops, MAX_HOPS) };
}

/** Parses the reply with the tally of a failure domain. */
export function parseTallyReply(value: unknown): Tally {
  return parseTally(fieldsOf(value, 'tally')['tally']);
}

/** Parses reports of lost and completed runs. */
export function parseRunReports(value: unknown): readonly RunReport[] {
  return listOf(fieldsOf(value, 'run reports')['reports']).filter(isRunReport);
}

/** Parses reports of rate limits. */
export function parseLimitReports(value: unknown): readonly LimitReport[] {
  return listOf(fieldsOf(value, 'rate limit reports')['reports']).filter(isLimitReport);
}

/** Parses reports of hosts that are shutting down. */
export function parseLeavingHosts(value: unknown): readonly HostIncarnation[] {
  return listOf(fieldsOf(value, 'leaving hosts')['reports']).filter(isIncarnation);
}

/** Parses the question whether this host takes forwarded requests. */
export function parseForwardingRequest(value: unknown): ForwardingRequest {
  const { services } = fieldsOf(value, 'forwarding request');
  return { services: listOf(services).filter(isString) };
}

/** Parses the status of an entry host that may take forwarded requests. */
export function parseForwardingStatus(value: unknown): ForwardingStatus {
  const { port, accepts, reached, load } = fieldsOf(value, 'forwarding status');
  if (!isNonNegative(port) || !isNonNegative(load)) {
    throw new PeerMessageError('forwarding status');
  }
  return { port, accepts: accepts === true, reached: listOf(reached).filter(isString), load };
}

/** Parses the reply to reports. */
export function parseReportsReply(value: unknown): ReportsReply {
  const { instance } = fieldsOf(value, 'reply to reports');
  return { instance: isString(instance) ? instance : '' };
}

function parseAnswer(value: unknown): KindAnswer {
  const fields = fieldsOf(value, 'answer');
  if (fields['kind'] === 'expired') {
    return { kind: 'expired' };
  }
  if (fields['kind'] === 'list') {
    const { objects, revision } = fieldsOf(fields['list'], 'list');
    return {
      kind: 'list',
      list: { objects: listOf(objects).filter(isStoredObject), revision: parseRevision(revision) },
    };
  }
  if (fields['kind'] === 'changes') {
    const changes = listOf(fields['changes']).filter(isChange);
    return { kind: 'changes', changes, revision: parseRevision(fields['revision']) };
  }
  throw new PeerMessageError('answer of unknown kind');
}

function parseTally(value: unknown): Tally {
  const { loads, work } = fieldsOf(value, 'tally');
  return { loads: parseCounts(loads), work: parseCounts(work) };
}

function parseCounts(value: unknown): Counts {
  return listOf(value).filter(
    (pair): pair is readonly [string, number] =>
      Array.isArray(pair) && isString(pair[0]) && isNumber(pair[1]),
  );
}

function parseRevision(value: unknown): number {
  if (!isNumber(value)) {
    throw new PeerMessageError('revision is not a number');
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

function isStoredObject(value: unknown): value is StoredObject {
  const { name, revision } = (value ?? {}) as Fields;
  return isString(name) && isNumber(revision);
}

function isChange(value: unknown): value is ObjectChange {
  const { object, deleted } = (value ?? {}) as Fields;
  return isStoredObject(object) && typeof deleted === 'boolean';
}

function isOutlierReport(value: unknown): value is OutlierReport {
  const fields = (value ?? {}) as Fields;
  const names = ['target', 'targetHost', 'targetDomain', 'reporter', 'reporterDomain'];
  return names.every(name => isString(fields[name])) && isNonNegative(fields['ageMs']);
}

function isRunReport(value: unknown): value is RunReport {
  const fields = (value ?? {}) as Fields;
  const { kind, fingerprint, parts, host, place, ranMs, ageMs, route } = fields;
  if (!isString(fingerprint) || !isNonNegative(ageMs)) {
    return false;
  }
  const isCrash =
    isString(place) &&
    isString(route) &&
    isNonNegative(ranMs) &&
    isString(hostIdOf(host)) &&
    (parts === undefined || (Array.isArray(parts) && parts.every(isString)));
  return kind === 'completed' || (kind === 'crashed' && isCrash);
}

function isLimitReport(value: unknown): value is LimitReport {
  const fields = (value ?? {}) as Fields;
  const { host, turn } = fields;
  const isTurn = Number.isSafeInteger(turn) && isNonNegative(turn);
  const hasAges = ['heardAgeMs', 'confirmedAgeMs'].every(name => isNonNegative(fields[name]));
  const isValidOptional = (name: string): boolean =>
    fields[name] === undefined || isNonNegative(fields[name]);
  return (
    isString(hostIdOf(host)) &&
    isTurn &&
    hasAges &&
    ['perSecond', 'askedAgeMs'].every(isValidOptional)
  );
}

function isIncarnation(value: unknown): value is HostIncarnation {
  const { startedAt } = (value ?? {}) as Fields;
  return isString(hostIdOf(value)) && (startedAt === undefined || isNumber(startedAt));
}

function hostIdOf(host: unknown): unknown {
  return ((host ?? {}) as Fields)['id'];
}

function isNonNegative(value: unknown): value is number {
  return isNumber(value) && value >= 0;
}

function isString(value: unknown): value is string {
  return typeof value === 'string';
}

function isNumber(value: unknown): value is number {
  return Number.isFinite(value);
}
