/** Reads the bodies of answers of other programs. */
import type { Readable } from 'node:stream';

import { ByteCollector } from './byte-collector.js';
import { FRAGMENTED, PieceAllowance } from './piece-allowance.js';

/** The body of an answer was longer or more fragmented than its reader accepts, or its connection broke. */
export class AnswerTextError extends Error {
  constructor(detail: string) {
    super(detail);
    this.name = 'AnswerTextError';
  }
}

/**
 * Reads a body to its end as UTF-8; rejects with {@link AnswerTextError}, and closes the connection, after `maxBytes` or
 * after too many pieces.
 */
export function readAnswerText(response: Readable, maxBytes: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const collector = new ByteCollector();
    const allowance = new PieceAllowance();
    response.on('data', (chunk: Buffer) => {
      if (collector.length + chunk.length > maxBytes) {
        response.destroy(new AnswerTextError(`the answer is longer than ${maxBytes} bytes`));
      } else if (!allowance.admit(chunk.length)) {
        response.destroy(new AnswerTextError(FRAGMENTED));
      } else {
        collector.append(chunk);
      }
    });
    response.on('error', error => {
      reject(error instanceof AnswerTextError ? error : new AnswerTextError(error.message));
    });
    response.on('end', () => {
      resolve(collector.take().toString('utf8'));
    });
  });
}
