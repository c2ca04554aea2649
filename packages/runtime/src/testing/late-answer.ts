/** A worker with an HTTP server that tells through shared memory how many answers have left it. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';

const ANSWER_MS = 30;
/** Time in which an answer crosses loopback, in milliseconds. */
const ON_ITS_WAY_MS = 50;

const answers = workerData as Int32Array;
const server = createServer((_request, response) => {
  response.once('finish', () => {
    setTimeout(() => {
      Atomics.add(answers, 0, 1);
      Atomics.notify(answers, 0);
    }, ON_ITS_WAY_MS);
  });
  setTimeout(() => response.end('ok'), ANSWER_MS);
});
server.listen(0, '127.0.0.1', () => {
  parentPort?.postMessage((server.address() as AddressInfo).port);
});
