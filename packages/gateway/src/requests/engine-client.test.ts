import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

import type { GroupView } from '@hingescale/core';
import { silentLog } from '@hingescale/runtime';
import {
  EndlessServer,
  strictPrefixes,
  TINY_CHUNKS,
  UnframedServer,
} from '@hingescale/runtime/testing';
import { expect } from 'chai';

import type { Attempt, AttemptEnd } from './engine-client.js';
import { EngineClient } from './engine-client.js';

const TIMEOUT_MS = 10_000;
const OWN_HEADERS = 'hingescale-request-id: s1\r\nhingescale-epoch: 3\r\n';
const SINK = { accepted: () => undefined, token: () => undefined };

const OFFSETS_DO_NOT_RISE = 'token offsets do not rise';

/** An attempt at an engine. */
function attemptAt(address: string): Attempt {
  const target = {
    group: { id: 'g1', epoch: 3, content: { model: 'm', version: '1' } },
    members: [{ host: 'h1', address }],
  } as unknown as GroupView;
  return {
    streamId: 's1',
    request: { shape: 'chat', body: {} },
    workspace: 'w',
    target,
    priority: 1,
    deadlineMs: TIMEOUT_MS,
    freshConnection: true,
    mayStart: () => true,
  } as unknown as Attempt;
}

function tokenData(token: number | string): string {
  return `{"id":"s1","token":"${token}"}`;
}

/** What an attempt brings whose engine answers with events of these ids and the end marker. */
async function readTokens(
  ids: readonly (number | string | undefined)[],
  offset?: number,
): Promise<{ readonly tokens: readonly string[]; readonly end: AttemptEnd }> {
  const events = ids.map((id, index) =>
    id === undefined ? `data: ${tokenData(index)}\n\n` : `id: ${id}\ndata: ${tokenData(id)}\n\n`,
  );
  const head = `HTTP/1.1 200 OK\r\n${OWN_HEADERS}connection: close\r\n\r\n`;
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(`${head}${events.join('')}data: [DONE]\n\n`));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const attempt = attemptAt(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  const client = new EngineClient(silentLog());
  const tokens: string[] = [];
  const sink = {
    accepted: () => undefined,
    token: (data: string) => {
      tokens.push(data);
      return undefined;
    },
  };
  const signal = AbortSignal.timeout(TIMEOUT_MS);
  const end = await (offset === undefined
    ? client.generate(attempt, sink, signal)
    : client.resume(attempt, offset, sink, signal));
  await client.close();
  server.close();
  return { tokens, end };
}

describe('a generation', () => {
  // Guards against tokens that callers get twice.
  it('is cut before a token that the engine repeats', async () => {
    for (const ids of [
      [0, 1, 1, 2],
      [0, 1, 0, 1, 2],
    ]) {
      const { tokens, end } = await readTokens(ids);
      expect(tokens).to.deep.equal([tokenData(0), tokenData(1)]);
      expect(end).to.deep.equal({ kind: 'cut', detail: OFFSETS_DO_NOT_RISE });
    }
  });

  it('is cut if it is resumed and the engine starts over', async () => {
    const { tokens, end } = await readTokens([0, 1, 2], 2);
    expect(tokens).to.deep.equal([]);
    expect(end).to.deep.equal({ kind: 'cut', detail: OFFSETS_DO_NOT_RISE });
  });

  it('is whole if its offsets rise, or its events name none', async () => {
    for (const [ids, offset] of [
      [[0, 1, 2]],
      [[2, 3], 2],
      [[], 2],
      [[undefined, undefined]],
      [['b', 'a', 'a']],
    ] as const) {
      const { tokens, end } = await readTokens(ids, offset);
      expect(tokens).to.deep.equal(ids.map((id, index) => tokenData(id ?? index)));
      expect(end).to.deep.equal({ kind: 'whole' });
    }
  });

  const chunked = 'Transfer-Encoding: chunked\r\n';
  for (const [name, head, kind, piece] of [
    ['refusal', 'HTTP/1.1 500 Failure\r\n\r\n', 'lost', undefined],
    ['event', `HTTP/1.1 200 OK\r\n${OWN_HEADERS}\r\ndata: `, 'cut', undefined],
    ['refusal in tiny chunks', `HTTP/1.1 500 Failure\r\n${chunked}\r\n`, 'lost', TINY_CHUNKS],
    ['event in tiny chunks', `HTTP/1.1 200 OK\r\n${OWN_HEADERS}${chunked}\r\n`, 'cut', TINY_CHUNKS],
  ] as const) {
    it(`ends long before its deadline if the engine sends a ${name} without an end`, async () => {
      const server = new EndlessServer(head, piece);
      const address = await server.listen();
      const client = new EngineClient(silentLog());
      const attempt = attemptAt(address);
      const startedAt = performance.now();
      const end = await client.generate(attempt, SINK, AbortSignal.timeout(TIMEOUT_MS));
      expect(end.kind).to.equal(kind);
      expect(performance.now() - startedAt).to.be.below(TIMEOUT_MS / 2);
      await client.close();
      server.close();
    }).timeout(2 * TIMEOUT_MS);
  }

  // Guards against a part of a stream whose connection has ended in order, as it does when its process ends.
  it('is cut if its stream ends early in order', async () => {
    const server = new UnframedServer();
    const attempt = attemptAt(await server.listen());
    const client = new EngineClient(silentLog());
    const generate = async (): Promise<string> => {
      const signal = AbortSignal.timeout(TIMEOUT_MS);
      return (await client.generate(attempt, SINK, signal)).kind;
    };
    server.status = `200 OK\r\n${OWN_HEADERS.trimEnd()}`;
    const whole = 'data: {"id":"s1","n":1}\n\ndata: [DONE]\n\n';
    for (const part of strictPrefixes(whole)) {
      server.body = part;
      expect(await generate(), part).to.equal('cut');
    }
    server.body = whole;
    expect(await generate()).to.equal('whole');
    await client.close();
    server.close();
  });
});
