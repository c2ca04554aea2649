/** Receives the bodies of requests within the memory that a gateway has for them. */
import { promisify } from 'node:util';
import { brotliDecompress, gunzip, inflate } from 'node:zlib';

import { ProblemError } from '@hingescale/core';
import type { BodyEnd, Reservation } from '@hingescale/runtime/http-guard';
import { receiveBody } from '@hingescale/runtime/http-guard';
import type { RequestHandler } from 'express';

import type { CallerServices } from './caller-services.js';
import type { RequestContext } from './request-context.js';

/** Memory of a parsed JSON value for each of its brackets, commas and colons, in bytes. */
const BYTES_PER_SEPARATOR = 4;
const SEPARATORS = new Set(Buffer.from('[{,:'));
const RETRY_AFTER_S = 1;

const DECODERS = new Map([
  ['gzip', promisify(gunzip)],
  ['deflate', promisify(inflate)],
  ['br', promisify(brotliDecompress)],
]);

/** A body, and the memory that its request uses. */
type ReceivedBody = { readonly body: Buffer | undefined; readonly reservation: Reservation };

type BodyLimits = Pick<CallerServices, 'bodyLimitBytes' | 'memory'>;

/** Sets the request's body to a buffer; undefined if it has none. */
export function readRawBody(limits: BodyLimits): RequestHandler {
  return handlerOf(limits, ({ body }) => body);
}

/** Sets the request's body to the value that its JSON text stands for; undefined if it has none. */
export function readJsonBody(limits: BodyLimits): RequestHandler {
  return handlerOf(limits, ({ body, reservation }) => {
    if (body !== undefined && !reservation.add(parsedBytes(body))) {
      throw memoryUsedUp();
    }
    return body === undefined ? undefined : parseJson(body);
  });
}

function handlerOf(
  limits: BodyLimits,
  convert: (received: ReceivedBody) => unknown,
): RequestHandler {
  return async (request, response, next) => {
    const { deadline } = response.locals.context as RequestContext;
    const reservation = limits.memory.reservation();
    response.once('close', () => {
      reservation.release();
    });
    const options = { maxBytes: limits.bodyLimitBytes, deadline, memory: limits.memory };
    const end = await receiveBody(request, { ...options, reservation });
    if (end.kind === 'incomplete') {
      // The caller's connection has ended, so no answer reaches it.
      response.destroy();
      return;
    }
    if (end.kind !== 'whole') {
      throw problemOf(end.kind);
    }
    const encoding = request.headers['content-encoding']?.toLowerCase() ?? 'identity';
    const body = await decode(end.body, encoding, limits.bodyLimitBytes, reservation);
    request.body = convert({ body, reservation });
    next();
  };
}

async function decode(
  body: Buffer | undefined,
  encoding: string,
  maxBytes: number,
  reservation: Reservation,
): Promise<Buffer | undefined> {
  if (body === undefined || encoding === 'identity') {
    return body;
  }
  const decoder = DECODERS.get(encoding);
  if (decoder === undefined) {
    throw malformed(`the content encoding ${encoding} is not supported`, 415);
  }
  if (!reservation.add(maxBytes)) {
    throw memoryUsedUp();
  }
  try {
    return await decoder(body, { maxOutputLength: maxBytes });
  } catch (error) {
    const isTooLarge = (error as NodeJS.ErrnoException).code === 'ERR_BUFFER_TOO_LARGE';
    throw isTooLarge ? problemOf('too-large') : malformed((error as Error).message, 400);
  }
}

function parsedBytes(body: Buffer): number {
  let separators = 0;
  for (const byte of body) {
    separators += SEPARATORS.has(byte) ? 1 : 0;
  }
  return separators * BYTES_PER_SEPARATOR;
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch (error) {
    throw malformed((error as Error).message, 400);
  }
}

function malformed(detail: string, status: number): ProblemError {
  return new ProblemError({ status, code: 'malformed-body', detail });
}

function memoryUsedUp(): ProblemError {
  return problemOf('no-memory');
}

function problemOf(kind: Exclude<BodyEnd['kind'], 'whole' | 'incomplete'>): ProblemError {
  switch (kind) {
    case 'too-large':
      return new ProblemError({
        status: 413,
        code: 'body-too-large',
        detail: 'the body is longer than this gateway accepts',
      });
    case 'late':
      return new ProblemError({
        status: 408,
        code: 'request-timeout',
        detail: 'the body did not arrive before the deadline of its request',
      });
    case 'no-memory':
      return new ProblemError({
        status: 503,
        code: 'memory-used-up',
        detail: 'the memory for requests is used up',
        retryAfter: RETRY_AFTER_S,
      });
  }
}
