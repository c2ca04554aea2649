/** Builds what is sent upstream from what a caller sent. */
import type { Target } from '../routing/target-chooser.js';
import { monotonicMs } from '../server/time.js';
import type { RelayHeaders } from './relay-headers.js';
import { endToEndHeaders } from './relay-headers.js';
import type { RequestContext } from './request-context.js';

const MOST_URGENT = 0;
const LEAST_URGENT = 9;
/** Urgency of a request of rank 0; each rank below adds one. */
const URGENCY_OF_FIRST_RANK = 3;

/** Headers for the host: those of the caller, and the ones this entry host answers for. */
export function upstreamHeaders(
  context: RequestContext,
  names: RelayHeaders,
  target: Target,
  lastEventId: string | undefined,
): string[] {
  const headers = endToEndHeaders(context.request.rawHeaders, replacedHeaders(names));
  const left = Math.max(1, Math.floor(context.deadline - monotonicMs()));
  headers.push(names.deadlineMs, String(left));
  headers.push(names.expectHost, target.host.id);
  if (context.workspace !== undefined) {
    headers.push(names.workspace, context.workspace);
  }
  if (target.group !== undefined) {
    headers.push(names.urgency, String(urgencyOf(context.priority)));
  }
  if (lastEventId !== undefined) {
    headers.push(names.lastEventId, lastEventId);
  }
  if (context.body !== undefined) {
    headers.push('content-length', String(context.body.length));
  }
  return headers;
}

/** Rank at the host for a rank of the configuration. */
export function urgencyOf(priority: number): number {
  const urgency = URGENCY_OF_FIRST_RANK + Math.round(priority);
  return Math.min(LEAST_URGENT, Math.max(MOST_URGENT, urgency));
}

const replacedByNames = new WeakMap<RelayHeaders, ReadonlySet<string>>();

function replacedHeaders(names: RelayHeaders): ReadonlySet<string> {
  const known = replacedByNames.get(names);
  if (known !== undefined) {
    return known;
  }
  // The key itself never reaches a host.
  const replaced = new Set([
    'authorization',
    'content-length',
    names.deadlineMs,
    names.expectHost,
    names.workspace,
    names.urgency,
    names.lastEventId,
  ]);
  replacedByNames.set(names, replaced);
  return replaced;
}
