/** `hingescale trace`: shows the events of one request from the log files of several entry hosts. */
import { readFileSync } from 'node:fs';

/** A log line in JSON format. */
type LogLine = {
  readonly time: string;
  readonly process: string;
  readonly message: string;
  readonly [field: string]: unknown;
};

/** Messages about the state that the lease holder and the entry hosts knew of hosts, groups and dependencies. */
const KNOWN_STATE_MESSAGES = new Set([
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
/** Messages about evacuations; one from long before the request may explain why no host was eligible for it. */
const EVACUATION_MESSAGES = new Set([
  'failure domain evacuated',
  'failure domain evacuated anew',
  'evacuation ended',
]);
/** Messages about requests that crash hosts; a quarantine may be much older than the request that it refuses. */
const QUARANTINE_MESSAGES = new Set([
  'request quarantined',
  'request left quarantine',
  'trial of a quarantined request',
]);
/** Messages that are relevant only from the processes that handled the request. */
const HANDLING_PROCESS_MESSAGES = new Set([
  'answer older than what is known',
  'configuration applied',
  'dependency lost',
  'dependency regained',
  'store came back from an older copy',
  ...EVACUATION_MESSAGES,
]);
/** Fields that are not printed as `name=value`: they form the start of a printed line or are left out. */
const UNLISTED_FIELDS = new Set(['time', 'process', 'message', 'level', 'steadyMs']);
/** Changes of known state are shown this long before the request's first and after its last line, in milliseconds. */
const CONTEXT_MS = 5_000;

/**
 * Returns the lines of one request in order of time, and between them the changes of the hosts and groups that it was
 * sent to. Lines that are not in the JSON log format are skipped.
 */
export function traceRequest(requestId: string, texts: readonly string[]): readonly string[] {
  const lines = texts.flatMap(readLines).sort((a, b) => a.time.localeCompare(b.time));
  const requestLines = lines.filter(line => line.request === requestId);
  const first = requestLines[0];
  const last = requestLines.at(-1);
  if (first === undefined || last === undefined) {
    return [];
  }
  const subjects = subjectsOf(requestLines);
  const processes = new Set(requestLines.map(line => line.process));
  const from = Date.parse(first.time) - CONTEXT_MS;
  const to = Date.parse(last.time) + CONTEXT_MS;
  const reported = new Set<string>();
  return lines
    .filter(line => line.request === requestId || isContext(line, subjects, from, to))
    .filter(line => !HANDLING_PROCESS_MESSAGES.has(line.message) || processes.has(line.process))
    .filter(line => isFirstReport(line, reported))
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
    // Drops text before the JSON object, such as the prefix of a log collector.
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

// Collects the hosts, groups and fingerprints that the lines name.
function subjectsOf(lines: readonly LogLine[]): ReadonlySet<string> {
  const subjects = new Set<string>();
  for (const line of lines) {
    for (const value of [line.host, line.group, line.faultyHost, line.fingerprint]) {
      if (typeof value === 'string') {
        subjects.add(value);
      }
    }
    if (typeof line.sentTo === 'string') {
      line.sentTo.split(',').forEach(host => subjects.add(host));
    }
  }
  return subjects;
}

// Whether a line of other requests or of none helps to explain the traced request.
function isContext(
  line: LogLine,
  subjects: ReadonlySet<string>,
  from: number,
  to: number,
): boolean {
  const at = Date.parse(line.time);
  if (EVACUATION_MESSAGES.has(line.message)) {
    return at <= to;
  }
  if (QUARANTINE_MESSAGES.has(line.message)) {
    return at <= to && typeof line.fingerprint === 'string' && subjects.has(line.fingerprint);
  }
  if (!KNOWN_STATE_MESSAGES.has(line.message) || at < from || at > to) {
    return false;
  }
  const named = [line.host, line.group].filter(value => typeof value === 'string');
  return named.length === 0 || named.some(value => subjects.has(value));
}

// Many entry hosts report the same arrival or departure; only the first line of each is shown.
function isFirstReport(line: LogLine, reported: Set<string>): boolean {
  if (line.message !== 'host departed' && line.message !== 'host arrived') {
    return true;
  }
  const key = `${line.message} ${String(line.host)}`;
  const isFirst = !reported.has(key);
  reported.add(key);
  return isFirst;
}

function formatLine(line: LogLine, isOfRequest: boolean): string {
  const fields = Object.entries(line)
    .filter(([name, value]) => !UNLISTED_FIELDS.has(name) && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`);
  const mark = isOfRequest ? '>' : ' ';
  return `${mark} ${line.time} ${line.process} ${line.message} ${fields.join(' ')}`;
}
