import { expect } from "chai";
import fc from "fast-check";
import { BytePieces } from "./byte_pieces.ts";

/** Bytes of a buffer of which each piece is a small part. */
const BUFFER_LENGTH = 65_536;

/** Adds pieces to an empty message; returns it and the bytes that it takes. */
function keep(pieces: readonly Uint8Array[]) {
  let taken = 0;
  const kept = new BytePieces((bytes) => {
    taken += bytes;
    return true;
  });
  for (const piece of pieces) {
    kept.add(piece);
  }
  return { kept, taken };
}

function buffersOf(chunks: readonly Uint8Array[]): number {
  const buffers = new Set(chunks.map(({ buffer }) => buffer));
  return [...buffers].reduce((sum, { byteLength }) => sum + byteLength, 0);
}

describe("BytePieces", () => {
  it("joins what was added, however it was cut", () => {
    const piecesOfBytes = fc.array(fc.uint8Array({ maxLength: 40_000 }), {
      maxLength: 20,
    });
    fc.assert(
      fc.property(piecesOfBytes, (pieces) => {
        const { kept } = keep(pieces);
        const bytes = Buffer.concat(pieces);
        expect(Buffer.from(kept.join()).equals(bytes)).to.equal(true);
        expect(Buffer.concat(kept.chunks).equals(bytes)).to.equal(true);
        expect(kept.length).to.equal(bytes.length);
      }),
      { seed: 20261206 },
    );
  });

  // Guards against a message in pieces of a byte that takes an object for each.
  it("keeps short pieces in few blocks", () => {
    const pieces = Array.from({ length: 100_000 }, () => new Uint8Array(1));
    const { kept, taken } = keep(pieces);
    expect(kept.count).to.be.at.most(50);
    expect(taken).to.be.at.most(150_000);
  });

  // Guards against pieces that keep the long buffers they were read into.
  it("keeps no buffers of which pieces are a small part", () => {
    const pieces = Array.from({ length: 100 }, () =>
      new Uint8Array(BUFFER_LENGTH).subarray(0, 5_000),
    );
    const { kept, taken } = keep(pieces);
    expect(buffersOf(kept.chunks)).to.be.at.most(taken);
    expect(taken).to.be.at.most(600_000);
  });

  // Guards against sound messages that are refused for what their pieces take.
  it("takes little more than its bytes, however it was cut", () => {
    const lengths = fc.array(fc.integer({ min: 1, max: 70_000 }), {
      minLength: 1,
      maxLength: 60,
    });
    const property = fc.property(lengths, fc.nat(), (parts, extra) => {
      const pieces = parts.map((length, index) => {
        const isPart = (extra >> (index % 16)) % 2 === 1;
        const buffer = new Uint8Array(length + (isPart ? 9_000 : 0));
        return buffer.subarray(0, length);
      });
      const { kept, taken } = keep(pieces);
      expect(taken).to.be.at.most(kept.length * 1.2 + 17_000);
    });
    fc.assert(property, { seed: 20261206 });
  });

  it("takes little more than its bytes in segments of any length", () => {
    for (const length of [1_460, 4_097, 8_191, 8_192, 9_000, 65_536]) {
      const pieces = Array.from(
        { length: Math.floor(8_388_608 / length) },
        (_, index) => new Uint8Array(index % 2 === 0 ? length : length / 3),
      );
      const { kept, taken } = keep(pieces);
      expect(taken, `${length}`).to.be.at.most(kept.length * 1.1 + 17_000);
    }
  });

  it("takes little more than its bytes for a short message", () => {
    const { taken } = keep([new Uint8Array(BUFFER_LENGTH).subarray(0, 800)]);
    expect(taken).to.be.at.most(1_500);
  });

  it("adds nothing where there is no room", () => {
    const kept = new BytePieces(() => false);
    expect(kept.add(new Uint8Array(10))).to.equal(false);
    expect(kept.length).to.equal(0);
  });
});
