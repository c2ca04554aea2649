/** Guards against taking an answer for late that waited in a socket while this process did not run. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Worker } from 'node:worker_threads';

import { expect } from 'chai';
import { request } from 'undici';

import { afterTurn, monotonicMs, sleep, timeoutSignal } from './clock.js';

const LIMIT_MS = 120;

/** Does not let the event loop turn, as a suspension of the process does. */
function block(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

describe('time limits of a process that did not run', () => {
  it('let an answer pass that had come before they were looked at', async () => {
    const answers = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const path = new URL('./testing/late-answer.js', import.meta.url).pathname;
    const worker = new Worker(path, { workerData: answers });
    const port = await new Promise<number>(resolve => worker.once('message', resolve));
    const url = `http://127.0.0.1:${port}/`;
    // Opens the connection, so that only the answer is left to be read.
    await (await request(url)).body.dump();
    while (Atomics.load(answers, 0) === 0) {
      await sleep(1);
    }
    const answered = request(url, { signal: timeoutSignal(LIMIT_MS) });
    await sleep(5);
    // The event loop stands still until the answer is there and the limit is over, and runs timers next: so it does
    // after a suspension in the middle of a wait for sockets.
    await new Promise(resolve => setImmediate(resolve));
    Atomics.wait(answers, 0, 1);
    block(LIMIT_MS);
    expect((await answered).statusCode).to.equal(200);
    await worker.terminate();
  });

  it('end a call that is not answered', async () => {
    const server = createServer(() => undefined);
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const startedAt = monotonicMs();
    const call = request(`http://127.0.0.1:${port}/`, { signal: timeoutSignal(LIMIT_MS) });
    const error = await call.catch((reason: unknown) => reason);
    expect(error).to.include({ name: 'TimeoutError' });
    expect(monotonicMs() - startedAt).to.be.within(LIMIT_MS - 5, 5 * LIMIT_MS);
    server.closeAllConnections();
    server.close();
  });

  it('can be taken back until they have called', async () => {
    let calls = 0;
    const limit = afterTurn(() => (calls += 1), 5);
    block(20);
    setTimeout(() => {
      limit.cancel();
    }, 0);
    await sleep(40);
    expect(calls).to.be.at.most(1);
    const other = afterTurn(() => (calls += 10), 5);
    other.cancel();
    await sleep(20);
    expect(calls).to.be.at.most(1);
  });
});
