import { copyFileSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { connect } from 'node:tls';
import { fileURLToPath } from 'node:url';

import { expect } from 'chai';

import { splitAddress } from './address.js';
import { sleep } from './clock.js';
import { createApp, DEFAULT_HTTP_LIMITS, listenHttp } from './http-server.js';
import { tlsFiles } from './tls.js';

const FIXTURES = join(dirname(fileURLToPath(import.meta.url)), '../../proofs/fixtures');

describe('TLS', () => {
  it('uses a new certificate for new connections and interrupts no stream', async () => {
    const directory = mkdtempSync(join(tmpdir(), 'hingescale-tls-'));
    const files = { certificate: join(directory, 'cert.pem'), key: join(directory, 'key.pem') };
    install('first', files);
    const app = createApp();
    app.get('/stream', (_request, response) => {
      response.write('begin ');
    });
    const limits = { ...DEFAULT_HTTP_LIMITS, tls: files };
    const server = await listenHttp(app, '127.0.0.1:0', limits);
    const before = await subjectOf(server.address);
    install('second', files);
    let after = before;
    while (after.name === before.name) {
      await sleep(100);
      const next = await subjectOf(server.address);
      after = next;
      if (next.name === before.name) {
        next.socket.destroy();
      }
    }
    expect([before.name, after.name]).to.deep.equal([
      'first.hingescale.example',
      'second.hingescale.example',
    ]);
    expect(before.socket.destroyed).to.equal(false);
    await server.stop();
  });

  it('refuses a certificate without a key, but accepts settings without either', () => {
    expect(() => tlsFiles('cert.pem', undefined)).to.throw('must be given together');
    expect(tlsFiles(undefined, undefined)).to.equal(undefined);
  });
});

function install(name: string, files: { certificate: string; key: string }): void {
  copyFileSync(join(FIXTURES, `${name}.key.pem`), files.key);
  copyFileSync(join(FIXTURES, `${name}.cert.pem`), files.certificate);
}

function subjectOf(address: string): Promise<{ name: string; socket: ReturnType<typeof connect> }> {
  return new Promise((resolve, reject) => {
    const socket = connect({ ...splitAddress(address), rejectUnauthorized: false }, () => {
      const name = String(socket.getPeerCertificate().subject.CN);
      socket.once('data', () => {
        resolve({ name, socket });
      });
      socket.write('GET /stream HTTP/1.1\r\nHost: x\r\n\r\n');
    });
    socket.on('error', reject);
  });
}
