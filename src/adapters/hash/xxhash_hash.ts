/** The xxHash32 function, from a WebAssembly library. */
import xxhash from "xxhash-wasm";
import type { IHash } from "../../common/services/services.ts";

/** Hashes text; the result is the same on every machine. */
export class XxhashHash implements IHash {
  readonly #hash: (text: string) => number;

  private constructor(hash: (text: string) => number) {
    this.#hash = hash;
  }

  /** Loads the WebAssembly module, which is compiled once per process. */
  static async create(): Promise<XxhashHash> {
    const { h32 } = await xxhash();
    return new XxhashHash((text) => h32(text));
  }

  hash(text: string): number {
    return this.#hash(text);
  }
}
