/** Frames on a TCP link: a four-byte length and a CBOR value. */
import { Encoder } from 'cbor-x';

/** Largest frame in bytes that is accepted. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;
/** Largest frame before the peer has proved that it knows the key. */
export const MAX_GREETING_BYTES = 4096;

const LENGTH_BYTES = 4;
const encoder = new Encoder({ useRecords: false, variableMapSize: true });

/** Encodes a value with its length. */
export function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.set(body, LENGTH_BYTES);
  return frame;
}

/** Cuts received bytes into frames. */
export class FrameReader {
  #rest: Buffer = Buffer.alloc(0);
  #limit = MAX_GREETING_BYTES;

  /** Allows full-size frames, once the peer is known. */
  trust(): void {
    this.#limit = MAX_FRAME_BYTES;
  }

  /** Takes received bytes and gives the values that are now whole; throws on oversized frames. */
  feed(bytes: Buffer): unknown[] {
    this.#rest = this.#rest.length === 0 ? bytes : Buffer.concat([this.#rest, bytes]);
    const values: unknown[] = [];
    while (this.#rest.length >= LENGTH_BYTES) {
      const length = this.#rest.readUInt32BE(0);
      if (length > this.#limit) {
        throw new RangeError(`frame of ${length} bytes is over the limit`);
      }
      if (this.#rest.length < LENGTH_BYTES + length) {
        break;
      }
      values.push(encoder.decode(this.#rest.subarray(LENGTH_BYTES, LENGTH_BYTES + length)));
      this.#rest = this.#rest.subarray(LENGTH_BYTES + length);
    }
    return values;
  }
}
