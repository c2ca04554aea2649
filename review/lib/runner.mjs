/**
 * A stand-in of one runner, in a process of its own (PROTOCOL.md, "Runners" and the part on groups under "Requests").
 * The process that starts it keeps its entry in the store and hears by messages what it runs.
 */
import { createServer } from 'node:http';

const options = JSON.parse(process.argv[2]);
const { id, ip, service, zone, domain, slots, models = [], stallMs, loadFactor } = options;
const queueLength = 2 * slots;

let sequence = 0;
let highestEpoch = 0;
let group;
let model;
let lastModel;
let staged = options.staged ?? [];
let port = 0;
/** Share of the answers that are sent without a length, and end with their connection. */
let unframedPart = 0;
let standsStill = false;
let stallTimer;
let running = 0;
const waiting = [];
const open = new Set();

const tell = message => process.send(message);

function publish() {
  const base = {
    service,
    address: `${ip}:${port}`,
    zone,
    version: 'v1',
    slots,
    state: 'ready',
    coldLeftMs: 0,
    callSeq: sequence,
  };
  const engine =
    domain === undefined
      ? {}
      : {
          stage: 'both',
          domain,
          staged,
          models: model === undefined ? [] : [{ name: model, version: 1, adapters: [] }],
          group: group && { ...group, members: undefined },
        };
  tell({ kind: 'entry', entry: { ...base, ...engine }, members: group?.members });
}

function setGroup(next) {
  group = next;
  clearTimeout(stallTimer);
  standsStill = false;
  publish();
}

function join(order) {
  const { group: name, epoch, model: wanted, members } = order;
  if (group?.name === name && group.epoch === epoch) {
    return JSON.stringify(group.members) === JSON.stringify(members) ? 200 : 412;
  }
  if (epoch < highestEpoch) {
    return 412;
  }
  const known = models.find(candidate => candidate.name === wanted);
  if (known === undefined || !members.includes(id)) {
    return 400;
  }
  highestEpoch = epoch;
  sequence += 1;
  const isLoaded = lastModel === wanted;
  const isStaged = staged.includes(wanted);
  const seconds = isLoaded ? 0.2 : isStaged ? known.warmS : known.loadS * loadFactor;
  model = wanted;
  lastModel = wanted;
  const next = { name, epoch, rank: members.indexOf(id), state: 'joining', members };
  setGroup(next);
  setTimeout(() => {
    if (group === next) {
      staged = [wanted];
      next.state = 'ready';
      publish();
    }
  }, seconds * 1_000);
  return 202;
}

function execute(order) {
  if (order.expectRev !== undefined && order.expectRev !== sequence) {
    return 409;
  }
  const isMine = group?.name === order.group && group?.epoch === order.epoch;
  switch (order.op) {
    case 'join':
      return join(order);
    case 'open': {
      if (!isMine || group.rank !== 0) {
        return 409;
      }
      if (group.state === 'open') {
        return 200;
      }
      if (group.state !== 'ready') {
        return 409;
      }
      sequence += 1;
      const opened = group;
      setTimeout(() => {
        if (group === opened) {
          opened.state = 'open';
          publish();
        }
      }, options.formMs);
      return 202;
    }
    case 'close':
      if (!isMine || group.state !== 'open') {
        return 409;
      }
      sequence += 1;
      group.state = 'closing';
      publish();
      finishClosing();
      return 202;
    case 'leave':
      if (!isMine) {
        return 200;
      }
      sequence += 1;
      model = undefined;
      [...open].forEach(run => run.cut());
      setGroup(undefined);
      return 200;
    case 'stage': {
      const known = models.find(candidate => candidate.name === order.model);
      if (known === undefined) {
        return 400;
      }
      sequence += 1;
      setTimeout(() => {
        staged = [order.model];
        publish();
      }, known.loadS * 1_000);
      return 202;
    }
    default:
      return 400;
  }
}

function finishClosing() {
  if (group?.state === 'closing' && open.size === 0) {
    group.state = 'ready';
    publish();
  }
}

function admit() {
  while (running < slots && waiting.length > 0) {
    const start = waiting.shift();
    running += 1;
    start();
  }
}

/** Serves one request: waits for a slot, then sends the answer piece by piece. */
function serve(request, response, body) {
  const requestId = request.headers['hingescale-request-id'];
  const head = {
    'hingescale-request-id': requestId,
    'hingescale-weight-versions': '1',
  };
  const reject = status => {
    response.writeHead(status, { ...head, 'hingescale-not-executed': '1', 'content-length': 0 });
    response.end();
  };
  if (waiting.length >= queueLength) {
    reject(503);
    return;
  }
  const { events, eventMs } = JSON.parse(body);
  const after = Number(request.headers['last-event-id'] ?? 0);
  const deadline = Date.now() + Number(request.headers['hingescale-deadline-ms'] ?? 60_000);
  const isUnframed = Math.random() < unframedPart;
  let timer;
  let hasBegun = false;
  const end = how => {
    clearTimeout(timer);
    open.delete(run);
    const at = waiting.indexOf(begin);
    if (at >= 0) {
      waiting.splice(at, 1);
    } else {
      running -= 1;
    }
    tell({ kind: 'run-end', requestId, runner: id, how, at: Date.now() });
    admit();
    finishClosing();
  };
  const run = {
    cut: () => {
      end('cut');
      response.destroy();
    },
    refuse: () => {
      if (hasBegun) {
        run.cut();
      } else {
        end('not run');
        reject(503);
      }
    },
  };
  const sendFrom = event => {
    timer = setTimeout(() => {
      if (standsStill) {
        sendFrom(event);
        return;
      }
      if (Date.now() > deadline) {
        run.cut();
        return;
      }
      if (!hasBegun) {
        hasBegun = true;
        tell({ kind: 'run', requestId, runner: id, after, isUnframed, at: Date.now() });
        const stamp = { ...head, 'hingescale-runner-stamp': `${id}.${sequence}` };
        if (isUnframed) {
          // Neither a length nor chunks: the end of the connection is the end of the answer.
          response.useChunkedEncodingByDefault = false;
          response.shouldKeepAlive = false;
        }
        response.writeHead(200, { ...stamp, 'content-type': 'text/event-stream' });
      }
      if (event <= events) {
        response.write(`id: ${event}\ndata: piece ${event} of ${requestId}\n\n`);
        sendFrom(event + 1);
      } else {
        response.end();
        end('whole');
      }
    }, eventMs);
  };
  const begin = () => sendFrom(after + 1);
  open.add(run);
  response.on('close', () => {
    if (open.has(run)) {
      end('left');
    }
  });
  waiting.push(begin);
  admit();
}

const server = createServer((request, response) => {
  const chunks = [];
  request.on('data', chunk => chunks.push(chunk));
  request.on('error', () => undefined);
  request.on('end', () => {
    const body = Buffer.concat(chunks).toString('utf8');
    const expected = request.headers['hingescale-expect-runner'];
    const answer = (status, value) => {
      const text = value === undefined ? '' : JSON.stringify(value);
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
        'hingescale-runner-id': id,
      });
      response.end(text);
    };
    if (expected !== undefined && expected !== id) {
      answer(421);
    } else if (request.url === '/hingescale/report') {
      answer(200, {
        stage: 'both',
        models: model === undefined ? [] : [{ name: model, version: 1, adapters: [] }],
        busy: group?.state === 'joining',
        callSeq: sequence,
        waiting: waiting.length,
        running,
        kvUsed: 0,
        kvTotal: 90_000,
        handles: 0,
        pace: 1,
        domain,
        staged,
        group: group && { ...group, members: undefined },
      });
    } else if (request.url === '/hingescale/order') {
      const order = JSON.parse(body);
      const status = execute(order);
      tell({ kind: 'order', runner: id, order, status, at: Date.now() });
      answer(status);
    } else if (request.url === '/health') {
      answer(200);
    } else if (request.headers['hingescale-request-id'] === undefined) {
      response.setHeader('hingescale-not-executed', '1');
      answer(400);
    } else if (domain !== undefined && (group?.rank !== 0 || group.state !== 'open')) {
      answer(group?.state === 'broken' ? 503 : 421);
    } else {
      serve(request, response, body);
    }
  });
});
server.keepAliveTimeout = 10_000;

process.on('message', message => {
  if (message.kind === 'unframed') {
    unframedPart = message.part;
  } else if (message.kind === 'member-lost' && group?.name === message.group && !standsStill) {
    // Nothing moves any more; after `stallMs` the group is broken.
    standsStill = true;
    stallTimer = setTimeout(() => {
      group.state = 'broken';
      [...open].forEach(run => run.refuse());
      publish();
    }, stallMs);
  }
});
process.on('disconnect', () => process.exit(0));

server.listen(0, ip, () => {
  port = server.address().port;
  publish();
});
