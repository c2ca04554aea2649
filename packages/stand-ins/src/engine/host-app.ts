/** HTTP routes of one simulated engine host. */
import { createHash } from 'node:crypto';

import type { CompletionShape, HostOrder } from '@hingescale/core';
import {
  CACHE_SALT_HEADER,
  EPOCH_HEADER,
  EXECUTION_HEADER,
  GROUP_HEADER,
  parseCompletion,
  PREFIX_BLOCK_CHARACTERS,
  PRIORITY_HEADER,
  REQUEST_ID_HEADER,
} from '@hingescale/core';
import { createApp } from '@hingescale/runtime';
import type { Express, Request, RequestHandler, Response } from 'express';
import express from 'express';

import type { EngineHost } from './engine-host.js';
import { OrderRefused } from './engine-host.js';
import type { EngineStream, StreamReader } from './engine-stream.js';
import type { HostFaults } from './host-faults.js';
import { consumeFault } from './host-faults.js';

const BODY_LIMIT = '4mb';
/** Length of a prompt fingerprint, in hexadecimal digits. */
const FINGERPRINT_LENGTH = 8;
/** Generation steps that the prefill of one uncached prompt block takes. */
const STEPS_PER_BLOCK = 0.5;

/** Fingerprint of a prompt. The engine puts it into each token, so that an answer to another prompt is detected. */
export function fingerprintOf(prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex').slice(0, FINGERPRINT_LENGTH);
}

/** Builds the routes of a host; `untilUnfrozen` resolves when the fault `frozen` is switched off. */
export function hostApp(
  host: EngineHost,
  faults: HostFaults,
  untilUnfrozen: () => Promise<void>,
): Express {
  const routes = new HostRoutes(host, faults);
  const app = createApp();
  app.use(holdWhileFrozen(faults, untilUnfrozen));
  app.use(express.json({ limit: BODY_LIMIT }));
  app.get('/v1/state', (_request, response) => {
    response.json(host.state());
  });
  app.post('/v1/orders', routes.order);
  app.get('/v1/load', (_request, response) => {
    response.json(host.load());
  });
  app.get('/v1/cache-events', (request, response) => {
    response.json(host.cache.eventsFrom(Number(request.query.from ?? 0)));
  });
  app.post('/v1/chat/completions', routes.generate('chat'));
  app.post('/v1/completions', routes.generate('text'));
  app.get('/v1/streams/:id', routes.resume);
  app.delete('/v1/streams/:id', (request, response) => {
    host.cancel(String(request.params.id));
    response.json({});
  });
  return app;
}

function holdWhileFrozen(faults: HostFaults, untilUnfrozen: () => Promise<void>): RequestHandler {
  return (_request, _response, next) => {
    if (faults.frozen) {
      void untilUnfrozen().then(() => {
        next();
      });
    } else {
      next();
    }
  };
}

// Handlers of the routes that follow orders, generate and resume.
class HostRoutes {
  readonly #host: EngineHost;
  readonly #faults: HostFaults;

  constructor(host: EngineHost, faults: HostFaults) {
    this.#host = host;
    this.#faults = faults;
  }

  readonly order = (request: Request, response: Response): void => {
    try {
      this.#host.order(request.body as HostOrder);
      response.json(this.#host.state());
    } catch (error) {
      const status = error instanceof OrderRefused ? 409 : 500;
      response.status(status).json({ detail: (error as Error).message });
    }
  };

  generate(shape: CompletionShape): RequestHandler {
    return (request, response) => {
      if (consumeFault(this.#faults, 'cutBeforeRun')) {
        request.socket.destroy();
        return;
      }
      const refusal = this.#refusalReason(request);
      if (refusal !== undefined) {
        response.setHeader(EXECUTION_HEADER, 'not-run');
        response.status(409).json({ detail: refusal });
        return;
      }
      const parsed = parseCompletion(shape, request.body);
      if (!parsed.ok) {
        response.setHeader(EXECUTION_HEADER, 'not-run');
        response.status(400).json({ detail: parsed.message });
        return;
      }
      const prompt = parsed.request.prompt;
      const cached = this.#host.cache.matchAndStore(
        String(request.headers[CACHE_SALT_HEADER] ?? ''),
        prompt,
      );
      const uncachedBlocks = (prompt.length - cached) / PREFIX_BLOCK_CHARACTERS;
      const stream = this.#host.generate({
        requestId: String(request.headers[REQUEST_ID_HEADER]),
        shape,
        model: parsed.request.model,
        tokens: parsed.request.maxTokens,
        fingerprint: fingerprintOf(prompt),
        priority: Number(request.headers[PRIORITY_HEADER] ?? 0),
        prefillSteps: Math.floor(uncachedBlocks * STEPS_PER_BLOCK),
      });
      if (consumeFault(this.#faults, 'loseAnswers')) {
        request.socket.destroy();
        return;
      }
      this.#sendStream(stream, 0, response);
    };
  }

  readonly resume = (request: Request, response: Response): void => {
    const stream = this.#host.stream(String(request.params.id));
    if (stream === undefined) {
      response.status(404).json({ detail: 'no such stream' });
      return;
    }
    this.#sendStream(stream, Number(request.query.offset ?? 0), response);
  };

  // Returns the reason to refuse a request. An engine that does not check fences accepts any group and epoch.
  #refusalReason(request: Request): string | undefined {
    if (consumeFault(this.#faults, 'refuse')) {
      return 'refused on demand';
    }
    if (!this.#host.leading) {
      return 'this host does not lead a loaded group';
    }
    const { group, epoch } = this.#host.membership;
    const { headers } = request;
    const matchesMembership =
      headers[GROUP_HEADER] === group && headers[EPOCH_HEADER] === String(epoch);
    if (this.#host.options.checksFence && !matchesMembership) {
      return `group ${group ?? 'none'} is at epoch ${epoch}`;
    }
    return undefined;
  }

  #sendStream(stream: EngineStream, offset: number, response: Response): void {
    const { epoch, group } = this.#host.membership;
    const namesOtherRequest = consumeFault(this.#faults, 'crossAnswers');
    const carriesWrongEpoch = consumeFault(this.#faults, 'wrongEpochs');
    const { requestId } = stream.spec;
    response.setHeader(REQUEST_ID_HEADER, namesOtherRequest ? `${requestId}-other` : requestId);
    response.setHeader(EPOCH_HEADER, String(carriesWrongEpoch ? epoch - 1 : epoch));
    response.setHeader(GROUP_HEADER, group ?? '');
    response.setHeader('Content-Type', 'text/event-stream');
    response.flushHeaders();
    const reader = this.#createReader(stream, response);
    response.on('close', () => {
      stream.detach(reader);
    });
    stream.attach(reader, offset);
  }

  // Creates a reader that writes to the response and cuts or truncates it if such a fault is on.
  #createReader(stream: EngineStream, response: Response): StreamReader {
    const cuts = consumeFault(this.#faults, 'cutStreams');
    const truncates = !cuts && consumeFault(this.#faults, 'truncateStreams');
    let tokensLeft = cuts || truncates ? this.#faults.cutAfterTokens : Infinity;
    const reader: StreamReader = {
      write: event => {
        if (tokensLeft > 0) {
          tokensLeft -= 1;
          response.write(event);
          return;
        }
        stream.detach(reader);
        if (this.#faults.forgetCutStreams) {
          this.#host.cancel(stream.spec.requestId);
        }
        if (truncates) {
          response.end();
        } else {
          response.destroy();
        }
      },
      end: () => response.end(),
    };
    return reader;
  }
}
