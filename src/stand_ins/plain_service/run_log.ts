/** What a plain service ran, kept so that proofs can judge by it. */
import { appendFileSync, existsSync, readFileSync } from "node:fs";

/** One run. */
export interface IRunLogEntry {
  readonly requestId: string;
  readonly operation: string;
  readonly body: unknown;
  readonly at: number;
}

/** The runs so far; with a file, also those of earlier processes. */
export class RunLog {
  readonly #file: string;
  readonly #entries: IRunLogEntry[] = [];

  /** @param file - path to keep runs in, a line each; empty for none */
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

  /** Keeps a run before anything else can happen to the process. */
  append(run: IRunLogEntry): void {
    this.#entries.push(run);
    if (this.#file !== "") {
      appendFileSync(this.#file, `${JSON.stringify(run)}\n`);
    }
  }
}
