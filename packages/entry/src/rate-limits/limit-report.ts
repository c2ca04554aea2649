/** What entry hosts tell each other of the limits that hosts have named. */
import type { HostIncarnation } from '../hosts/host-entry.js';

/** The word of a host that holds, as one entry host knows it. */
export type LimitReport = {
  readonly host: HostIncarnation;
  /** Requests a second from all entry hosts together; undefined: it names no limit any more. */
  readonly perSecond: number | undefined;
  /** Time since the request was sent that the host answered with it, in milliseconds; undefined: not known. */
  readonly askedAgeMs: number | undefined;
  /** Time since the answer came. */
  readonly heardAgeMs: number;
  /** Time since an answer last named any limit. */
  readonly confirmedAgeMs: number;
  /** The turn of the owners that send to the host (see `known-limit.ts`). */
  readonly turn: number;
};
