/** `hingescale trace`: the story of one request, from the log files of several entry hosts. */
import { readFileSync } from 'node:fs';

/** One line of a log. */
type LogLine = {
  readonly time: string;
  readonly process: string;
  readonly message: string;
  readonly [field: string]: unknown;
};

/** Messages that tell what the order giver and the hosts believed. */
const BELIEFS = new Set([
  'answer older than what is known',
  'capacity changed',
  'configuration applied',
  'dependency lost',
  'dependency regained',
  'formation begun',
  'host answers again',
  'host arrived',
  'host departed',
  'host does not answer',
  'host ended with requests in progress',
  'host started again',
  'lease lost',
  'lease taken',
  'order sent',
  'store came back from an older copy',
]);
/** Messages about evacuations: one from long before the request may explain why no host could take it. */
const EVACUATIONS = new Set([
  'failure domain evacuated',
  'failure domain evacuated anew',
  'evacuation ended',
]);
/** Messages about requests that crash hosts: the verdict may be much older than the request that it refuses. */
const QUARANTINE = new Set([
  'request quarantined',
  'request left quarantine',
  'trial of a quarantined request',
]);
/** Messages that matter only from the processes that had the request. */
const OF_ONE_PROCESS = new Set([
  'answer older than what is known',
  'configuration applied',
  'dependency lost',
  'dependency regained',
  'store came back from an older copy',
  ...EVACUATIONS,
]);
/** Fields that stand at the beginning of each printed line. */
const LEADING_FIELDS = new Set(['time', 'process', 'message', 'level', 'steadyMs']);
/** Beliefs this long before and after the request are shown, in milliseconds. */
const AROUND_MS = 5_000;

/**
 * Lines of one request in order, and between them what changed about the hosts and groups that it
 * was sent to. Lines that are not of the log's format are passed over.
 */
export function traceRequest(requestId: string, texts: readonly string[]): readonly string[] {
  const lines = texts.flatMap(readLines).sort((a, b) => a.time.localeCompare(b.time));
  const own = lines.filter(line => line.request === requestId);
  const first = own[0];
  const last = own.at(-1);
  if (first === undefined || last === undefined) {
    return [];
  }
  const places = placesOf(own);
  const processes = new Set(own.map(line => line.process));
  const from = Date.parse(first.time) - AROUND_MS;
  const to = Date.parse(last.time) + AROUND_MS;
  const told = new Set<string>();
  return lines
    .filter(line => line.request === requestId || isBelief(line, places, from, to))
    .filter(line => !OF_ONE_PROCESS.has(line.message) || processes.has(line.process))
    .filter(line => isNew(line, told))
    .map(line => formatLine(line, line.request === requestId));
}

/** Reads the files and traces the request. */
export function traceFiles(requestId: string, files: readonly string[]): readonly string[] {
  return traceRequest(
    requestId,
    files.map(file => readFileSync(file, 'utf8')),
  );
}

function readLines(text: string): LogLine[] {
  return text.split('\n').flatMap(line => {
    // What stands before the object, such as a collector's prefix, is dropped.
    const start = line.indexOf('{"time"');
    if (start < 0) {
      return [];
    }
    try {
      return [JSON.parse(line.slice(start)) as LogLine];
    } catch {
      return [];
    }
  });
}

function placesOf(lines: readonly LogLine[]): ReadonlySet<string> {
  const places = new Set<string>();
  for (const line of lines) {
    for (const value of [line.host, line.group, line.faultyHost, line.fingerprint]) {
      if (typeof value === 'string') {
        places.add(value);
      }
    }
    if (typeof line.sentTo === 'string') {
      line.sentTo.split(',').forEach(host => places.add(host));
    }
  }
  return places;
}

function isBelief(line: LogLine, places: ReadonlySet<string>, from: number, to: number): boolean {
  const at = Date.parse(line.time);
  if (EVACUATIONS.has(line.message)) {
    return at <= to;
  }
  if (QUARANTINE.has(line.message)) {
    return at <= to && typeof line.fingerprint === 'string' && places.has(line.fingerprint);
  }
  if (!BELIEFS.has(line.message) || at < from || at > to) {
    return false;
  }
  const named = [line.host, line.group].filter(value => typeof value === 'string');
  return named.length === 0 || named.some(value => places.has(value));
}

// Many entry hosts tell of the same departure; one line is enough.
function isNew(line: LogLine, told: Set<string>): boolean {
  if (line.message !== 'host departed' && line.message !== 'host arrived') {
    return true;
  }
  const key = `${line.message} ${String(line.host)}`;
  const isFirst = !told.has(key);
  told.add(key);
  return isFirst;
}

function formatLine(line: LogLine, own: boolean): string {
  const fields = Object.entries(line)
    .filter(([name, value]) => !LEADING_FIELDS.has(name) && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`);
  const mark = own ? '>' : ' ';
  return `${mark} ${line.time} ${line.process} ${line.message} ${fields.join(' ')}`;
}
