/** Confirms the ends of answers that end with their connection. */
import type { IncomingMessage } from 'node:http';

import type { HostEntry } from '../hosts/host-entry.js';
import { monotonicMs } from '../server/time.js';
import { reportsNotRun } from './answer-check.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';

/** Resolves with true if the answer with this head, whose connection has ended in order, is whole. */
export type EndConfirmation = (head: IncomingMessage, signal: AbortSignal) => Promise<boolean>;

/** Confirms the ends of a host's answers to a request. A rejection says all with its head. */
export function endConfirmation(
  { headers, processChecks }: RelayServices,
  { id }: RequestContext,
  host: HostEntry,
): EndConfirmation {
  return (head, signal) =>
    reportsNotRun(head, id, headers)
      ? Promise.resolve(true)
      : processChecks.isRunningAfter(host, monotonicMs(), signal);
}
