/**
 * Checks by a connection whether the process of a host has ended. This is faster than watching the host's entry,
 * which is removed seconds later.
 */
import type { PortState } from '@hingescale/runtime/port-probe';
import { probePort } from '@hingescale/runtime/port-probe';

import type { HostEntry } from '../hosts/host-entry.js';

/**
 * `ended`: the port is closed; `alive`: a connection was made; `unknown`: no answer, for example because the host
 * lost power or the network is partitioned.
 */
export type ProbeOutcome = 'ended' | 'alive' | 'unknown';

const OUTCOMES: Readonly<Record<PortState, ProbeOutcome>> = {
  closed: 'ended',
  ended: 'unknown',
  open: 'alive',
  unknown: 'unknown',
};

/** Probes a host; the outcome is `unknown` after `limitMs` milliseconds without an answer. */
export async function probeHost({ ip, port }: HostEntry, limitMs: number): Promise<ProbeOutcome> {
  return OUTCOMES[await probePort({ host: ip, port }, { limitMs, settleMs: 0 })];
}
