/** Checks by a connection of its own whether a process listens at an address. */
import { connect } from 'node:net';

import { afterTurn } from './clock.js';
import { reusableSource } from './reusable-source.js';

/** The address of a port. */
export type PortAddress = { readonly host: string; readonly port: number };

/** What one connection has shown. */
export type PortState =
  /** No process listens. */
  | 'closed'
  /** The other side ended or reset the connection before it had settled, so a process listened. */
  | 'ended'
  /** The connection was made, and was open until it had settled. */
  | 'open'
  /** No answer, for example because the host lost power or the network is partitioned. */
  | 'unknown';

/** How long a probe may take. */
export type ProbeTimes = {
  /** Time until the probe ends as `unknown`, in milliseconds. */
  readonly limitMs: number;
  /** Time for which the connection must stay open, in milliseconds. */
  readonly settleMs: number;
};

const STATES_BY_ERROR: Readonly<Record<string, PortState>> = {
  ECONNREFUSED: 'closed',
  ECONNRESET: 'ended',
};

/** Opens one connection to the port, and closes it again. */
export function probePort(
  address: PortAddress,
  { limitMs, settleMs }: ProbeTimes,
): Promise<PortState> {
  return new Promise(resolve => {
    const socket = connect({ ...address, ...reusableSource(address.host) });
    let settled = { cancel: (): void => undefined };
    const finish = (state: PortState): void => {
      limit.cancel();
      settled.cancel();
      socket.destroy();
      resolve(state);
    };
    const limit = afterTurn(() => {
      finish('unknown');
    }, limitMs);
    socket.once('connect', () => {
      if (settleMs === 0) {
        finish('open');
        return;
      }
      socket.resume();
      settled = afterTurn(() => {
        finish('open');
      }, settleMs);
    });
    socket.once('end', () => {
      finish('ended');
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      finish(STATES_BY_ERROR[error.code ?? ''] ?? 'unknown');
    });
  });
}
