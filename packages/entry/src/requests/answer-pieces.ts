/**
 * Joins the pieces of a body that arrive in one turn of the event loop. One read can hold ten thousand chunks, each of
 * which would otherwise be searched for events, and written to the caller, by itself.
 */
import { ByteCollector } from '@hingescale/runtime/byte-collector';
import { PieceAllowance } from '@hingescale/runtime/piece-allowance';

/** The pieces of one answer. */
export class AnswerPieces {
  readonly #onBytes: (bytes: Buffer) => void;
  readonly #allowance = new PieceAllowance();
  readonly #joined = new ByteCollector();
  /** The only piece of the turn, which need not be copied. */
  #onlyPiece: Buffer | undefined;
  #isScheduled = false;

  /** `onBytes` gets the bytes of one turn, at its end. */
  constructor(onBytes: (bytes: Buffer) => void) {
    this.#onBytes = onBytes;
  }

  /** Adds the next piece; false if the answer arrives in too many pieces for its length. */
  add(piece: Buffer): boolean {
    if (!this.#allowance.admit(piece.length)) {
      return false;
    }
    if (this.#joined.length > 0) {
      this.#joined.append(piece);
    } else if (this.#onlyPiece === undefined) {
      this.#onlyPiece = piece;
      this.#schedule();
    } else {
      this.#joined.append(this.#onlyPiece);
      this.#joined.append(piece);
      this.#onlyPiece = undefined;
    }
    return true;
  }

  /** Passes on what has been received and not been passed on. */
  flush(): void {
    const bytes = this.#onlyPiece ?? this.#joined.take();
    this.#onlyPiece = undefined;
    if (bytes.length > 0) {
      this.#onBytes(bytes);
    }
  }

  #schedule(): void {
    if (this.#isScheduled) {
      return;
    }
    this.#isScheduled = true;
    process.nextTick(() => {
      this.#isScheduled = false;
      this.flush();
    });
  }
}
