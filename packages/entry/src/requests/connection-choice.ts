/** Decides whether a request may be sent on a kept (keep-alive) connection. */
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import { mayRepeat } from './request-context.js';
import type { UpstreamConnections } from './upstream-connections.js';

/**
 * Returns the pool of kept connections for a request that may run more than once, and undefined for any other
 * request, which then gets a new connection of its own. The upstream host may close a kept connection just as a
 * request is sent. Whether the request ran is then unknown, and a request that may run only once would have to fail.
 */
export function keptConnectionsFor(
  { connectionsOf, counters }: RelayServices,
  { route, service }: RequestContext,
): UpstreamConnections | undefined {
  if (mayRepeat(route)) {
    return connectionsOf(service);
  }
  counters.count('upstream_connections_total', { cause: 'own' });
  return undefined;
}
