/** Message by which entry hosts share the rate limits that hosts have sent in their answers. */
import type { HostIncarnation } from '../hosts/host-entry.js';

/** The current rate limit of a host, as last known to one entry host. */
export type LimitReport = {
  readonly host: HostIncarnation;
  /** Requests per second from all entry hosts together; undefined if the host has ended its limit. */
  readonly perSecond: number | undefined;
  /** Time since the request was sent that the host answered with this limit, in ms; undefined if unknown. */
  readonly askedAgeMs: number | undefined;
  /** Time since that answer was received, in milliseconds. */
  readonly heardAgeMs: number;
  /** Time since an answer last contained any limit, in milliseconds. */
  readonly confirmedAgeMs: number;
  /** Turn number of the owners that send to the host (see `known-limit.ts`). */
  readonly turn: number;
};
