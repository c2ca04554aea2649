/**
 * Source addresses of outgoing connections.
 *
 * The operating system chooses the source port. While the connection is open and for a minute after its close (TIME_WAIT), no
 * process can listen at that port, unless the connection was bound with `SO_REUSEADDR` before. Node.js sets this
 * option where a source address is given.
 */
import { isIP } from 'node:net';

const ANY_IPV4 = '0.0.0.0';
const ANY_IPV6 = '::';

/** Options of a connection whose source port does not keep other processes from listening at it. */
export type ReusableSource = { readonly localAddress?: string };

/** Options for a connection to an IP address; empty for a host name, whose address family is not known. */
export function reusableSource(host: string | undefined): ReusableSource {
  switch (isIP(host ?? '')) {
    case 4:
      return { localAddress: ANY_IPV4 };
    case 6:
      return { localAddress: ANY_IPV6 };
    default:
      return {};
  }
}
