/** Entry processes, started as the deploy file does, and their platform. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request as sendRequest } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { Record } from "./record.ts";
import type { Store } from "./store.ts";
import { freeAddress } from "./http.ts";

/** The program and its arguments in `deploy/system.toml`. */
const PROGRAM = [
  "--max-old-space-size=160",
  "target/cranberryledged-entry.cjs",
];

/** Milliseconds that a condition is waited for. */
const WAIT_TIME = 30_000;

/** Ends a case that could not run. */
export class CannotRunError extends Error {}

/** Polls until a condition holds. */
export async function waitFor(
  what: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const until = performance.now() + WAIT_TIME;
  while (!(await condition())) {
    if (performance.now() > until) {
      throw new CannotRunError(`waited in vain: ${what}`);
    }
    await sleep(20);
  }
}

/** The answer to one request. */
export interface IAnswer {
  /** 0 for a channel that ended without a complete answer. */
  readonly status: number;
  readonly text: string;
}

/** One entry process. */
export class EntryProcess {
  readonly name: string;
  readonly callers: string;
  /** Address of the store for this process. */
  readonly store: string;
  output = "";
  readonly #child: ChildProcess;

  constructor(
    name: string,
    addresses: { readonly callers: string; readonly store: string },
    child: ChildProcess,
  ) {
    this.name = name;
    this.callers = addresses.callers;
    this.store = addresses.store;
    this.#child = child;
    child.stdout?.on("data", (text) => (this.output += String(text)));
    child.stderr?.on("data", (text) => (this.output += String(text)));
  }

  signal(name: NodeJS.Signals): void {
    this.#child.kill(name);
  }

  kill(): void {
    this.#child.kill("SIGKILL");
  }

  has(event: string): boolean {
    return this.output.includes(`event=${event} `);
  }
}

/** Starts and ends the processes of one case. */
export class Fleet {
  readonly #store: Store;
  readonly #record: Record;
  readonly #folder = mkdtempSync(join(tmpdir(), "review-"));
  readonly #processes: EntryProcess[] = [];

  constructor(store: Store, record: Record) {
    this.#store = store;
    this.#record = record;
  }

  async start(name: string): Promise<EntryProcess> {
    const callers = await freeAddress();
    const readiness = await freeAddress();
    const inner = await freeAddress();
    const store = await this.#store.open();
    const file = join(this.#folder, `${name}.yaml`);
    writeFileSync(file, settings({ name, callers, readiness, inner, store }));
    const child = spawn(process.execPath, PROGRAM, {
      env: { PATH: process.env["PATH"], CRANBERRYLEDGE_SETTINGS: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const entry = new EntryProcess(name, { callers, store }, child);
    this.#processes.push(entry);
    await waitFor(`${name} is ready`, async () => {
      if (child.exitCode !== null) {
        const [reason] = /^.*Error: .*$/m.exec(entry.output) ?? [];
        throw new CannotRunError(`${name} ended: ${reason ?? "no reason"}`);
      }
      const { status } = await send(readiness, { path: "/readyz" });
      return status === 200;
    });
    this.#record.add("ready", { process: name });
    return entry;
  }

  stop(): void {
    this.#processes.forEach((one) => one.kill());
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Sends one request on a channel of its own. */
export function send(
  address: string,
  options: {
    readonly path: string;
    readonly method?: string;
    readonly headers?: Readonly<{ [name: string]: string }>;
    readonly body?: string;
  },
): Promise<IAnswer> {
  const { path, method = "GET", headers = {}, body = "" } = options;
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const failed = () => resolve({ status: 0, text: "" });
    const request = sendRequest(
      { host, port, path, method, headers, agent: false },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.once("error", failed);
        response.once("end", () =>
          resolve({
            status: response.complete ? (response.statusCode ?? 0) : 0,
            text: Buffer.concat(chunks).toString("utf8"),
          }),
        );
      },
    );
    request.once("error", failed);
    request.end(body);
  });
}

/** The settings that `deploy/settings.yaml.template` gives. */
function settings(process: {
  readonly name: string;
  readonly callers: string;
  readonly readiness: string;
  readonly inner: string;
  readonly store: string;
}): string {
  const { name, callers, readiness, inner, store } = process;
  return `instance:
  name: "${name}"
  zone: "north-a"
  address: "127.0.0.1"
listen:
  callers: "${callers}"
  readiness: "${readiness}"
  inner_port: ${inner.split(":")[1]}
processor:
  share: 0.675
  speed: 1
store:
  address: "${store}"
zones: {"north-a":"north"}
heartbeat_ms: 1200
first_start: true
bounds:
  grace_s: 8
  repeat_ratio: 0.2
  repeat_window_s: 10
  repeat_slack: 103
  stall_ms: 5000
  load_window_s: 5
  load_factor: 1.1
`;
}
