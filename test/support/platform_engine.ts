/** An engine member that speaks the users' platform's protocol. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { listenOn } from "../../src/adapters/listen.ts";
import { fieldsOf } from "./broken_answers.ts";
import type { RawAnswer } from "./broken_answers.ts";
import type { IArrival } from "./leaving_callers.ts";
import { writePieces } from "./endless_pieces.ts";
import type { IEndlessAnswer } from "./endless_pieces.ts";
import { writeEventsWithoutEnd, writeWithoutEnd } from "./endless_writer.ts";
import type { PlatformStore } from "./platform_store.ts";
import { RetryAfterRule } from "./retry_after_rule.ts";

/** Milliseconds between two events of a stream. */
const EVENT_PERIOD = 20;

/** Milliseconds from the start of an answer to the crash that it causes. */
const CRASH_DELAY = 60;

/** Milliseconds from the start of a run until its answer is lost. */
const LOSS_DELAY = 5;

/** Milliseconds after a crash until the platform drops the engine. */
const EXPIRY_TIME = 2_000;

/** Milliseconds from an order until its effect is listed in the store. */
const LISTING_DELAY = 700;

/** Milliseconds after a crash until it is back, under another id. */
const RESTART_TIME = 2_500;

/** What an engine writes without end. */
export enum EndlessAnswer {
  /** A status check or report. */
  Report = "report",
  /** The answer to an order. */
  Order = "order",
  /** A stream, without the end of an event. */
  Stream = "stream",
  /** Events of a stream. */
  Events = "events",
  /** A failure in place of a stream. */
  Failure = "failure",
}

/** What an engine answers in pieces without end. */
export interface IEnginePieces {
  /** Path of the requests; null for calls. */
  readonly path: string | null;
  readonly answer: IEndlessAnswer;
}

/** Something that happened because of a part of a prompt. */
export interface IPartEvent {
  /** Milliseconds. */
  readonly at: number;
  /** Null for a crash without one. */
  readonly part: string | null;
}

interface IGroup {
  readonly name: string;
  readonly epoch: number;
  readonly rank: number;
  state: string;
}

/** Applies orders immediately and writes streams of a fixed length. */
export class PlatformEngine {
  id: string;
  #server: Server;
  readonly #service: string;
  address = "";
  #group: IGroup | null = null;
  #model: string | null = null;
  #staged: string[] = [];
  /** Orders begun since the start. */
  #orderCount = 0;
  /** Events of a complete stream. */
  eventCount: number;
  /** While true, streams write nothing and no request is answered. */
  isStalled = false;
  /** Seconds for which it wants no requests; null while it takes them. */
  retryAfter: number | null = null;
  /** Whether it says in its answers that it is about to leave. */
  isLeaving = false;
  readonly rejectionRule = new RetryAfterRule(performance);
  /** Ids of the attempts that reached this engine. */
  readonly arrivals: string[] = [];
  /** The same attempts, and when they arrived. */
  readonly timedArrivals: IArrival[] = [];
  /** Ids of the attempts that this engine started to run. */
  readonly runs: string[] = [];
  /** When each of these runs ended, milliseconds; missing while it lasts. */
  readonly runEnds = new Map<string, number>();
  /** Until when it writes nothing and reads no requests, milliseconds. */
  #pausedUntil = 0;
  /** Until when its streams write nothing and it rejects calls, milliseconds. */
  #stalledUntil = 0;
  /** Number of streams that it writes now. */
  openStreams = 0;
  /** Own parts of requests that crash it when it begins an answer on them. */
  crashingRequests: ReadonlySet<string> = new Set();
  /** Its crashes by requests, and the calls with such a part that arrived. */
  readonly requestCrashes: IPartEvent[] = [];
  readonly requestArrivals: IPartEvent[] = [];
  /** Number of runs that have neither ended nor been aborted. */
  activeRuns = 0;
  /** Parts of prompts that crash it when it begins an answer on them. */
  crashingParts: ReadonlySet<string> = new Set();
  /** Milliseconds from the start of a run to its head and first event. */
  startDelay = 0;
  /** Whether a run that it starts loses its answer, by a reset. */
  losesAnswer: () => boolean = () => false;
  /** What it writes without end; null for nothing. */
  endless: EndlessAnswer | null = null;
  /** What it writes in pieces in place of an answer; null for nothing. */
  pieces: IEnginePieces | null = null;
  /** Writes what it answers to calls, raw on the connection; null for streams. */
  answerRaw: RawAnswer | null = null;
  /** Whether it is down after a crash. */
  isDown = false;
  /** Its crashes, and the calls with such a part that arrived. */
  readonly crashes: IPartEvent[] = [];
  readonly crashingArrivals: IPartEvent[] = [];
  #store: PlatformStore | null = null;
  #starts = 0;
  readonly #timers = new Set<NodeJS.Timeout>();

  /** @param events - number of events in a complete stream */
  constructor(id: string, service: string, events: number) {
    this.id = id;
    this.#service = service;
    this.eventCount = events;
    this.#server = this.#createServer();
  }

  async listen(store: PlatformStore, address = "127.0.0.1:0"): Promise<void> {
    this.#store = store;
    this.#starts += 1;
    this.address = await listenOn(this.#server, address);
    this.#list();
  }

  /** Its entry is removed, and it serves on. */
  leaveUnannounced(): void {
    this.#store?.remove("servers", this.id);
    this.#store = null;
  }

  #list(): void {
    this.#store?.put("servers", this.id, {
      service: this.#service,
      address: this.address,
      zone: "north-a",
      version: "v1",
      slots: 12,
      state: "ready",
      ...this.#report(),
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  /** Pauses for some milliseconds, like a process that gets SIGSTOP. */
  pause(milliseconds: number): void {
    this.#pausedUntil = performance.now() + milliseconds;
  }

  /** Makes no progress for some milliseconds, and takes no calls meanwhile. */
  stall(milliseconds: number): void {
    this.#stalledUntil = performance.now() + milliseconds;
  }

  get #isStalling(): boolean {
    return performance.now() < this.#stalledUntil;
  }

  get #pauseLeft(): number {
    return Math.max(0, this.#pausedUntil - performance.now());
  }

  /** Ends it: its connections are reset and new ones refused. */
  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /**
   * Crashes; it is back after a while under another id.
   *
   * @param part - what made it crash; null if it does by itself
   */
  crash(part: string | null = null): void {
    if (this.isDown) {
      return;
    }
    this.isDown = true;
    this.crashes.push({ at: performance.now(), part });
    this.#server.closeAllConnections();
    this.#server.close();
    const { id } = this;
    this.#after(EXPIRY_TIME, () => this.#store?.remove("servers", id));
    this.#after(RESTART_TIME, () => void this.#restart());
  }

  async #restart(): Promise<void> {
    const [first] = this.id.split("/");
    this.id = `${first}/${this.#starts}`;
    this.#group = null;
    this.#model = null;
    this.#orderCount = 0;
    this.#server = this.#createServer();
    if (this.#store !== null) {
      await this.listen(this.#store, this.address);
      this.isDown = false;
    }
  }

  #after(delay: number, callback: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      callback();
    }, delay);
    this.#timers.add(timer);
  }

  #createServer(): Server {
    return createServer((request, response) => {
      void this.#handleRequest(request, response);
    });
  }

  #report(): object {
    return {
      born: this.#starts,
      domain: "north-a-d0",
      staged: this.#staged,
      models: this.#model ? [{ name: this.#model }] : [],
      group: this.#group,
      seqNo: this.#orderCount,
      queued: 0,
      active: 0,
    };
  }

  /** The group that it is in; null if it is in none. */
  get group(): string | null {
    return this.#group?.name ?? null;
  }

  /** Whether it is the head of an open group. */
  get isServing(): boolean {
    return this.#group?.rank === 0 && this.#group.state === "open";
  }

  async #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.isStalled) {
      return;
    }
    while (this.#pauseLeft > 0) {
      await sleep(this.#pauseLeft);
    }
    if (response.destroyed) {
      return;
    }
    const attempt = request.headers["x-attempt-id"];
    if (this.answerRaw !== null && attempt !== undefined && this.isServing) {
      this.answerRaw(request.socket, fieldsOf(String(attempt), this.id));
      return;
    }
    let text = "";
    for await (const chunk of request as AsyncIterable<Buffer>) {
      text += chunk.toString();
    }
    if (this.isLeaving) {
      response.setHeader("server-leaving", "1");
    }
    if (this.pieces !== null && request.url === this.pieces.path) {
      writePieces(request.socket, this.pieces.answer);
    } else if (request.url === `/${this.endless}`) {
      writeWithoutEnd(response);
    } else if (request.url === "/report") {
      response.end(JSON.stringify(this.#report()));
    } else if (request.url === "/order") {
      const isDone = this.#applyOrder(
        JSON.parse(text) as Record<string, unknown>,
      );
      response.writeHead(isDone ? 200 : 409).end();
    } else if (this.isServing) {
      this.#handleCall(request, response);
    } else {
      response.writeHead(503, { "x-not-executed": "1" }).end();
    }
  }

  #applyOrder(order: Record<string, unknown>): boolean {
    const { expect = this.#orderCount } = order;
    if (expect !== this.#orderCount || !this.#changeState(order)) {
      return false;
    }
    this.#orderCount += 1;
    const { id } = this;
    this.#after(LISTING_DELAY, () => {
      if (id === this.id && !this.isDown) {
        this.#list();
      }
    });
    return true;
  }

  /** Returns false for an order that does not fit the state. */
  #changeState(order: Record<string, unknown>): boolean {
    const { op, group, epoch, model, members } = order;
    if (op === "join") {
      const rank = (members as string[]).indexOf(this.id);
      const name = String(group);
      this.#group = { name, epoch: Number(epoch), rank, state: "ready" };
      this.#model = String(model);
      this.#staged = [this.#model];
      return true;
    }
    if (op === "stage") {
      this.#staged = [String(model)];
      return true;
    }
    if (this.#group?.name !== group) {
      return false;
    }
    if (op === "leave") {
      this.#group = null;
    } else if (this.#group !== null) {
      this.#group.state = op === "open" ? "open" : "ready";
    }
    return true;
  }

  #handleCall(request: IncomingMessage, response: ServerResponse): void {
    const id = String(request.headers["x-attempt-id"]);
    this.arrivals.push(id);
    this.timedArrivals.push({ id, at: performance.now() });
    this.rejectionRule.recordArrival("entry", this.id);
    if (this.#isStalling) {
      response.writeHead(503, { "x-not-executed": "1" }).end();
      return;
    }
    if (this.retryAfter === null) {
      this.#stream(request, response);
      return;
    }
    const milliseconds = this.retryAfter * 1_000;
    this.rejectionRule.recordRejection("entry", this.id, milliseconds);
    response.writeHead(503, {
      "x-not-executed": "1",
      "retry-after": String(this.retryAfter),
    });
    response.end();
  }

  /** The last part belongs to the request itself. */
  #crashingPartOf({ headers }: IncomingMessage): string | null {
    const entries = String(headers["x-prompt-prefix"] ?? "").split(",");
    const parts = entries.slice(0, -1).map((entry) => entry.split(":")[0]);
    return parts.find((part = "") => this.crashingParts.has(part)) ?? null;
  }

  #crashingRequestOf({ headers }: IncomingMessage): string | null {
    const own = String(headers["x-prompt-prefix"] ?? "")
      .split(",")
      .at(-1);
    const part = own?.split(":")[0] ?? "";
    return this.crashingRequests.has(part) ? part : null;
  }

  #stream(request: IncomingMessage, response: ServerResponse): void {
    const attempt = String(request.headers["x-attempt-id"]);
    this.runs.push(attempt);
    this.activeRuns += 1;
    this.runEnds.delete(attempt);
    response.on("close", () => {
      this.activeRuns -= 1;
      this.runEnds.set(attempt, performance.now());
    });
    const part = this.#crashingPartOf(request);
    if (part !== null) {
      this.crashingArrivals.push({ at: performance.now(), part });
      this.#after(CRASH_DELAY, () => this.crash(part));
    }
    const own = this.#crashingRequestOf(request);
    if (own !== null) {
      this.requestArrivals.push({ at: performance.now(), part: own });
      this.#after(this.startDelay + CRASH_DELAY, () => {
        if (!this.isDown) {
          this.requestCrashes.push({ at: performance.now(), part: own });
        }
        this.crash(own);
      });
    }
    if (this.losesAnswer()) {
      this.#after(LOSS_DELAY, () => response.socket?.resetAndDestroy());
    } else if (this.startDelay === 0) {
      this.#answer(request, response);
    } else {
      this.#after(this.startDelay, () => this.#answer(request, response));
    }
  }

  #answer(request: IncomingMessage, response: ServerResponse): void {
    const attempt = String(request.headers["x-attempt-id"]);
    if (this.pieces?.path === null) {
      writePieces(request.socket, this.pieces.answer, [
        `x-attempt-id: ${attempt}`,
        `x-response-stamp: ${this.id}`,
      ]);
      return;
    }
    if (this.endless === EndlessAnswer.Failure) {
      response.writeHead(500, { "x-response-stamp": this.id });
      writeWithoutEnd(response);
      return;
    }
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-attempt-id": attempt,
      "x-response-stamp": this.id,
    });
    if (this.endless === EndlessAnswer.Events) {
      writeEventsWithoutEnd(response);
      return;
    }
    if (this.endless === EndlessAnswer.Stream) {
      writeWithoutEnd(response);
      return;
    }
    let id = Number(request.headers["last-event-id"] ?? 0);
    this.openStreams += 1;
    const timer = setInterval(() => {
      if (this.isStalled || this.#isStalling || this.#pauseLeft > 0) {
        return;
      }
      id += 1;
      response.write(`id: ${id}\ndata: piece ${id}\n\n`);
      if (id >= this.eventCount) {
        clearInterval(timer);
        response.end();
      }
    }, EVENT_PERIOD);
    response.on("close", () => {
      clearInterval(timer);
      this.openStreams -= 1;
    });
  }
}
