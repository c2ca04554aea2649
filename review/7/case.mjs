/**
 * A runner of a model answers some streams with bytes without end, in chunks of one byte. See claim.txt.
 * Exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 */
import { fileURLToPath } from 'node:url';

import { call, KEY, pause, runCase, TROUBLE } from '../lib-2/harness.mjs';

const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
const ENGINE_RUNNERS = 4;
const PLAIN_RUNNERS = 3;
const ENTRY_HOSTS = 2;
const TRAFFIC_MS = 50_000;
const CALM_MS = 10_000;
const REQUESTS_PER_S = 20;
/** Every 20th answer of one group's head (x = 0.05). */
const BAD_EVERY = 20;
/** What the runner repeats: a chunk of one byte. */
const CHUNK = '1\r\nx\r\n';
const CHUNKS_PER_WRITE = 10_000;
/** `timeoutMs` of all routes; callers wait longer. */
const TIMEOUT_MS = 4_000;
const CALLER_MS = 8_000;
/** CONFIG: of the requests without an answer at the time limit, more than half have none half a second later. */
const LATE_MS = 500;
const MAX_LATE = 0.5;

await runCase(RECORD, async deployment => {
  await deployment.startStore();
  for (let place = 0; place < PLAIN_RUNNERS; place++) {
    (await deployment.addRunner('records')).answerAfterMs = 30;
  }
  for (let place = 0; place < ENGINE_RUNNERS; place++) {
    await deployment.addRunner('lm', { domain: 'a-d0' });
  }
  for (let place = 0; place < ENTRY_HOSTS; place++) {
    await deployment.addEntry();
  }
  const { entries } = deployment;
  await Promise.all(entries.map(entry => entry.untilReady()));
  await deployment.until(
    'groups are open',
    () => deployment.openHeads().length === ENGINE_RUNNERS / 2,
  );
  const [faulty] = deployment.openHeads();
  let answers = 0;
  let badAnswers = 0;
  const beginTrouble = () => {
    deployment.note(`the trouble begins at ${faulty.id}`);
    faulty.answerWriter = ({ request, response, id, stamp }) => {
      request.resume();
      answers += 1;
      if (answers % BAD_EVERY !== 1) {
        const body = [1, 2, 3, 4, 5, 6]
          .filter(number => number > Number(request.headers['last-event-id'] ?? 0))
          .map(number => `id: ${number}\ndata: piece\n\n`)
          .join('');
        response
          .writeHead(200, {
            'hingescale-request-id': id,
            'hingescale-runner-stamp': stamp,
            'content-type': 'text/event-stream',
          })
          .end(body);
        return;
      }
      badAnswers += 1;
      deployment.note(`${faulty.id} answers ${id} without end`);
      pourTinyChunks(request.socket, id, stamp);
    };
  };
  const answered = [];
  const readiness = new Map(
    entries.map(entry => [entry.name, { asked: 0, missed: 0, inRow: 0, mostInRow: 0 }]),
  );
  let isOver = false;
  // The platform asks each second whether a machine is ready.
  const balancer = Promise.all(
    entries.map(async entry => {
      const seen = readiness.get(entry.name);
      while (!isOver) {
        const status = await entry.readiness(1_000);
        seen.asked += 1;
        seen.missed += status === 200 ? 0 : 1;
        seen.inRow = status === 200 ? 0 : seen.inRow + 1;
        seen.mostInRow = Math.max(seen.mostInRow, seen.inRow);
        await pause(status === 200 ? 1_000 : 0);
      }
    }),
  );
  const pending = new Set();
  const startedAt = Date.now();
  for (let number = 0; Date.now() - startedAt < TRAFFIC_MS; number++) {
    if (TROUBLE && faulty.answerWriter === undefined && Date.now() - startedAt > CALM_MS) {
      beginTrouble();
    }
    const entry = entries[number % ENTRY_HOSTS];
    const request =
      number % 4 < 2
        ? { path: '/chat/x', model: 'm2' }
        : number % 4 === 2
          ? { path: '/write/x' }
          : { path: '/read/x', method: 'GET' };
    const sent = call(entry.callersPort, {
      ...request,
      id: `c${number}`,
      key: KEY,
      deadlineMs: CALLER_MS,
    }).then(answer => {
      pending.delete(sent);
      answered.push({ ...answer, entry: entry.name, ms: answer.endedAt - answer.sentAt });
      if (answer.status !== 200) {
        deployment.note(
          `${answer.id} ${answer.path} to ${entry.name}: ${answer.status} ${answer.error ?? ''} after ${answer.endedAt - answer.sentAt} ms`,
        );
      }
    });
    pending.add(sent);
    await pause(1000 / REQUESTS_PER_S);
  }
  await Promise.all(pending);
  isOver = true;
  await balancer;
  const open = answered.filter(({ ms }) => ms > TIMEOUT_MS);
  const late = open.filter(({ ms }) => ms > TIMEOUT_MS + LATE_MS);
  const served = answered.filter(({ status }) => status === 200).length;
  deployment.note(
    `requests ${answered.length}, served ${served}; answers without end: ${badAnswers}; readiness ${JSON.stringify(Object.fromEntries(readiness))}`,
  );
  const isBroken = late.length > open.length * MAX_LATE;
  deployment.note(
    `${open.length} requests had no answer at ${TIMEOUT_MS} ms, ${late.length} of them none ${LATE_MS} ms later; CONFIG ${isBroken ? 'was broken' : 'held'}`,
  );
  return isBroken ? 1 : 0;
});

function pourTinyChunks(socket, id, stamp) {
  const piece = Buffer.from(CHUNK.repeat(CHUNKS_PER_WRITE));
  socket.on('error', () => undefined);
  socket.write(
    `HTTP/1.1 200 OK\r\nHingescale-Request-Id: ${id}\r\nHingescale-Runner-Stamp: ${stamp}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
  );
  const pour = () => {
    let hasRoom = true;
    while (hasRoom && !socket.destroyed) {
      hasRoom = socket.write(piece);
    }
    socket.once('drain', pour);
  };
  pour();
}
