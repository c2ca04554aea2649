/** A caller that keeps one connection and sends stream requests over it, one after the other. */
import { randomBytes } from 'node:crypto';
import { Agent, request as httpRequest } from 'node:http';

/**
 * Sends one stream request and reads its answer. Resolves with what the caller saw; `entry` is the entry host that the
 * connection leads to.
 */
export function sendStream({ agent, entry, path, key, model, events, eventMs, deadlineMs }) {
  const requestId = randomBytes(8).toString('hex');
  const record = {
    requestId,
    entry: entry.name,
    sentAt: Date.now(),
    events,
    deadlineMs,
    ids: [],
    status: undefined,
    isComplete: false,
    hasCloseHeader: false,
    error: undefined,
    endedAt: undefined,
    isReused: false,
  };
  return new Promise(resolve => {
    // The prompt differs from request to request.
    const body = JSON.stringify({ events, eventMs, prompt: requestId });
    const request = httpRequest({
      agent,
      host: entry.ip,
      port: entry.front,
      method: 'POST',
      path,
      headers: {
        host: 'models.example',
        'hingescale-request-id': requestId,
        'hingescale-model': model,
        'hingescale-token-counts': `1460,${events * 5}`,
        'hingescale-deadline-ms': String(deadlineMs),
        authorization: `Bearer ${key}`,
        'content-length': Buffer.byteLength(body),
      },
    });
    const finish = error => {
      if (record.endedAt === undefined) {
        record.endedAt = Date.now();
        record.error = error?.message;
        clearTimeout(timer);
        resolve(record);
      }
    };
    // A caller gives up at its deadline.
    const timer = setTimeout(() => {
      finish(new Error('deadline'));
      request.destroy();
    }, deadlineMs);
    request.on('error', finish);
    request.on('response', response => {
      record.status = response.statusCode;
      record.hasCloseHeader = response.headers.connection === 'close';
      let text = '';
      response.on('data', chunk => {
        text += chunk.toString('utf8');
      });
      const end = error => {
        record.isComplete = response.complete && error === undefined;
        record.ids = [...text.matchAll(/^id: (\d+)\n[^\n]*\n\n/gm)].map(([, id]) => Number(id));
        record.retryAfter = response.headers['retry-after'];
        finish(error);
      };
      response.on('end', () => end(undefined));
      response.on('error', end);
    });
    request.end(body);
    record.isReused = request.reusedSocket;
    request.on('socket', () => {
      record.isReused = request.reusedSocket;
    });
  });
}

/** An agent that keeps a single connection. */
export function oneConnection() {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}
