/**
 * Guards against time limits that reject an answer as late although it had arrived: it waited in a socket while this
 * process did not run.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Worker } from 'node:worker_threads';

import { expect } from 'chai';
import { request } from 'undici';

import { afterTurn, monotonicMs, sleep, timeoutSignal } from './clock.js';

const LIMIT_MS = 120;

/** Blocks the event loop for a time in milliseconds, as a suspension of the process does. */
function block(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

describe('time limits of a process that did not run', () => {
  it('accept an answer that arrived before the limit was checked', async () => {
    const deliveredAnswers = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const path = new URL('./testing/late-answer.js', import.meta.url).pathname;
    const worker = new Worker(path, { workerData: deliveredAnswers });
    const port = await new Promise<number>(resolve => worker.once('message', resolve));
    const url = `http://127.0.0.1:${port}/`;
    // The first request opens the connection, so that the second has only its answer to read.
    await (await request(url)).body.dump();
    while (Atomics.load(deliveredAnswers, 0) === 0) {
      await sleep(1);
    }
    const pendingAnswer = request(url, { signal: timeoutSignal(LIMIT_MS) });
    await sleep(5);
    // Blocks the event loop until the answer has arrived and the limit has passed. The loop runs timers next, as it does
    // after a suspension during its wait for sockets.
    await new Promise(resolve => setImmediate(resolve));
    Atomics.wait(deliveredAnswers, 0, 1);
    block(LIMIT_MS);
    expect((await pendingAnswer).statusCode).to.equal(200);
    await worker.terminate();
  });

  it('abort a call that is not answered', async () => {
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

  it('can be cancelled until their callback has run', async () => {
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
