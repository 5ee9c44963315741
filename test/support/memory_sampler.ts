/** Measures the resident memory of a process again and again. */
import { execFile } from "node:child_process";
import { promisify } from "node:util";
import type { ProcessHandle } from "./process_handle.ts";

const run = promisify(execFile);

/** Milliseconds between two samples. */
const PERIOD = 50;

const KILOBYTES_A_MEGABYTE = 1_024;

/** Samples until it is disposed of. */
export class MemorySampler implements Disposable {
  /** Megabytes. */
  peak = 0;
  readonly #handle: ProcessHandle;
  readonly #limit: number;
  #isStopped = false;

  /** @param limit - megabytes beyond which the process is killed */
  constructor(handle: ProcessHandle, limit: number) {
    this.#handle = handle;
    this.#limit = limit;
    void this.#sample();
  }

  [Symbol.dispose](): void {
    this.#isStopped = true;
  }

  async #sample(): Promise<void> {
    const command = ["-o", "rss=", "-p", String(this.#handle.pid)];
    while (!this.#isStopped && !this.#handle.hasExited) {
      // Fails once the process is gone.
      const { stdout } = await run("ps", command).catch(() => ({ stdout: "" }));
      const megabytes = (Number(stdout) || 0) / KILOBYTES_A_MEGABYTE;
      this.peak = Math.max(this.peak, megabytes);
      if (this.peak > this.#limit) {
        this.#handle.signal("SIGKILL");
      }
      await new Promise((resolve) => setTimeout(resolve, PERIOD));
    }
  }
}
