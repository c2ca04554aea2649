/** Frames on a TCP link: a four-byte big-endian length followed by a CBOR value. */
import { ByteCollector } from '@hingescale/runtime/byte-collector';
import { Encoder } from 'cbor-x';

/** Largest accepted frame, in bytes. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;
/** Largest accepted frame, in bytes, before the peer has proved that it knows the key. */
export const MAX_GREETING_BYTES = 4096;

const LENGTH_BYTES = 4;
const encoder = new Encoder({ useRecords: false, variableMapSize: true });

/** Encodes a value as a frame. */
export function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.set(body, LENGTH_BYTES);
  return frame;
}

/** Splits a stream of received bytes into frames and decodes them. */
export class FrameReader {
  /** The start of a frame, up to the number of bytes with which more of it can be read. */
  readonly #incompleteFrame = new ByteCollector();
  #neededBytes = LENGTH_BYTES;
  #limit = MAX_GREETING_BYTES;

  /** Accepts frames up to MAX_FRAME_BYTES; called once the peer is authenticated. */
  allowFullFrames(): void {
    this.#limit = MAX_FRAME_BYTES;
  }

  /** Adds received bytes and returns the values of all complete frames; throws on an oversized frame. */
  feed(bytes: Buffer): unknown[] {
    if (this.#incompleteFrame.length + bytes.length < this.#neededBytes) {
      this.#incompleteFrame.append(bytes);
      return [];
    }
    let unread = this.#joinToIncompleteFrame(bytes);
    const values: unknown[] = [];
    while (unread.length >= this.#neededBytes) {
      const frameBytes = this.#frameBytes(unread);
      if (unread.length < frameBytes) {
        this.#neededBytes = frameBytes;
        break;
      }
      values.push(encoder.decode(unread.subarray(LENGTH_BYTES, frameBytes)));
      unread = unread.subarray(frameBytes);
      this.#neededBytes = LENGTH_BYTES;
    }
    this.#incompleteFrame.append(unread);
    return values;
  }

  #joinToIncompleteFrame(bytes: Buffer): Buffer {
    if (this.#incompleteFrame.length === 0) {
      return bytes;
    }
    this.#incompleteFrame.append(bytes);
    return this.#incompleteFrame.take();
  }

  // Length of the frame at the start of `unread`, including the bytes that state it.
  #frameBytes(unread: Buffer): number {
    const length = unread.readUInt32BE(0);
    if (length > this.#limit) {
      throw new RangeError(`frame of ${length} bytes exceeds the limit`);
    }
    return LENGTH_BYTES + length;
  }
}
