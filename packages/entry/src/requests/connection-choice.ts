/** Decides whether a request may go on a kept connection. */
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import { mayRepeat } from './request-context.js';
import type { UpstreamConnections } from './upstream-connections.js';

/**
 * The kept connections for a request that may run twice; undefined, for a new connection, for one that may
 * not. The upstream may close a kept connection just as a request is sent: then it is not known whether the
 * request ran, and one that may run only once would have to be failed.
 */
export function connectionsFor(
  { connectionsOf, counters }: RelayServices,
  { route, service }: RequestContext,
): UpstreamConnections | undefined {
  if (mayRepeat(route)) {
    return connectionsOf(service);
  }
  counters.count('upstream_connections_total', { cause: 'own' });
  return undefined;
}
