/**
 * Free addresses on loopback, with ports given out by the kernel.
 *
 * Each address has a loopback IP of its own. Connections that go out use 127.0.0.1, so none of them
 * can take a port between the moment it is given out and the moment its process listens.
 */
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

/** IPs 127.16.0.0 to 127.255.255.255 are handed out, by process and in turn. */
const FIRST_BLOCK = 16;
const BLOCKS = 240;
const ADDRESSES_PER_BLOCK = 60_000;
let handedOut = 0;

/** A loopback IP that this process has not handed out before. */
export function loopbackIp(): string {
  const block = FIRST_BLOCK + (process.pid % BLOCKS);
  const number = 256 + (handedOut++ % ADDRESSES_PER_BLOCK);
  return `127.${block}.${number >> 8}.${number & 255 || 1}`;
}

/** A free `ip:port`; it is held only for the moment of asking. */
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

/** So many different free addresses. */
export function freeAddresses(count: number): Promise<string[]> {
  return Promise.all(Array.from({ length: count }, freeAddress));
}
