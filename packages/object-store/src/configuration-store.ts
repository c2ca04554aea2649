/** Stores accepted configurations in the platform and reads them back. */
import type {
  Configuration,
  ConfigurationFile,
  ConfigurationHead,
  ConfigurationRevision,
  Finding,
  HistoryEntry,
  PartReference,
} from '@hingescale/core';
import { MAX_HISTORY_ENTRIES, readConfiguration } from '@hingescale/core';
import { newUuid, sha256, sleep } from '@hingescale/runtime';
import { Result } from 'true-myth';

import type { PlatformClient, StoredObject } from './platform-client.js';
import { PlatformError } from './platform-error.js';

/** Name of the head object, of which there is one in a platform. */
export const HEAD_NAME = 'head';

/** A configuration proposed by an operator to replace the one in force. */
export type ProposedChange = {
  readonly files: readonly ConfigurationFile[];
  readonly operator: string;
  readonly note: string;
  /** Revision on which the change is based; it is a conflict if another one is in force. */
  readonly base: number;
};

/** Reason why a change was not accepted, or, for `unknown`, may not have been. */
export type ChangeError =
  | { readonly reason: 'findings'; readonly findings: readonly Finding[] }
  | { readonly reason: 'conflict'; readonly current: ConfigurationHead }
  | { readonly reason: 'unavailable'; readonly detail: string }
  | {
      readonly reason: 'unknown';
      readonly detail: string;
      readonly operation: string;
    };

const RESOLVE_ATTEMPTS = 8;
const RESOLVE_PAUSE_MS = 250;

/** Reads the head and the texts of its parts. */
export async function readRevision(
  client: PlatformClient,
): Promise<Result<ConfigurationRevision, PlatformError>> {
  const head = await client.read<ConfigurationHead>('configuration', HEAD_NAME);
  if (head.isErr) {
    return Result.err(head.error);
  }
  return readParts(client, head.value.value);
}

/** Reads the texts of a head's parts and checks their hashes. */
export async function readParts(
  client: PlatformClient,
  head: ConfigurationHead,
): Promise<Result<ConfigurationRevision, PlatformError>> {
  const files: ConfigurationFile[] = [];
  for (const part of head.parts) {
    const stored = await client.read<string>('configuration-part', part.hash);
    if (stored.isErr) {
      return Result.err(stored.error);
    }
    if (sha256(stored.value.value) !== part.hash) {
      return Result.err(
        new PlatformError('unknown', `the stored text of ${part.file} does not match its hash`),
      );
    }
    files.push({ name: part.file, text: stored.value.value });
  }
  return Result.ok({ head, files });
}

/** Validates a change and makes it the next revision by one conditional update of the head. */
export async function acceptChange(
  client: PlatformClient,
  change: ProposedChange,
): Promise<Result<ConfigurationRevision, ChangeError>> {
  const parsed: Result<Configuration, Finding[]> = readConfiguration(change.files);
  if (parsed.isErr) {
    return Result.err({ reason: 'findings', findings: parsed.error });
  }
  const current = await currentHead(client);
  if (current.isErr) {
    return Result.err({ reason: 'unavailable', detail: current.error.message });
  }
  const base = current.value;
  if ((base?.value.revision ?? 0) !== change.base && base !== undefined) {
    return Result.err({ reason: 'conflict', current: base.value });
  }
  const parts = await writeParts(client, change.files);
  if (parts.isErr) {
    return Result.err({ reason: 'unavailable', detail: parts.error.message });
  }
  const head: ConfigurationHead = {
    revision: (base?.value.revision ?? 0) + 1,
    operation: newUuid(),
    operator: change.operator,
    note: change.note,
    acceptedAt: new Date().toISOString(),
    parts: parts.value,
    history: appendToHistory(base?.value),
  };
  const written = await writeHead(client, base, head);
  return written.map(() => ({ head, files: change.files }));
}

function appendToHistory(previous: ConfigurationHead | undefined): HistoryEntry[] {
  if (previous === undefined) {
    return [];
  }
  const { history, ...entry } = previous;
  return [entry, ...history].slice(0, MAX_HISTORY_ENTRIES);
}

async function writeHead(
  client: PlatformClient,
  base: StoredObject<ConfigurationHead> | undefined,
  head: ConfigurationHead,
): Promise<Result<true, ChangeError>> {
  const written =
    base === undefined
      ? await client.create('configuration', HEAD_NAME, head)
      : await client.update('configuration', HEAD_NAME, base.version, head);
  if (written.isOk) {
    return Result.ok(true);
  }
  if (written.error.reason === 'unreachable' || written.error.reason === 'rate-limited') {
    return Result.err({ reason: 'unavailable', detail: written.error.message });
  }
  return resolveWrite(client, base?.version ?? 0, head);
}

// Called when the response was lost or reports a conflict: only the head or its history shows
// whether this change was accepted.
async function resolveWrite(
  client: PlatformClient,
  baseVersion: number,
  head: ConfigurationHead,
): Promise<Result<true, ChangeError>> {
  for (let attempt = 0; attempt < RESOLVE_ATTEMPTS; attempt++) {
    const current = await currentHead(client);
    if (current.isOk && current.value !== undefined && current.value.version > baseVersion) {
      const found = current.value.value;
      if (found.operation === head.operation) {
        return Result.ok(true);
      }
      if (found.history.some(entry => entry.operation === head.operation)) {
        return Result.ok(true);
      }
      return Result.err({ reason: 'conflict', current: found });
    }
    await sleep(RESOLVE_PAUSE_MS);
  }
  const detail = `revision ${head.revision} may have been accepted`;
  return Result.err({ reason: 'unknown', detail, operation: head.operation });
}

async function currentHead(
  client: PlatformClient,
): Promise<Result<StoredObject<ConfigurationHead> | undefined, PlatformError>> {
  const head = await client.read<ConfigurationHead>('configuration', HEAD_NAME);
  if (head.isErr && head.error.reason === 'missing') {
    return Result.ok(undefined);
  }
  return head;
}

/** Writes the texts of a configuration as part objects, each named by the hash of its text. */
export async function writeParts(
  client: PlatformClient,
  files: readonly ConfigurationFile[],
): Promise<Result<PartReference[], PlatformError>> {
  const parts: PartReference[] = [];
  for (const file of files) {
    const hash = sha256(file.text);
    const written = await client.create('configuration-part', hash, file.text);
    // A part is named by the hash of its text, so an existing one has the same text.
    if (written.isErr && written.error.reason !== 'conflict') {
      return Result.err(written.error);
    }
    parts.push({ file: file.name, hash });
  }
  return Result.ok(parts);
}
