/** Log of the calls that a plain service ran, checked by tests after a run. */
import { appendFileSync, existsSync, readFileSync } from "node:fs";

/** One call that ran. */
export interface IRunLogEntry {
  readonly requestId: string;
  readonly operation: string;
  readonly body: unknown;
  readonly at: number;
}

/** The calls run so far; with a file, also those of earlier processes. */
export class RunLog {
  readonly #file: string;
  readonly #entries: IRunLogEntry[] = [];

  /** @param file - path of the log, one line per call; empty for none */
  constructor(file: string) {
    this.#file = file;
    if (file !== "" && existsSync(file)) {
      const lines = readFileSync(file, "utf8").split("\n").filter(Boolean);
      this.#entries = lines.map((line) => JSON.parse(line) as IRunLogEntry);
    }
  }

  get entries(): readonly IRunLogEntry[] {
    return this.#entries;
  }

  /** Writes synchronously, so that the entry survives a crash right after. */
  append(entry: IRunLogEntry): void {
    this.#entries.push(entry);
    if (this.#file !== "") {
      appendFileSync(this.#file, `${JSON.stringify(entry)}\n`);
    }
  }
}
