/**
 * Passes what a connection receives to the HTTP parser in small pieces: a request only when few others of the connection
 * are in progress, and no more in a turn of the event loop than leaves time for other connections.
 *
 * The server itself parses all that it has read at once. One read can hold thousands of requests, which would all be
 * processed at the same time, or of chunks, which would keep the event loop busy.
 */
import type { Socket } from 'node:net';

import type { InputSource, InputTurns } from './input-turns.js';
import type { Displaceable, MemoryBudget, Reservation } from './memory-budget.js';

/** Longest piece of a head or of a body in chunks that is parsed at once, in bytes. */
const PIECE_BYTES = 1_024;
/** Input of this length is parsed as soon as it is received, in bytes; the rest waits for a turn. */
const PROMPT_BYTES = 4_096;
/** Time to parse a byte of a body of known length, as a part of the time for a byte of a head. */
const PLAIN_BODY_COST = 1 / 32;
/** Memory that an unfinished head uses in the parser for each of its bytes if its fields are short. */
const BYTES_PER_HEAD_BYTE = 12;
/** What the socket of a connection reads before it notices that it is paused, in bytes. */
const READ_BYTES = 64 * 1024;
const END_OF_HEAD = '\r\n\r\n';

/** What a connection's input has to know of its requests. */
export type RequestProgress = {
  /** True while as many requests of the connection are in progress as may be. */
  readonly isFull: boolean;
  /** Rest of the newest request's body, in bytes: 0 if it has been received, infinite if its length is not known. */
  readonly bodyLeft: number;
  /** Bytes of a body were parsed. */
  readonly noteBody: (bytes: number) => void;
};

/** What {@link ConnectionInput} works with. */
export type ConnectionInputOptions = {
  readonly socket: Socket;
  /** Parses a piece. */
  readonly parse: (piece: Buffer) => void;
  readonly progress: RequestProgress;
  readonly turns: InputTurns;
  /** Holds the input that waits, and unfinished heads. */
  readonly memory: MemoryBudget;
  /** Has to close the connection: there is no memory for its input. */
  readonly closeForMemory: () => void;
};

/** The input of one connection. */
export class ConnectionInput implements InputSource, Displaceable {
  readonly #options: ConnectionInputOptions;
  readonly #reservation: Reservation;
  /** Input that has been received and not parsed; while there is any, no more is read. */
  #waiting: Buffer | undefined;
  #headBytes = 0;

  constructor(options: ConnectionInputOptions) {
    this.#options = options;
    this.#reservation = options.memory.reservation();
    const { socket } = options;
    socket.on('data', (data: Buffer) => {
      this.#receive(data);
    });
    // The server resumes a connection when its answers have been taken.
    socket.on('resume', () => {
      if (this.#waiting !== undefined) {
        socket.pause();
        this.proceed();
      }
    });
    socket.on('drain', () => {
      this.proceed();
    });
    socket.once('close', () => {
      this.#release();
    });
  }

  displace(): void {
    this.#release();
    this.#options.closeForMemory();
  }

  get hasLittleInput(): boolean {
    return (this.#waiting?.length ?? 0) <= PROMPT_BYTES;
  }

  /** To be called when a request of the connection has been answered: the next one may be parsed. */
  proceed(): void {
    if (this.#waiting !== undefined && !this.#isHeld) {
      this.#options.turns.add(this);
    }
  }

  /** To be called when a whole head has been parsed. */
  noteHeadEnd(): void {
    this.#headBytes = 0;
  }

  parseUntil(isOver: () => boolean): boolean {
    const waiting = this.#waiting;
    if (waiting === undefined || this.#options.socket.destroyed || this.#isHeld) {
      return false;
    }
    const parsed = this.#parse(waiting, isOver);
    const rest = waiting.subarray(parsed);
    this.#keep(rest);
    if (rest.length === 0) {
      this.#options.socket.resume();
    }
    return rest.length > 0 && !this.#isHeld;
  }

  // A request waits while enough others are in progress or while answers are not taken.
  get #isHeld(): boolean {
    const { progress, socket } = this.#options;
    const isFull = progress.isFull && progress.bodyLeft === 0;
    return isFull || socket.writableNeedDrain || isPausedByServer(socket);
  }

  #receive(data: Buffer): void {
    const { socket, turns } = this.#options;
    if (this.#waiting !== undefined) {
      this.#keep(Buffer.concat([this.#waiting, data]));
      return;
    }
    let left = turns.isPromptPossible ? PROMPT_BYTES : 0;
    const isOver = (bytes: number): boolean => {
      left -= bytes;
      return left <= 0;
    };
    const parsed = left > 0 ? this.#parse(data, isOver) : 0;
    const rest = data.subarray(parsed);
    this.#keep(rest);
    if (rest.length > 0 && !socket.destroyed) {
      socket.pause();
      if (!this.#isHeld) {
        turns.add(this);
      }
    }
  }

  // Returns the number of bytes that were parsed. `isOver` gets the length of each piece that takes time to parse.
  #parse(data: Buffer, isOver: (bytes: number) => boolean): number {
    const { progress, parse, socket } = this.#options;
    let offset = 0;
    while (offset < data.length && !socket.destroyed && !this.#isHeld) {
      const { bodyLeft } = progress;
      const end = endOfPiece(data, offset, bodyLeft);
      const bytes = end - offset;
      if (bodyLeft > 0) {
        progress.noteBody(bytes);
      } else {
        this.#headBytes += bytes;
      }
      parse(data.subarray(offset, end));
      offset = end;
      const isPlainBody = bodyLeft > 0 && bodyLeft < Infinity;
      if (isOver(isPlainBody ? bytes * PLAIN_BODY_COST : bytes)) {
        break;
      }
    }
    return offset;
  }

  #keep(rest: Buffer): void {
    const { socket, memory } = this.#options;
    if (socket.destroyed) {
      return;
    }
    this.#waiting = rest.length > 0 ? withoutParsedPart(rest) : undefined;
    const bytes = this.#memoryOf(rest) + this.#headBytes * BYTES_PER_HEAD_BYTE;
    const before = this.#reservation.bytes;
    if (bytes === before) {
      return;
    }
    if (!this.#reservation.resize(bytes)) {
      this.displace();
    } else if (bytes === 0) {
      memory.removeDisplaceable(this);
    } else if (before === 0) {
      memory.addDisplaceable(this);
    }
  }

  // A client that has sent much will probably send more.
  #memoryOf(waiting: Buffer): number {
    return waiting.length <= PROMPT_BYTES ? waiting.length : waiting.length + READ_BYTES;
  }

  #release(): void {
    const { memory, turns } = this.#options;
    turns.remove(this);
    memory.removeDisplaceable(this);
    this.#waiting = undefined;
    this.#reservation.release();
  }
}

// While long answers wait for an earlier one, the server has paused its parser, which fails on any input. Node.js keeps
// this in a property that is not documented.
function isPausedByServer(socket: Socket & { readonly _paused?: boolean }): boolean {
  return socket._paused === true;
}

// The rest of a buffer keeps all of it in memory.
function withoutParsedPart(rest: Buffer): Buffer {
  return rest.buffer.byteLength > 2 * rest.length ? Buffer.from(rest) : rest;
}

// A piece ends with the head of a request, or with its body, so that the next request can be held.
function endOfPiece(data: Buffer, offset: number, bodyLeft: number): number {
  if (bodyLeft > 0 && bodyLeft < Infinity) {
    return Math.min(data.length, offset + bodyLeft);
  }
  const longest = Math.min(data.length, offset + PIECE_BYTES);
  if (bodyLeft > 0) {
    return longest;
  }
  const headEnd = data.subarray(offset, longest).indexOf(END_OF_HEAD);
  return headEnd < 0 ? longest : offset + headEnd + END_OF_HEAD.length;
}
