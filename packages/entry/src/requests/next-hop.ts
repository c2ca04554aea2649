/** Chooses where a request is sent next: to an upstream host, or to a peer that reaches hosts which this one does not. */
import type { ForwardedSend } from '../forwarding/forwarded-exchange.js';
import type { Forwarding } from '../forwarding/forwarding.js';
import type { ForwardingPeer } from '../forwarding/peer-directory.js';
import type { HomeRegions } from '../routing/eligibility.js';
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import { monotonicMs, sleep } from '../server/time.js';
import type { AttemptLog } from './attempt-log.js';
import type { NoTarget } from './await-target.js';
import { awaitTarget } from './await-target.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import { MIN_RUN_MS } from './wait-for-target.js';

/** A peer to which the request is forwarded. */
export type PeerHop = { readonly peer: ForwardingPeer; readonly forwarding: Forwarding };

/** Where a request is sent next; or why it can be sent nowhere. */
export type NextHop = Target | PeerHop | NoTarget;

/** Hosts in a row that could not be connected to after which a request is forwarded, if a peer takes it. */
const MAX_UNREACHABLE_HOSTS = 2;
/** Pause in which a stream that has begun waits for a host or a peer to come within reach, in milliseconds. */
const PAUSE_MS = 50;

/** Chooses the next hop. A request that a peer has forwarded is never forwarded again. */
export async function nextHop(
  services: RelayServices,
  context: RequestContext,
  attemptLog: AttemptLog,
  query: () => TargetQuery,
): Promise<NextHop> {
  const { forwarding } = services;
  const { service, callerSignal, response } = context;
  if (forwarding === undefined || context.isQuarantined()) {
    return awaitTarget(services, context, query);
  }
  while (!isDirect(services, context, attemptLog)) {
    const peer = await choosePeer(forwarding, context, attemptLog, query().homeRegions);
    if (peer !== undefined) {
      return { peer, forwarding };
    }
    if (!forwarding.isIsolated(service.name)) {
      break;
    }
    const mayWait = response.headersSent && context.deadline - monotonicMs() >= MIN_RUN_MS;
    if (!mayWait || callerSignal.aborted) {
      services.counters.count('requests_without_target_total', { reason: 'unreachable' });
      return { reason: 'unreachable', targets: '' };
    }
    await sleep(PAUSE_MS, callerSignal);
  }
  return awaitTarget(services, context, query);
}

// Prefers a peer that the request was not forwarded to before; one that declined it is not asked again.
async function choosePeer(
  forwarding: Forwarding,
  { service, forwarded }: RequestContext,
  { peers, declinedBy }: AttemptLog,
  homeRegions: HomeRegions,
): Promise<ForwardingPeer | undefined> {
  if (forwarded !== undefined) {
    return undefined;
  }
  const query = { service: service.name, homeRegions };
  const other = await forwarding.choosePeer({ ...query, exclude: peers });
  return other ?? forwarding.knownPeer({ ...query, exclude: declinedBy });
}

// True if the request should be sent to a host from here.
function isDirect(
  { forwarding }: RelayServices,
  { service, forwarded }: RequestContext,
  { unreachableCount }: AttemptLog,
): boolean {
  if (forwarded === undefined && unreachableCount >= MAX_UNREACHABLE_HOSTS) {
    return false;
  }
  return forwarding?.admitsDirect(service.name) ?? true;
}

/** True if a peer is the next hop. */
export function isPeerHop(hop: NextHop): hop is PeerHop {
  return 'peer' in hop;
}

/**
 * Records that the request is forwarded, and returns what is sent. Of the hosts that may still run the request, one is
 * kept back for the case that the peer itself is lost, when it is not known how many hosts have received the request.
 */
export function forwardedSend(
  { headers }: RelayServices,
  context: RequestContext,
  attemptLog: AttemptLog,
  { peer, forwarding }: PeerHop,
  lastEventId: string | undefined,
): ForwardedSend {
  const attempts = Math.max(1, attemptLog.runsLeft - 1);
  attemptLog.noteForwarded(peer.name);
  return { context, headers, forwarding, peer, attempts, lastEventId };
}

/**
 * Calls `call` whenever the request's service is out of reach from here while a peer reaches it. Returns a function that
 * ends this.
 */
export function whenForwardable(
  { forwarding }: RelayServices,
  { service, forwarded }: RequestContext,
  call: () => void,
): () => void {
  return forwarding === undefined || forwarded !== undefined
    ? () => undefined
    : forwarding.whenForwardable(service.name, call);
}
