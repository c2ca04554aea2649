/** Frames on a TCP link: a four-byte big-endian length followed by a CBOR value. */
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
  #unread: Buffer = Buffer.alloc(0);
  #limit = MAX_GREETING_BYTES;

  /** Accepts frames up to MAX_FRAME_BYTES; called once the peer is authenticated. */
  allowFullFrames(): void {
    this.#limit = MAX_FRAME_BYTES;
  }

  /** Adds received bytes and returns the values of all complete frames; throws on an oversized frame. */
  feed(bytes: Buffer): unknown[] {
    this.#unread = this.#unread.length === 0 ? bytes : Buffer.concat([this.#unread, bytes]);
    const values: unknown[] = [];
    while (this.#unread.length >= LENGTH_BYTES) {
      const length = this.#unread.readUInt32BE(0);
      if (length > this.#limit) {
        throw new RangeError(`frame of ${length} bytes exceeds the limit`);
      }
      if (this.#unread.length < LENGTH_BYTES + length) {
        break;
      }
      values.push(encoder.decode(this.#unread.subarray(LENGTH_BYTES, LENGTH_BYTES + length)));
      this.#unread = this.#unread.subarray(LENGTH_BYTES + length);
    }
    return values;
  }
}
