/** A request held back on its way, so that it arrives late. */
import type { Socket } from "node:net";

/** Holds the bytes of one request, even when its sender has long gone. */
export class HeldRequest {
  /** The request that is waited for contains this. */
  readonly text: string;
  #target: Socket | null = null;
  #bytes: Buffer | null = null;

  constructor(text: string) {
    this.text = text;
  }

  /** Whether the request has come and has not been let go. */
  get isHolding(): boolean {
    return this.#bytes !== null;
  }

  /** Keeps the bytes of the request. */
  take(target: Socket, bytes: Buffer): void {
    this.#target = target;
    this.#bytes = bytes;
  }

  /** Lets the request arrive. */
  release(): void {
    if (this.#bytes !== null) {
      this.#target?.write(this.#bytes);
      this.#bytes = null;
    }
  }
}
