/**
 * Checks by a connection whether the process of a host has ended. This is faster than watching the host's entry,
 * which is removed seconds later.
 */
import { connect } from 'node:net';

import type { HostEntry } from '../hosts/host-entry.js';
import { afterTurn } from '../server/time.js';

/**
 * `ended`: the port is closed; `alive`: a connection was made; `unknown`: no answer, for example because the host
 * lost power or the network is partitioned.
 */
export type ProbeOutcome = 'ended' | 'alive' | 'unknown';

/** Error code of a connection to a port on which no process listens. */
const PORT_CLOSED_CODE = 'ECONNREFUSED';

/** Probes a host; the outcome is `unknown` after `limitMs` milliseconds without an answer. */
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
      finish(error.code === PORT_CLOSED_CODE ? 'ended' : 'unknown');
    });
  });
}
