/** Decides whether a request may go on a kept connection. */
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import { mayRepeat } from './request-context.js';
import type { UpstreamConnections } from './upstream-connections.js';

/**
 * Kept connections for what may run twice; undefined, for a connection of its own, for the rest. A kept
 * one may be closed by the upstream as the request is sent: nobody knows then whether it ran, and what
 * may run once only would be lost.
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
