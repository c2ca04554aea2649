/** Limits on what callers may use of this host, derived from its machine. Pure functions. */

/** What the process may use of its machine. */
export type MachineSettings = {
  /** Memory, in MB. */
  readonly memoryMb: number;
  /** Descriptors: files, connections and listening sockets. */
  readonly descriptors: number;
};

/** What callers may use. */
export type CallerResources = {
  /** Memory for requests and answers in progress, in bytes. */
  readonly memoryBytes: number;
  /** Connections at the address for callers. */
  readonly connections: number;
  /** Connections at each of the addresses for readiness, metrics and forwarded requests. */
  readonly sideConnections: number;
};

const BYTES_PER_MB = 1024 * 1024;
/** Part of the memory that requests and answers in progress may use, 0 to 1. */
const MEMORY_PART = 0.15;
/** Part of the memory that the connections themselves may use, 0 to 1. */
const CONNECTIONS_MEMORY_PART = 0.18;
/** Memory of a connection without a request, in bytes. */
const BYTES_PER_CONNECTION = 16 * 1024;
/** Part of the descriptors for connections of callers, 0 to 1. The others are for hosts, peers, the store and files. */
const CALLERS_PART = 0.7;
/** Part of the descriptors for each of the other addresses, 0 to 1. */
const SIDE_PART = 0.08;

/** Derives the limits. */
export function callerResources({ memoryMb, descriptors }: MachineSettings): CallerResources {
  const memoryBytes = memoryMb * BYTES_PER_MB;
  const affordable = (memoryBytes * CONNECTIONS_MEMORY_PART) / BYTES_PER_CONNECTION;
  return {
    memoryBytes: Math.floor(memoryBytes * MEMORY_PART),
    connections: Math.floor(Math.min(descriptors * CALLERS_PART, affordable)),
    sideConnections: Math.floor(Math.min(descriptors * SIDE_PART, affordable)),
  };
}
