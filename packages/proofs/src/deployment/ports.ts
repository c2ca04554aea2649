/**
 * Free addresses on loopback, with ports assigned by the kernel.
 *
 * Each address has its own loopback IP. Outgoing connections use 127.0.0.1, so none of them can take a
 * port between the moment it is assigned and the moment its process listens on it.
 */
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

/** Addresses come from 127.16.0.0 to 127.255.255.255: the process id selects a block, a counter the IP in it. */
const FIRST_BLOCK = 16;
const BLOCK_COUNT = 240;
const ADDRESSES_PER_BLOCK = 60_000;
let allocatedIps = 0;

/** Allocates a loopback IP from a counter; where the counter gives an IP that ends in .0, it ends in .1 instead. */
export function loopbackIp(): string {
  const block = FIRST_BLOCK + (process.pid % BLOCK_COUNT);
  const number = 256 + (allocatedIps++ % ADDRESSES_PER_BLOCK);
  return `127.${block}.${number >> 8}.${number & 255 || 1}`;
}

/** Finds a free `ip:port`; the port is released again before this returns. */
export async function freeAddress(): Promise<string> {
  const ip = loopbackIp();
  const server = createServer();
  await new Promise<void>(resolve => {
    server.listen(0, ip, resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise<void>(resolve => {
    server.close(() => {
      resolve();
    });
  });
  return `${ip}:${port}`;
}

/** Finds the given number of different free addresses. */
export function freeAddresses(count: number): Promise<string[]> {
  return Promise.all(Array.from({ length: count }, freeAddress));
}
