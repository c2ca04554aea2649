/** The HTTP servers of an entry host that others than its peers reach: for callers, for readiness and for metrics. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { CallerGuard } from './caller-guard.js';
import { CallerServer } from './caller-server.js';
import type { PeerRates } from './connection-rate.js';
import { ConnectionRate } from './connection-rate.js';
import { ConnectionShedding } from './connection-shedding.js';
import type { EntrySettings } from './entry-settings.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { SideServerOptions } from './side-servers.js';
import { startSideServers } from './side-servers.js';

/** What the servers work with. */
export type HostServersOptions = {
  readonly settings: EntrySettings;
  /** Processes a request of a caller. */
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
  /** Undefined if this entry host knows no others. */
  readonly peers: () => PeerRates | undefined;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Creates, starts and stops the servers. */
export class HostServers {
  readonly guard: CallerGuard;
  /** Rate of new connections of callers. */
  readonly connectionRate = new ConnectionRate();
  readonly callers: CallerServer;
  readonly #options: HostServersOptions;
  readonly #sideServers: Server[] = [];
  readonly #abort = new AbortController();

  constructor(options: HostServersOptions) {
    this.#options = options;
    const { settings, handle, peers, log, metrics } = options;
    this.guard = new CallerGuard(settings.machine, log, metrics);
    const shedding = new ConnectionShedding({ rate: this.connectionRate, peers, log, metrics });
    this.callers = new CallerServer(handle, this.guard.forCallers, shedding);
  }

  /** Resolves when connections of callers and questions for readiness are accepted, or after {@link close}. */
  async listen(sources: Pick<SideServerOptions, 'isReady' | 'lists'>): Promise<void> {
    const { settings, metrics, log } = this.#options;
    const { signal } = this.#abort;
    const { ip: host, port } = settings.callers;
    const all = { ...sources, metrics, guard: this.guard, log, signal };
    const [sideServers] = await Promise.all([
      startSideServers(settings, all),
      this.callers.listen({ name: 'callers', host, port, log, signal }),
    ]);
    this.#sideServers.push(...sideServers);
  }

  /** Closes all servers. */
  close(): void {
    this.#abort.abort();
    this.callers.close();
    this.#sideServers.forEach(server => server.close());
  }
}
