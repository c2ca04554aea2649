/** Socket addresses in the notation of settings. */

/** Splits `ip:port`; an IPv6 address may be written in brackets, which are dropped. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}
