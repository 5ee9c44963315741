/** What a plain service ran, kept so that proofs can judge by it. */
import { appendFileSync, existsSync, readFileSync } from "node:fs";

/** One run. */
export interface IRunDeed {
  readonly requestId: string;
  readonly operation: string;
  readonly body: unknown;
  readonly at: number;
}

/** The runs so far; with a file, also those of earlier processes. */
export class RunLog {
  readonly #file: string;
  readonly #runs: IRunDeed[] = [];

  /** @param file - path to keep runs in, a line each; empty for none */
  constructor(file: string) {
    this.#file = file;
    if (file !== "" && existsSync(file)) {
      const lines = readFileSync(file, "utf8").split("\n").filter(Boolean);
      this.#runs = lines.map((line) => JSON.parse(line) as IRunDeed);
    }
  }

  get all(): readonly IRunDeed[] {
    return this.#runs;
  }

  /** Keeps a run before anything else can happen to the process. */
  add(run: IRunDeed): void {
    this.#runs.push(run);
    if (this.#file !== "") {
      appendFileSync(this.#file, `${JSON.stringify(run)}\n`);
    }
  }
}
