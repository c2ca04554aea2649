/** Attempts of a stream at a host or, forwarded, at a peer. */
import { ForwardedStream } from '../forwarding/forwarded-stream.js';
import type { Target, TargetQuery } from '../routing/target-chooser.js';
import type { AttemptLog } from './attempt-log.js';
import { claimTarget, isTarget } from './claim-target.js';
import type { PeerHop } from './next-hop.js';
import { forwardedSend } from './next-hop.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import type { StreamAttemptOptions } from './stream-attempt.js';
import { StreamAttempt } from './stream-attempt.js';

/** An attempt at a host, or one that is forwarded to a peer. */
export type Attempt = Pick<
  StreamAttempt,
  'head' | 'run' | 'cancel' | 'supersede' | 'fail' | 'pauseUntilDrained'
>;

/** Creates the attempt for the next hop and records it. */
export function createAttempt(
  services: RelayServices,
  context: RequestContext,
  attemptLog: AttemptLog,
  hop: Target | PeerHop,
  options: StreamAttemptOptions,
): Attempt {
  if (isTarget(hop)) {
    attemptLog.noteSent(hop.host);
    return new StreamAttempt(context, services, hop, options);
  }
  const send = forwardedSend(services, context, attemptLog, hop, options.lastEventId);
  return new ForwardedStream(send, services, options);
}

/** Returns the next hop of a hedged attempt, without waiting for one; a target is claimed. */
export function hedgedHop(
  services: RelayServices,
  { service, forwarded }: RequestContext,
  { peers }: AttemptLog,
  query: TargetQuery,
): Target | PeerHop | undefined {
  const { chooser, forwarding } = services;
  if (forwarding?.isIsolated(service.name) === true && forwarded === undefined) {
    const { homeRegions } = query;
    const peer = forwarding.knownPeer({ service: service.name, homeRegions, exclude: peers });
    return peer && { peer, forwarding };
  }
  return chooser.hasHealthyTarget(query) ? claimTarget(services, query) : undefined;
}
