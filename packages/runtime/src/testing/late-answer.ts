/** A worker with an HTTP server that counts in shared memory how many of its answers have reached the client's socket. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';

/** Time after which a request is answered, in milliseconds. */
const ANSWER_DELAY_MS = 30;
/** Time allowed for an answer to cross loopback, in milliseconds. */
const DELIVERY_MS = 50;

const deliveredAnswers = workerData as Int32Array;
const server = createServer((_request, response) => {
  response.once('finish', () => {
    setTimeout(() => {
      Atomics.add(deliveredAnswers, 0, 1);
      Atomics.notify(deliveredAnswers, 0);
    }, DELIVERY_MS);
  });
  setTimeout(() => response.end('ok'), ANSWER_DELAY_MS);
});
server.listen(0, '127.0.0.1', () => {
  parentPort?.postMessage((server.address() as AddressInfo).port);
});
