/** Builds the headers of a request to an upstream host from the caller's request. */
import { withoutPeerHeaders } from '../forwarding/peer-headers.js';
import type { Target } from '../routing/target-chooser.js';
import { monotonicMs } from '../server/time.js';
import { endToEndHeaders } from './end-to-end-headers.js';
import type { RelayHeaders } from './relay-headers.js';
import type { RequestContext } from './request-context.js';

/** Range of the urgency header; 0 is the most urgent. */
const MOST_URGENT = 0;
const LEAST_URGENT = 9;
/** Urgency of a request with priority 0; each further step of the priority adds one. */
const URGENCY_OF_PRIORITY_0 = 3;

/** Headers for the host: the caller's end-to-end headers, and those that this entry host sets itself. */
export function upstreamHeaders(
  context: RequestContext,
  headerNames: RelayHeaders,
  target: Target,
  lastEventId: string | undefined,
): string[] {
  const received = context.request.rawHeaders;
  const sent = context.forwarded === undefined ? received : withoutPeerHeaders(received);
  const headers = endToEndHeaders(sent, replacedHeaders(headerNames));
  const remainingMs = Math.max(1, Math.floor(context.deadline - monotonicMs()));
  headers.push(headerNames.deadlineMs, String(remainingMs));
  headers.push(headerNames.expectHost, target.host.id);
  if (context.workspace !== undefined) {
    headers.push(headerNames.workspace, context.workspace);
  }
  if (target.group !== undefined) {
    headers.push(headerNames.urgency, String(urgencyOf(context.priority)));
  }
  if (lastEventId !== undefined) {
    headers.push(headerNames.lastEventId, lastEventId);
  }
  if (context.body !== undefined) {
    headers.push('content-length', String(context.body.length));
  }
  return headers;
}

/** Urgency at the host (0 to 9) for a priority of the configuration. */
export function urgencyOf(priority: number): number {
  const urgency = URGENCY_OF_PRIORITY_0 + Math.round(priority);
  return Math.min(LEAST_URGENT, Math.max(MOST_URGENT, urgency));
}

// Sets of replaced headers, cached by the object of configured header names.
const replacedHeadersByNames = new WeakMap<RelayHeaders, ReadonlySet<string>>();

function replacedHeaders(headerNames: RelayHeaders): ReadonlySet<string> {
  const cached = replacedHeadersByNames.get(headerNames);
  if (cached !== undefined) {
    return cached;
  }
  // `authorization` holds the caller's API key, which is never sent to a host.
  const replaced = new Set([
    'authorization',
    'content-length',
    headerNames.deadlineMs,
    headerNames.expectHost,
    headerNames.workspace,
    headerNames.urgency,
    headerNames.lastEventId,
  ]);
  replacedHeadersByNames.set(headerNames, replaced);
  return replaced;
}
