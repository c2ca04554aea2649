/** The context of a request: what relays and routing need from the moment of its admission on. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Reservation } from '@hingescale/runtime/http-guard';

import type { Route, Service } from '../configuration/serving-configuration.js';
import type { ForwardedRequest } from '../forwarding/peer-headers.js';
import type { RequestCauses } from '../quarantine/request-causes.js';
import type { RequestHomeRegions } from './home-regions.js';
import type { PromptPart } from './prompt-parts.js';

/** An admitted request of a caller, whose body has been read. */
export type RequestContext = {
  /** Id from the request's header; empty if it has none. */
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer | undefined;
  /** Memory that the request and its answer use. */
  readonly reservation: Reservation;
  readonly route: Route;
  readonly service: Service;
  /** What in the request may crash the hosts that run it. */
  readonly causes: RequestCauses;
  /** True while the request may not be sent to any host, because it crashes the hosts that run it. */
  readonly isQuarantined: () => boolean;
  /** Workspace of the caller's key; undefined on public routes. */
  readonly workspace: string | undefined;
  /** Home regions of its route and of its workspace; looked up again at each send. */
  readonly homeRegions: RequestHomeRegions;
  /** Priority among all requests; 0 is the highest. */
  readonly priority: number;
  /** Model that the request names; undefined if it names none. */
  readonly model: string | undefined;
  /** Parts of the prompt that other requests may share, in their order; empty if the request names none. */
  readonly promptParts: readonly PromptPart[];
  /** Id of the last event that the caller has received; the stream is to resume after it. */
  readonly lastEventId: string | undefined;
  /** When the request was received, in monotonic milliseconds. */
  readonly arrivedAt: number;
  /** When the final answer is due, in monotonic milliseconds. */
  readonly deadline: number;
  /** Aborted when the caller's connection is closed. */
  readonly callerSignal: AbortSignal;
  /** Set if a peer has forwarded the request: it is then not forwarded again. */
  readonly forwarded: ForwardedRequest | undefined;
};

/** True if requests of the route may run more than once. */
export function mayRepeat(route: Route): boolean {
  return route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable);
}
