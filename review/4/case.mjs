/**
 * One of three runners of a plain service now and then answers with bytes without end: a body in chunks of one byte, until
 * the caller closes. See claim.txt. Exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 */
import { fileURLToPath } from 'node:url';

import { call, KEY, pause, runCase, TROUBLE } from '../lib-2/harness.mjs';

const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
const ENTRY_HOSTS = 3;
const RUNNERS = 3;
/** Time in which the platform starts a process again, in milliseconds. */
const RESTART_MS = 500;
/** Every 20th answer of the one runner in trouble (x = 0.05); largest dose of `garble` in the site file: 0.05 of the answers of 0.5 of the runners. */
const BAD_PART = 0.05;
const TRAFFIC_MS = 70_000;
const CALM_MS = 8_000;
const REQUESTS_PER_S = 40;
/** Fault: processes end by themselves three times on a tenth of the machines in use, two at least. */
const MAX_ENDS = 3;
const MIN_MACHINES = 2;

await runCase(RECORD, async deployment => {
  await deployment.startStore();
  let inTrouble = false;
  let badAnswers = 0;
  const run = new Map();
  for (let place = 0; place < RUNNERS; place++) {
    const runner = await deployment.addRunner('records');
    let answers = 0;
    runner.answerWriter = ({ request, response, id, stamp }) => {
      run.set(id, (run.get(id) ?? 0) + 1);
      request.resume();
      answers += 1;
      const isBad = place === 0 && inTrouble && answers % Math.round(1 / BAD_PART) === 0;
      const head = { 'hingescale-request-id': id, 'hingescale-runner-stamp': stamp };
      if (!isBad) {
        const body = `answer to ${id}`;
        setTimeout(
          () => response.writeHead(200, { ...head, 'content-length': body.length }).end(body),
          30,
        );
        return;
      }
      badAnswers += 1;
      deployment.note(`runner ${runner.id} answers ${id} without end`);
      pourTinyChunks(request.socket, id, stamp, bytes =>
        deployment.note(`answer to ${id}: its caller closed after ${bytes} bytes`),
      );
    };
  }
  for (let place = 0; place < ENTRY_HOSTS; place++) {
    await deployment.addEntry();
  }
  const { entries } = deployment;
  await Promise.all(entries.map(entry => entry.untilReady()));
  const ends = new Map(entries.map(entry => [entry.name, 0]));
  // The platform: starts a process that has ended again.
  let isOver = false;
  const platform = Promise.all(
    entries.map(async entry => {
      while (!isOver) {
        if (entry.ended !== undefined) {
          const { code, signal } = entry.ended;
          ends.set(entry.name, ends.get(entry.name) + 1);
          const cause = entry.log.split('\n').find(line => line.includes('FATAL ERROR')) ?? '';
          deployment.note(
            `${entry.name} ended by itself: code ${code}, signal ${signal}; ${cause}`,
          );
          entry.log = '';
          await pause(RESTART_MS);
          entry.start();
        }
        await pause(20);
      }
    }),
  );
  const totals = new Map();
  const pending = new Set();
  const startedAt = Date.now();
  for (let number = 0; Date.now() - startedAt < TRAFFIC_MS; number++) {
    if (TROUBLE && !inTrouble && Date.now() - startedAt > CALM_MS) {
      inTrouble = true;
      deployment.note('the trouble begins');
    }
    const entry = entries[number % ENTRY_HOSTS];
    const isWrite = number % 4 !== 0;
    const sent = call(entry.callersPort, {
      path: isWrite ? '/write/x' : '/read/x',
      method: isWrite ? 'POST' : 'GET',
      id: `c${number}`,
      key: KEY,
    }).then(({ id, status, error = '' }) => {
      pending.delete(sent);
      const outcome = `${status}${error === '' ? '' : ` ${error}`}`;
      totals.set(outcome, (totals.get(outcome) ?? 0) + 1);
      if (status !== 200) {
        deployment.note(`${id} to ${entry.name}: ${outcome}; runs: ${run.get(id) ?? 0}`);
      }
    });
    pending.add(sent);
    await pause(1000 / REQUESTS_PER_S);
    if ([...ends.values()].filter(count => count >= MAX_ENDS).length >= MIN_MACHINES) {
      break;
    }
  }
  await Promise.all(pending);
  isOver = true;
  await platform;
  const broken = [...ends.values()].filter(count => count >= MAX_ENDS).length >= MIN_MACHINES;
  deployment.note(
    `answers by status: ${JSON.stringify(Object.fromEntries(totals))}; answers without end: ${badAnswers}`,
  );
  deployment.note(
    `ends by themselves: ${JSON.stringify(Object.fromEntries(ends))}; the rule ${broken ? 'was broken' : 'held'}`,
  );
  return broken ? 1 : 0;
});

function pourTinyChunks(socket, id, stamp, closed) {
  const piece = Buffer.from('1\r\nx\r\n'.repeat(2000));
  let bytes = 0;
  socket.on('error', () => undefined);
  socket.once('close', () => closed(bytes));
  socket.write(
    `HTTP/1.1 200 OK\r\nHingescale-Request-Id: ${id}\r\nHingescale-Runner-Stamp: ${stamp}\r\nTransfer-Encoding: chunked\r\n\r\n`,
  );
  const pour = () => {
    let hasRoom = true;
    while (hasRoom && !socket.destroyed) {
      bytes += piece.length;
      hasRoom = socket.write(piece);
    }
    socket.once('drain', pour);
  };
  pour();
}
