/** One request of a caller, read and admitted. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Route, Service } from '../configuration/serving-configuration.js';
import type { RequestFingerprint } from '../quarantine/request-fingerprint.js';
import type { RequestHomes } from './home-regions.js';

/** A request of a caller. */
export type RequestContext = {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer | undefined;
  readonly route: Route;
  readonly service: Service;
  /** Fingerprint of the content, which stays the same when it is sent again; made at the first call. */
  readonly fingerprint: () => RequestFingerprint;
  /** True while no host may get the request, since it crashes those that run it. */
  readonly isQuarantined: () => boolean;
  /** Workspace of the caller's key; undefined on public routes. */
  readonly workspace: string | undefined;
  /** Home regions of its route and of its workspace; asked anew at each send. */
  readonly homes: RequestHomes;
  /** Rank among all requests, 0 first. */
  readonly priority: number;
  /** Model that the request names. */
  readonly model: string | undefined;
  /** Event behind which the caller wants the stream to go on. */
  readonly lastEventId: string | undefined;
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic milliseconds at which the final answer is due. */
  readonly deadline: number;
  /** Raised when the caller has gone. */
  readonly gone: AbortSignal;
};

/** True when the request may run more than once. */
export function mayRepeat(route: Route): boolean {
  return route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable);
}
