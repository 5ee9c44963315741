/**
 * Keeps the pieces of a message that is not complete. A piece as it was read
 * takes far more memory than its bytes if it is short, or if it is a part of a
 * longer buffer; such pieces are copied into blocks.
 */

/** Bytes from which a piece is kept as it was read. */
const LONG_PIECE = 4_096;

/** Share of its buffer that a piece which is kept as it was read makes up. */
const SHARE_OF_BUFFER = 0.875;

/** Bytes of a block that holds several pieces. */
const SHORTEST_BLOCK = 1_024;
const LONGEST_BLOCK = 16_384;

/** Share of what is kept already that the next block may add. */
const BLOCK_GROWTH = 0.25;

/** Bytes that a piece or a block takes beyond its own. */
const OVERHEAD = 256;

/** The pieces of one message. */
export class BytePieces {
  readonly #grow: (bytes: number) => boolean;
  #pieces: Uint8Array[] = [];
  /** The last piece, if it is a block that is not full. */
  #block: Uint8Array | null = null;
  /** Bytes of the block that are used. */
  #filled = 0;
  #length = 0;

  /** @param grow - takes so many more bytes of memory; false for no room */
  constructor(grow: (bytes: number) => boolean) {
    this.#grow = grow;
  }

  /** Bytes of the message so far. */
  get length(): number {
    return this.#length;
  }

  /** Pieces and blocks that are kept. */
  get count(): number {
    return this.#pieces.length + (this.#block === null ? 0 : 1);
  }

  /** Returns false if there is no room for a piece. */
  add(piece: Uint8Array): boolean {
    const isLong = piece.length >= LONG_PIECE || this.#length === 0;
    const isWhole = piece.length >= piece.buffer.byteLength * SHARE_OF_BUFFER;
    // A block that is closed early takes its length all the same.
    const isKept = isLong && isWhole && !this.#hasRoom;
    const isAdded = isKept ? this.#keep(piece) : this.#copy(piece);
    this.#length += isAdded ? piece.length : 0;
    return isAdded;
  }

  /** Everything that was added, in order. */
  get chunks(): readonly Uint8Array[] {
    this.#closeBlock();
    return this.#pieces;
  }

  /** Returns the whole message. */
  join(): Uint8Array {
    const { chunks } = this;
    const [first] = chunks;
    if (chunks.length === 1 && first !== undefined) {
      return first;
    }
    const joined = new Uint8Array(this.#length);
    let start = 0;
    for (const chunk of chunks) {
      joined.set(chunk, start);
      start += chunk.length;
    }
    return joined;
  }

  clear(): void {
    this.#pieces = [];
    this.#block = null;
    this.#filled = 0;
    this.#length = 0;
  }

  /** Whether there is a block that is not full. */
  get #hasRoom(): boolean {
    return this.#block !== null && this.#filled < this.#block.length;
  }

  #keep(piece: Uint8Array): boolean {
    if (!this.#grow(piece.buffer.byteLength + OVERHEAD)) {
      return false;
    }
    this.#closeBlock();
    this.#pieces.push(piece);
    return true;
  }

  #copy(piece: Uint8Array): boolean {
    let start = 0;
    while (start < piece.length) {
      const block = this.#openBlock(piece.length - start);
      if (block === null) {
        return false;
      }
      const room = block.length - this.#filled;
      const part = piece.subarray(start, start + room);
      block.set(part, this.#filled);
      this.#filled += part.length;
      start += part.length;
    }
    return true;
  }

  /** A block with room for at least a byte; null if none may be added. */
  #openBlock(rest: number): Uint8Array | null {
    if (this.#hasRoom) {
      return this.#block;
    }
    this.#closeBlock();
    const grown = Math.ceil(this.#length * BLOCK_GROWTH);
    const wanted = Math.max(rest, grown, SHORTEST_BLOCK);
    const length = Math.min(wanted, LONGEST_BLOCK);
    if (!this.#grow(length + OVERHEAD)) {
      return null;
    }
    this.#block = new Uint8Array(length);
    return this.#block;
  }

  #closeBlock(): void {
    if (this.#block !== null) {
      this.#pieces.push(this.#block.subarray(0, this.#filled));
      this.#block = null;
      this.#filled = 0;
    }
  }
}
