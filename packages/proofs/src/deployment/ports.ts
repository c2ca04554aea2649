/** Free ports, given out by the kernel. */
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

/** A free `127.0.0.1:port`; it is held only for the moment of asking. */
export async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise<void>(resolve => {
    server.close(() => {
      resolve();
    });
  });
  return `127.0.0.1:${port}`;
}

/** So many different free addresses. */
export async function freeAddresses(count: number): Promise<string[]> {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map(
      server =>
        new Promise<void>(resolve => {
          server.listen(0, '127.0.0.1', resolve);
        }),
    ),
  );
  const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
  await Promise.all(
    servers.map(
      server =>
        new Promise<void>(resolve => {
          server.close(() => {
            resolve();
          });
        }),
    ),
  );
  return addresses;
}
