/** Entry processes as the deploy file starts them, and what a case records. */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { Store } from "./store.ts";

/** The command of the deploy file. */
const COMMAND = [
  "--max-old-space-size=160",
  "target/cranberryledged-entry.cjs",
];

/** Exit codes of a case. */
export enum Exit {
  Held = 0,
  Broken = 1,
  NotRun = 2,
}

/** Ports of the processes, below those of outgoing connections. */
const PORTS = [14_000, 30_000] as const;
const takenPorts = new Set<number>();

export const HOST = "news.example";
export const KEY = "key-of-desk";

/** Whether the disruption is played. */
export const HAS_TROUBLE = process.env["TROUBLE"] !== "0";

/** Writes `record.txt` into the folder of a case. */
export class Record {
  readonly #path: string;
  readonly #startedAt = performance.now();

  constructor(folder: string) {
    this.#path = join(folder, "record.txt");
    writeFileSync(this.#path, "");
  }

  readonly add = (text: string): void => {
    const at = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    appendFileSync(this.#path, `${at} ${text}\n`);
  };
}

/** An answer as a client sees it. */
export interface IAnswer {
  /** 0 if there was none. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
  /** Whether the answer is complete in the protocol. */
  readonly isComplete: boolean;
}

/** One entry process. */
export interface IEntry {
  readonly name: string;
  readonly child: ChildProcess;
  readonly callers: string;
  readonly readiness: string;
}

/** A store and entry processes before it. */
export class Deployment {
  readonly store = new Store();
  readonly entries: IEntry[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "review-2-"));

  async startEntry(name: string, zone = "north-a"): Promise<IEntry> {
    const callers = `127.0.0.1:${await freePort()}`;
    const readiness = `127.0.0.1:${await freePort()}`;
    const settings = {
      instance: { name, zone, address: "127.0.0.1" },
      listen: { callers, readiness, inner_port: await freePort() },
      processor: { share: 0.675, speed: 1 },
      limits: { memory_mb: 350, max_descriptors: 4_200 },
      store: { address: await this.store.listen() },
      zones: { "north-a": "north" },
      heartbeat_ms: 1_200,
      first_start: true,
      bounds: {
        grace_s: 8,
        repeat_ratio: 0.2,
        repeat_window_s: 10,
        repeat_slack: 103,
        stall_ms: 5_000,
        load_window_s: 5,
        load_factor: 1.1,
      },
    };
    const file = join(this.#folder, `${name}.yaml`);
    writeFileSync(file, JSON.stringify(settings));
    const child = this.#spawn(name, file);
    const entry = { name, child, callers, readiness };
    this.entries.push(entry);
    return entry;
  }

  /** Starts a process again that has ended, as the platform does. */
  restart(entry: IEntry): IEntry {
    const file = join(this.#folder, `${entry.name}.yaml`);
    const text = readFileSync(file, "utf8");
    writeFileSync(
      file,
      text.replace('"first_start":true', '"first_start":false'),
    );
    const started = { ...entry, child: this.#spawn(entry.name, file) };
    this.entries.push(started);
    return started;
  }

  #spawn(name: string, file: string): ChildProcess {
    const child = spawn(process.execPath, COMMAND, {
      env: {
        PATH: process.env["PATH"],
        HOME: process.env["HOME"],
        CRANBERRYLEDGE_SETTINGS: file,
      },
      stdio: ["ignore", "pipe", "inherit"],
    });
    child.stdout.on("data", (text: Buffer) => {
      writeFileSync(join(this.#folder, `${name}.log`), text, { flag: "a" });
      if (process.env["SHOW_LOG"] !== undefined) {
        process.stdout.write(text);
      }
    });
    return child;
  }

  async stop(): Promise<void> {
    for (const { child } of this.entries) {
      child.kill("SIGKILL");
    }
    this.store.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** A route of a configuration as the operator writes it. */
export function route(
  name: string,
  kind: string,
  rest: Readonly<Record<string, unknown>>,
): object {
  return {
    name,
    kind,
    host: HOST,
    pathPrefix: `/${name}/`,
    timeoutMs: 8_000,
    sloMs: 400,
    priority: 1,
    maxAttempts: 2,
    public: false,
    resumable: false,
    ...rest,
  };
}

/** Services of a configuration: an engine service and a plain one. */
export function services(
  slots: number,
  size = 2,
  reportLag = 0,
): readonly object[] {
  const model = { name: "m0", size, share: 1, pace: 1 };
  return [
    {
      name: "summarizer",
      healthPath: "/healthz",
      maxConns: 288,
      engine: {
        slots,
        kvCapacity: 1_000_000,
        stride: 5,
        models: [{ ...model, loadS: 2, warmS: 0.5 }],
        step_ms: 7.8,
        per_seq_ms: 0.1,
        read_per_s: 45_900,
        chunk: 2_048,
        report_lag_ms: reportLag,
        loadsPerS: 5,
        loads_at_once: 7,
        formMs: 300,
      },
    },
    { name: "delivery", healthPath: "/healthz", maxConns: 48 },
  ];
}

export const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Sends one request on a connection of its own. */
export function send(
  address: string,
  path: string,
  options: {
    readonly id: string;
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly timeout?: number;
  },
): Promise<IAnswer> {
  const { id, method = "POST", headers = {}, body, timeout = 8_000 } = options;
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    let text = "";
    let status = 0;
    let received: IAnswer["headers"] = {};
    const finish = (isComplete: boolean) =>
      resolve({ status, headers: received, text, isComplete });
    const request = httpRequest(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          host: HOST,
          authorization: `Bearer ${KEY}`,
          "x-attempt-id": id,
          "x-deadline-ms": String(timeout),
          ...headers,
        },
      },
      (response) => {
        status = response.statusCode ?? 0;
        received = response.headers;
        response.on("data", (piece: Buffer) => (text += piece.toString()));
        response.on("end", () => finish(response.complete));
        response.on("error", () => finish(false));
      },
    );
    const timer = setTimeout(() => request.destroy(), timeout);
    request.on("error", () => finish(false));
    request.on("close", () => {
      clearTimeout(timer);
      finish(false);
    });
    request.end(body);
  });
}

/** Waits for a condition; throws if it does not come about. */
export async function until(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeout = 30_000,
): Promise<void> {
  const end = performance.now() + timeout;
  while (!(await condition())) {
    if (performance.now() > end) {
      throw new Error(`waited in vain: ${description}`);
    }
    await sleep(20);
  }
}

export async function isReady({ readiness }: IEntry): Promise<boolean> {
  const answer = await send(readiness, "/readyz", { id: "r", method: "GET" });
  return answer.status === 200;
}

/** Runs a case and ends all that it has started. */
export async function runCase(
  folder: string,
  play: (deployment: Deployment, record: Record) => Promise<Exit>,
): Promise<void> {
  const record = new Record(folder);
  const deployment = new Deployment();
  let exit = Exit.NotRun;
  try {
    record.add(`trouble ${HAS_TROUBLE}`);
    exit = await play(deployment, record);
  } catch (error) {
    record.add(`could not run: ${String(error)}`);
  }
  await deployment.stop();
  record.add(`exit ${exit}`);
  process.exit(exit);
}

/** A port that nothing uses, and that no outgoing connection gets. */
async function freePort(): Promise<number> {
  for (;;) {
    const [lowest, highest] = PORTS;
    const port = lowest + Math.floor(Math.random() * (highest - lowest));
    const isFree = await new Promise<boolean>((resolve) => {
      const server = createServer();
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => {
        server.close(() => resolve(true));
      });
    });
    if (isFree && !takenPorts.has(port)) {
      takenPorts.add(port);
      return port;
    }
  }
}
