/** The record of one run: what was sent, answered and run, in order of time. */
import { writeFileSync } from "node:fs";

/** Collects the lines of `record.txt`. */
export class Record {
  readonly #lines: string[] = [];
  readonly #startedAt = performance.now();

  /** Milliseconds since the start of the run. */
  get now(): number {
    return performance.now() - this.#startedAt;
  }

  add(event: string, fields: Readonly<{ [key: string]: unknown }> = {}): void {
    const texts = Object.entries(fields).map(
      ([name, value]) => `${name}=${String(value)}`,
    );
    const time = (this.now / 1_000).toFixed(3).padStart(8);
    this.#lines.push([time, event, ...texts].join(" "));
  }

  /** @param path - file that is replaced */
  write(path: string): void {
    writeFileSync(path, `${this.#lines.join("\n")}\n`);
  }
}
