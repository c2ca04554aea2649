/** Golden files of whole sessions: messages between processes, volatile fields normalized. */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { expect } from 'chai';

import type { LogLine } from '../deployment/child.js';

const GOLDEN_DIRECTORY = join(dirname(fileURLToPath(import.meta.url)), '..', '..', 'golden');
const UPDATE_VARIABLE = 'HINGESCALE_UPDATE_GOLDEN';

/** Fields that differ from run to run. */
const VOLATILE: readonly string[] = [
  'time',
  'level',
  'process',
  'message',
  'error',
  'lateMs',
  'answeredMsAgo',
];
/** Lines about the machine that a session runs on, not about the session. */
const VOLATILE_MESSAGES: readonly string[] = ['this process did not run for a while'];

/**
 * Lines of a process, grouped by channel or subject, each group in order. Repeats of periodic
 * messages are dropped, since their number depends on time; groups are independent of each other,
 * since their order depends on scheduling.
 */
export function normalizeLines(
  name: string,
  lines: readonly LogLine[],
  names: ReadonlyMap<string, string>,
): string {
  const groups = new Map<string, string[]>();
  for (const line of lines.filter(({ message }) => !VOLATILE_MESSAGES.includes(message))) {
    const group = String(line.channel ?? subjectOf(line));
    const text = formatLine(line, names);
    const known = groups.get(group) ?? [];
    groups.set(group, known);
    if (!known.includes(text)) {
      known.push(text);
    }
  }
  const sorted = [...groups].sort(([a], [b]) => a.localeCompare(b));
  const body = sorted.map(([group, texts]) =>
    [`  [${group}]`, ...ordered(group, texts)].join('\n'),
  );
  return [name, ...body].join('\n') + '\n';
}

/** Compares a session with its golden file, or rewrites the file when asked to. */
export function expectGolden(file: string, text: string): void {
  const path = join(GOLDEN_DIRECTORY, file);
  if (process.env[UPDATE_VARIABLE] === '1') {
    writeFileSync(path, text);
  }
  expect(existsSync(path), `golden file ${file} is there`).to.equal(true);
  expect(text).to.equal(readFileSync(path, 'utf8'));
}

// Watches of several kinds run side by side, so the first message of each comes in any order.
function ordered(group: string, texts: readonly string[]): string[] {
  const parallel = ['platform', 'host', 'link', 'key'].includes(group);
  const lines = texts.map(text => `    ${text}`);
  return parallel ? lines.sort() : lines;
}

function subjectOf(line: LogLine): string {
  return line.message.split(' ')[0];
}

function formatLine(line: LogLine, names: ReadonlyMap<string, string>): string {
  const fields = Object.entries(line)
    .filter(([key, value]) => !VOLATILE.includes(key) && key !== 'channel' && value !== undefined)
    .map(([key, value]) => `${key}=${replaceNames(String(value), names)}`);
  return [replaceNames(line.message, names), ...fields].join(' ');
}

function replaceNames(text: string, names: ReadonlyMap<string, string>): string {
  let result = text;
  for (const [address, name] of names) {
    result = result.replaceAll(address, name);
  }
  return result
    .replace(/[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}/g, 'UUID')
    .replace(/\b[0-9a-f]{64}\b/g, 'SHA256')
    .replace(/127(\.\d+){3}:\d+/g, 'ADDRESS');
}
