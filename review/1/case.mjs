/**
 * A planned stop of one entry host while callers keep their connections. Exits with 1 if LOST was broken, 0 if it held,
 * 2 if the case could not run.
 */
import { writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { oneConnection, sendStream } from '../lib/client.mjs';
import { Deployment, sleep } from '../lib/deployment.mjs';
import { configuration, KEY, MODEL, modelRunner, SITE } from '../lib/site.mjs';

const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
const TROUBLE = process.env.TROUBLE !== '0';
const CLIENTS_PER_ZONE = 16;
/** 27 events, as the sheet says, 180 ms apart: below the `gapTargetMs` of 300. */
const EVENTS = 27;
const EVENT_MS = 180;
const DEADLINE_MS = 8_000;
const WARM_UP_MS = 9_000;
const GRACE_MS = SITE.bounds.graceS * 1_000;
const AFTER_MS = GRACE_MS + 4_000;

const deployment = new Deployment(SITE);
const records = [];
let isOver = false;

async function runClient(zone) {
  // Starts at a random phase, so that the streams end at different times.
  await sleep(Math.random() * EVENTS * EVENT_MS);
  while (!isOver) {
    const entry = deployment.entryFor(zone);
    if (entry === undefined) {
      await sleep(100);
      continue;
    }
    const agent = oneConnection();
    let isUsable = true;
    while (isUsable && !isOver) {
      const record = await sendStream({
        agent,
        entry,
        path: '/dispute/2f',
        key: KEY,
        model: MODEL.name,
        events: EVENTS,
        eventMs: EVENT_MS,
        deadlineMs: DEADLINE_MS,
      });
      records.push(record);
      isUsable = record.status === 200 && record.isComplete && !record.hasCloseHeader;
      await sleep(2);
    }
    agent.destroy();
    await sleep(50);
  }
}

/** How LOST sees a request: undefined if its answer was complete or if the rule excuses it. */
function lossOf(record, stoppedAt) {
  const { requestId, sentAt, endedAt, ids, status, isComplete, error } = record;
  const isWhole = isComplete && (status !== 200 || ids.length === EVENTS);
  const isInWindow = endedAt >= stoppedAt && endedAt <= stoppedAt + GRACE_MS + 1_000;
  if (isWhole || !isInWindow || error === 'deadline') {
    return undefined;
  }
  const ofRequest = deployment.runs.filter(run => run.requestId === requestId);
  const begun = ofRequest.find(({ kind }) => kind === 'run');
  if (begun === undefined) {
    return undefined;
  }
  const runnerEnd = ofRequest.find(({ kind }) => kind === 'run-end');
  if (runnerEnd?.how === 'cut') {
    return undefined;
  }
  const lastSixth = stoppedAt + (GRACE_MS * 5) / 6;
  const wasAtWork = runnerEnd === undefined || runnerEnd.at >= lastSixth;
  return sentAt <= stoppedAt + 3_000 && wasAtWork ? undefined : { record, begun, runnerEnd };
}

async function play() {
  const zones = Object.keys(SITE.zones);
  await deployment.start(configuration(1));
  for (const zone of zones) {
    for (let count = 0; count < 4; count += 1) {
      await deployment.addRunner(modelRunner(zone, `${zone}-d0`));
    }
    await deployment.addEntryHost(zone);
  }
  deployment.startBalancer();
  await deployment.until(
    'all entry hosts are in',
    () => deployment.entries.every(e => e.isIn),
    20_000,
  );
  await deployment.until('groups are open', () => deployment.openHeads().length >= 6, 20_000);
  const clients = zones.flatMap(zone =>
    Array.from({ length: CLIENTS_PER_ZONE }, () => runClient(zone)),
  );
  await sleep(WARM_UP_MS);
  const [stopped] = deployment.entries;
  const stoppedAt = Date.now();
  if (TROUBLE) {
    stopped.child.once('exit', () => deployment.startEntry(stopped));
    stopped.child.kill('SIGTERM');
  }
  await sleep(AFTER_MS);
  isOver = true;
  await Promise.race([Promise.all(clients), sleep(DEADLINE_MS + 1_000)]);
  return { stopped, stoppedAt };
}

function report({ stopped, stoppedAt }) {
  const ofStopped = records.filter(record => record.entry === stopped.name);
  const losses = ofStopped.flatMap(record => lossOf(record, stoppedAt) ?? []);
  const since = at => `${at - stoppedAt} ms`;
  const lines = records.map(
    record =>
      `sent ${since(record.sentAt)} id ${record.requestId} to ${record.entry} ` +
      `reused ${record.isReused} status ${record.status} events ${record.ids.length} of ${EVENTS} ` +
      `complete ${record.isComplete} close ${record.hasCloseHeader} ended ${since(record.endedAt)} ` +
      `${record.error ?? ''}`,
  );
  const runLines = deployment.runs.map(
    run => `${run.kind} ${since(run.at)} id ${run.requestId} at ${run.runner} ${run.how ?? ''}`,
  );
  const lossLines = losses.map(
    ({ record, begun, runnerEnd }) =>
      `LOST id ${record.requestId}: sent ${since(record.sentAt)} after SIGTERM on a kept connection ` +
      `(${record.isReused}), began to run ${since(begun.at)}, ${record.ids.length} of ${EVENTS} events, ` +
      `connection ended ${since(record.endedAt)} (${record.error ?? 'closed'}), ` +
      `runner ${runnerEnd?.how ?? 'at work'} ${runnerEnd === undefined ? '' : since(runnerEnd.at)}`,
  );
  const late = ofStopped.filter(({ sentAt }) => sentAt > stoppedAt + 3_000);
  const summary = [
    `times are relative to ${TROUBLE ? 'the SIGTERM' : 'the moment without a SIGTERM'} of ${stopped.name}`,
    `requests ${records.length}, complete ${records.filter(r => r.isComplete).length}`,
    `sent to ${stopped.name} later than 3 s after that moment: ${late.length}`,
    `lost as the rule counts: ${losses.length}`,
  ];
  const text = [...summary, ...lossLines, '', ...lines, '', ...runLines].join('\n');
  writeFileSync(RECORD, `${text}\n`);
  console.log(summary.join('\n'));
  return losses.length;
}

let code = 2;
try {
  const played = await play();
  const lost = report(played);
  const isSound = records.some(({ isComplete }) => isComplete);
  code = isSound ? Number(lost > 0) : 2;
} catch (error) {
  console.error(error);
}
await deployment.stop();
process.exit(code);
