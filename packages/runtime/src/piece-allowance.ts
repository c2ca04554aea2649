/**
 * Limits the pieces in which a body arrives: the HTTP parser reports each chunk of a body by itself, which takes about as
 * much time for one byte as for thousands.
 */

/** Pieces in which any body may arrive, however short it is. */
const FREE_PIECES = 64 * 1024;
/** Least mean length of the pieces of a body that arrives in more, in bytes. */
const MIN_MEAN_PIECE_BYTES = 16;

/** Why a body is not read further, for the log. */
export const FRAGMENTED = 'too many small pieces';

/** The pieces of one body. */
export class PieceAllowance {
  #pieces = 0;
  #bytes = 0;

  /** Counts a piece; false if the body arrives in too many pieces for its length so far. */
  admit(pieceBytes: number): boolean {
    this.#pieces += 1;
    this.#bytes += pieceBytes;
    return this.#pieces <= Math.max(FREE_PIECES, this.#bytes / MIN_MEAN_PIECE_BYTES);
  }
}
