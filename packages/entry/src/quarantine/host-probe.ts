/** Asks whether the process of a host has ended, by a connection: faster than its entry, which goes seconds later. */
import { connect } from 'node:net';

import type { HostEntry } from '../hosts/host-entry.js';
import { afterTurn } from '../server/time.js';

/**
 * `ended`: the port is closed, nothing listens there; `alive`: a connection was made; `unknown`: no answer, as
 * from a host that lost power or behind a cut.
 */
export type ProbeOutcome = 'ended' | 'alive' | 'unknown';

/** Error of a connection to a port on which nothing listens. */
const CLOSED_PORT = 'ECONNREFUSED';

/** Probes a host; gives up after `limitMs`. */
export function probeHost({ ip, port }: HostEntry, limitMs: number): Promise<ProbeOutcome> {
  return new Promise(resolve => {
    const socket = connect({ host: ip, port });
    const finish = (outcome: ProbeOutcome): void => {
      limit.cancel();
      socket.destroy();
      resolve(outcome);
    };
    const limit = afterTurn(() => {
      finish('unknown');
    }, limitMs);
    socket.once('connect', () => {
      finish('alive');
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === CLOSED_PORT ? 'ended' : 'unknown');
    });
  });
}
