/** Gives a process only a share of its processor time, by stopping it. */
import { setTimeout as sleep } from "node:timers/promises";
import type { ProcessHandle } from "./process_handle.ts";

/** Milliseconds that a throttled process runs, and then is stopped. */
const RUN_TIME = 5;
const STOP_TIME = 95;

/** Throttles a process until it is disposed of. */
export class ProcessorThrottle {
  readonly #process: ProcessHandle;
  readonly #ended: Promise<void>;
  #isOver = false;

  constructor(process: ProcessHandle) {
    this.#process = process;
    this.#ended = this.#run();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isOver = true;
    await this.#ended;
  }

  async #run(): Promise<void> {
    while (!this.#isOver) {
      this.#process.signal("SIGSTOP");
      await sleep(STOP_TIME);
      this.#process.signal("SIGCONT");
      await sleep(RUN_TIME);
    }
  }
}
