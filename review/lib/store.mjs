/** A small stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"). It is never disturbed. */
import { createServer } from 'node:http';

const OBJECTS = /^\/hingescale\/objects\/([^/?]+)(?:\/([^/?]+))?(?:\?(.*))?$/;
const ANSWER_MS = 4;
const PAGE_ITEMS = 500;

export class Store {
  revision = 0;
  objects = new Map();
  events = [];
  waiting = new Set();

  constructor() {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        const body = text === '' ? undefined : JSON.parse(text);
        setTimeout(() => this.answer(request, response, body), ANSWER_MS);
      });
    });
    this.server.keepAliveTimeout = 60_000;
  }

  listen(ip) {
    return new Promise(resolve => {
      this.server.listen(0, ip, () => resolve(this.server.address().port));
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  kind(name) {
    if (!this.objects.has(name)) {
      this.objects.set(name, new Map());
    }
    return this.objects.get(name);
  }

  /** Writes an object, as the operator or a runner does; an equal value changes nothing. */
  put(kind, name, spec) {
    const before = this.kind(kind).get(name);
    if (before !== undefined && JSON.stringify(before.spec) === JSON.stringify(spec)) {
      return before;
    }
    this.revision += 1;
    const metadata = {
      name,
      rev: this.revision,
      createRev: before?.metadata.createRev ?? this.revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, spec, status: null };
    this.kind(kind).set(name, object);
    this.note(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const before = this.kind(kind).get(name);
    if (before !== undefined) {
      this.revision += 1;
      this.kind(kind).delete(name);
      const metadata = { ...before.metadata, rev: this.revision };
      this.note(kind, { ...before, metadata }, true);
    }
  }

  note(kind, object, tombstone) {
    this.events.push({ kind, object, tombstone });
    [...this.waiting].forEach(wake => wake());
  }

  answer(request, response, body) {
    const match = OBJECTS.exec(request.url ?? '');
    const send = (status, value) => {
      const text = value === undefined ? '' : JSON.stringify(value);
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    if (match === null) {
      send(404);
      return;
    }
    const [, kind, encoded, queryText] = match;
    const query = new URLSearchParams(queryText ?? '');
    const name = encoded === undefined ? undefined : decodeURIComponent(encoded);
    const found = name === undefined ? undefined : this.kind(kind).get(name);
    switch (request.method) {
      case 'GET':
        if (name !== undefined) {
          send(found === undefined ? 404 : 200, found);
        } else if (query.has('watch')) {
          this.watch(kind, Number(query.get('watch')), Number(query.get('waitMs') ?? 0), send);
        } else {
          this.list(kind, query.get('afterRev'), send);
        }
        return;
      case 'POST': {
        const wanted = body.metadata.name;
        const there = this.kind(kind).get(wanted);
        send(there === undefined ? 201 : 409, there ?? this.put(kind, wanted, body.spec));
        return;
      }
      case 'PUT': {
        const rev = body.metadata?.rev ?? (query.has('rev') ? Number(query.get('rev')) : undefined);
        if (found === undefined) {
          send(404);
        } else if (rev !== undefined && rev !== found.metadata.rev) {
          send(409, found);
        } else {
          send(200, this.put(kind, name, body.spec));
        }
        return;
      }
      case 'DELETE': {
        const rev = query.has('rev') ? Number(query.get('rev')) : undefined;
        if (found === undefined) {
          send(404);
        } else if (rev !== undefined && rev !== found.metadata.rev) {
          send(409, found);
        } else {
          this.remove(kind, name);
          send(200, found);
        }
        return;
      }
      default:
        send(405);
    }
  }

  list(kind, after, send) {
    const names = [...this.kind(kind).keys()].sort();
    const left = names.filter(name => after === null || name > after);
    const items = left.slice(0, PAGE_ITEMS).map(name => this.kind(kind).get(name));
    send(200, { items, truncated: left.length > PAGE_ITEMS, storeRevision: this.revision });
  }

  watch(kind, from, waitMs, send) {
    const until = Date.now() + waitMs;
    let timer;
    const attempt = () => {
      const events = this.events
        .filter(event => event.kind === kind && event.object.metadata.rev > from)
        .map(({ object, tombstone }) => ({ object, tombstone }));
      if (events.length > 0 || Date.now() >= until) {
        clearTimeout(timer);
        this.waiting.delete(attempt);
        send(200, { events, storeRevision: this.revision });
      }
    };
    this.waiting.add(attempt);
    timer = setTimeout(attempt, waitMs + 1);
    attempt();
  }
}
