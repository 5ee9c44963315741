/** A model runner that follows the users' pages, and may hand out extra answers. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { Store } from "./store.ts";

/** Milliseconds between two heartbeats in the store. */
const HEARTBEAT = 1_200;

/** Tokens that one event holds. */
const TOKENS_AN_EVENT = 5;

/** What a runner has answered. */
export enum Answered {
  Report = "report",
  Order = "order",
  /** An order to open that has begun. */
  Opening = "opening",
  Shed = "shed",
  Misdirected = "misdirected",
  Stream = "stream",
}

/** What is known of one engine's model and times; milliseconds. */
export interface IEngineOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly domain: string;
  readonly slots: number;
  readonly queue: number;
  readonly loadTime: number;
  readonly warmTime: number;
  readonly openTime: number;
  readonly eventPeriod: number;
}

interface IMembership {
  readonly name: string;
  readonly epoch: number;
  readonly rank: number;
  readonly members: readonly string[];
  state: string;
}

/** A call that began to run. */
export interface IRun {
  readonly at: number;
  readonly engine: string;
  readonly attempt: string;
  readonly headers: IncomingMessage["headers"];
}

/** One runner of a service whose models need several of them. */
export class Engine {
  readonly options: IEngineOptions;
  address = "";
  readonly runs: IRun[] = [];
  /** Number of answers by kind, and of extra ones. */
  readonly answers: Record<string, number> = {};
  extraAnswers = 0;
  /** Whether an answer of a kind is followed by a second copy of it. */
  repeats: (kind: Answered, attempt: string | null) => boolean = () => false;
  /** Called when it is ready in a group. */
  onReady: (group: string, epoch: number) => void = () => undefined;
  /** Called with the members of its group when it begins to run a call. */
  onRun: (group: string, epoch: number, members: readonly string[]) => void =
    () => undefined;
  /** Called with its group before and after each join that it takes. */
  onJoin: (before: string | null, after: string) => void = () => undefined;
  /** Milliseconds after which an unanswered order is carried out; else null. */
  lateness: (op: string) => number | null = () => null;
  readonly #log: (text: string) => void;
  readonly #server: Server;
  #state = "ready";
  /** When it was ordered to close, milliseconds; null while it is open. */
  #closingSince: number | null = null;
  readonly #born = Date.now();
  #store: Store | null = null;
  #timer: NodeJS.Timeout | null = null;
  #membership: IMembership | null = null;
  #model: string | null = null;
  #staged: string | null = null;
  #orders = 0;
  #active = 0;
  readonly #queued: (() => void)[] = [];
  /** Second copies that come before the next answer on their connection. */
  readonly #extra = new WeakMap<Socket, Buffer>();

  constructor(options: IEngineOptions, log: (text: string) => void) {
    this.options = options;
    this.#log = log;
    this.#server = createServer({ keepAliveTimeout: 20_000 });
    this.#server.on("request", (request, response) => {
      void this.#handle(request, response);
    });
  }

  /** @param port - where it listens; any free one by default */
  async listen(store: Store, port = 0): Promise<void> {
    await this.open(port);
    this.register(store);
  }

  /** Listens; the store does not know of it yet. */
  async open(atPort: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(atPort, "127.0.0.1", resolve);
    });
    const { port } = this.#server.address() as { readonly port: number };
    this.address = `127.0.0.1:${port}`;
  }

  /** Writes heartbeats from now on. */
  register(store: Store): void {
    this.#store = store;
    this.#list();
    this.#timer = setInterval(() => this.#list(), HEARTBEAT);
  }

  close(): void {
    if (this.#timer !== null) {
      clearInterval(this.#timer);
    }
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Number of answers so far. */
  get answered(): number {
    return Object.values(this.answers).reduce((sum, one) => sum + one, 0);
  }

  /** Name of its group; null without one. */
  get group(): string | null {
    return this.#membership?.name ?? null;
  }

  get rank(): number | null {
    return this.#membership?.rank ?? null;
  }

  /** Whether it is the head of a group that takes or still runs requests. */
  get isOpenOrClosing(): boolean {
    const { rank, state } = this.#membership ?? {};
    return rank === 0 && (state === "open" || state === "closing");
  }

  /** Milliseconds for which it has been closing; 0 if it is not. */
  get closingTime(): number {
    const since = this.#closingSince;
    return since === null ? 0 : performance.now() - since;
  }

  /** Reports that it leaves, and goes on. */
  drain(): void {
    this.#state = "draining";
    this.#list();
  }

  get isOpen(): boolean {
    return this.#membership?.rank === 0 && this.#membership.state === "open";
  }

  #report(): object {
    const { name, epoch, rank, state } = this.#membership ?? {};
    return {
      stage: "mixed",
      born: this.#born,
      domain: this.options.domain,
      staged: this.#staged === null ? [] : [this.#staged],
      models: this.#model === null ? [] : [{ name: this.#model, version: 1 }],
      group: this.#membership === null ? null : { name, epoch, rank, state },
      busy: false,
      seqNo: this.#orders,
      queued: this.#queued.length,
      active: this.#active,
      kvUsed: 0,
      kvTotal: 1_000_000,
      handles: 0,
      pace: 1,
    };
  }

  /** Its entry in the store. */
  get entry(): object {
    return {
      ...this.#report(),
      service: this.options.service,
      address: this.address,
      zone: this.options.zone,
      version: "v1",
      slots: this.options.slots,
      state: this.#state,
      coldLeftMs: 0,
      seqNo: Math.floor(performance.now()),
    };
  }

  #list(): void {
    this.#store?.put("servers", this.options.id, this.entry);
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#writeExtra(request.socket);
    const pieces: Buffer[] = [];
    for await (const piece of request as AsyncIterable<Buffer>) {
      pieces.push(piece);
    }
    const expected = request.headers["x-expect-instance"];
    // A report is answered by whoever is at the address.
    const isOther = expected !== undefined && expected !== this.options.id;
    if (isOther && request.url !== "/report") {
      this.#answer(response, Answered.Misdirected, {
        status: 421,
        headers: { "x-instance-id": this.options.id },
      });
    } else if (request.url === "/report") {
      this.#answer(response, Answered.Report, {
        status: 200,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(this.#report()),
      });
    } else if (request.url === "/order") {
      const text = Buffer.concat(pieces).toString();
      const order = JSON.parse(text) as Record<string, unknown>;
      const delay = this.lateness(String(order["op"]));
      if (delay !== null) {
        this.#log(`${this.options.id} order ${text} late by ${delay} ms`);
        setTimeout(() => this.#apply(order), delay);
        return;
      }
      const status = this.#apply(order);
      this.#log(`${this.options.id} order ${JSON.stringify(order)} ${status}`);
      const isOpening = order["op"] === "open" && status === 202;
      const kind = isOpening ? Answered.Opening : Answered.Order;
      this.#answer(response, kind, { status, headers: {} });
    } else {
      this.#call(request, response);
    }
  }

  /** An extra answer comes late, where the next one is expected. */
  #writeExtra(socket: Socket): void {
    const bytes = this.#extra.get(socket);
    if (bytes !== undefined) {
      this.#extra.delete(socket);
      this.extraAnswers += 1;
      this.#log(`${this.options.id} extra ${firstLine(bytes)}`);
      socket.write(bytes);
    }
  }

  #answer(
    response: ServerResponse,
    kind: Answered,
    answer: {
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
      readonly body?: string;
      readonly attempt?: string;
    },
  ): void {
    const { status, headers, body = "", attempt = null } = answer;
    const length = { "content-length": String(Buffer.byteLength(body)) };
    const all = { ...headers, ...length };
    this.answers[kind] = (this.answers[kind] ?? 0) + 1;
    const { socket } = response;
    if (socket !== null && this.repeats(kind, attempt)) {
      const lines = Object.entries(all).map((pair) => pair.join(": "));
      const head = `HTTP/1.1 ${status} Again\r\n${lines.join("\r\n")}`;
      this.#extra.set(socket, Buffer.from(`${head}\r\n\r\n${body}`));
    }
    response.writeHead(status, all).end(body);
  }

  #apply(order: Record<string, unknown>): number {
    const { op, expect, group, epoch } = order;
    if (expect !== undefined && expect !== this.#orders) {
      return 409;
    }
    if (op === "join") {
      return this.#join(order);
    }
    if (op === "stage") {
      return this.#stage(String(order["model"]));
    }
    const one = this.#membership;
    if (one === null || one.name !== group || one.epoch !== epoch) {
      return op === "leave" ? 200 : 409;
    }
    if (op === "leave") {
      this.#membership = null;
    } else if (op === "open") {
      if (one.state === "open") {
        return 200;
      }
      if (one.state !== "ready" || one.rank !== 0) {
        return 409;
      }
      setTimeout(() => {
        one.state = "open";
        this.#list();
      }, this.options.openTime);
    } else if (op === "close") {
      if (one.state !== "open") {
        return 200;
      }
      one.state = this.#active > 0 ? "closing" : "ready";
      this.#closingSince = performance.now();
    } else {
      return 400;
    }
    return this.#begun();
  }

  #join(order: Record<string, unknown>): number {
    const members = order["members"] as readonly string[];
    const name = String(order["group"]);
    const epoch = Number(order["epoch"]);
    const model = String(order["model"]);
    const known = this.#membership;
    if (known?.name === name && known.epoch === epoch) {
      return known.members.join() === members.join() ? 200 : 412;
    }
    const rank = members.indexOf(this.options.id);
    const joined = { name, epoch, rank, members, state: "joining" };
    this.onJoin(known?.name ?? null, name);
    this.#membership = joined;
    this.#closingSince = null;
    const time =
      this.#model === model
        ? 200
        : this.#staged === model
          ? this.options.warmTime
          : this.options.loadTime;
    setTimeout(() => {
      joined.state = "ready";
      this.onReady(name, epoch);
      this.#staged = model;
      this.#list();
    }, time);
    this.#model = model;
    return this.#begun();
  }

  #stage(model: string): number {
    if (this.#staged === model) {
      return 200;
    }
    setTimeout(() => {
      this.#staged = model;
      this.#list();
    }, this.options.loadTime);
    return this.#begun();
  }

  #begun(): number {
    this.#orders += 1;
    this.#list();
    return 202;
  }

  #call(request: IncomingMessage, response: ServerResponse): void {
    const { slots, queue } = this.options;
    const attempt = String(request.headers["x-attempt-id"]);
    this.#log(`${this.options.id} arrival ${attempt}`);
    if (this.#membership !== null && this.#membership.rank > 0) {
      this.#answer(response, Answered.Misdirected, {
        status: 421,
        headers: { "x-instance-id": this.options.id },
      });
    } else if (
      !this.isOpen ||
      (this.#active >= slots && this.#queued.length >= queue)
    ) {
      this.#log(`${this.options.id} shed ${attempt}`);
      this.#answer(response, Answered.Shed, {
        status: 503,
        headers: { "x-not-executed": "1", "x-attempt-id": attempt },
        attempt,
      });
    } else if (this.#active >= slots) {
      this.#queued.push(() => this.#run(request, response));
    } else {
      this.#run(request, response);
    }
  }

  #run(request: IncomingMessage, response: ServerResponse): void {
    const attempt = String(request.headers["x-attempt-id"]);
    const { id: engine, eventPeriod } = this.options;
    const [, output] = String(request.headers["x-token-counts"]).split(",");
    const events = Math.ceil(Number(output) / TOKENS_AN_EVENT);
    if (response.destroyed) {
      this.#queued.shift()?.();
      return;
    }
    const { headers } = request;
    this.runs.push({ at: performance.now(), engine, attempt, headers });
    this.#log(`${engine} run ${attempt}`);
    const one = this.#membership;
    if (one !== null) {
      this.onRun(one.name, one.epoch, one.members);
    }
    this.answers[Answered.Stream] = (this.answers[Answered.Stream] ?? 0) + 1;
    // Counted only: a stream is not repeated.
    this.repeats(Answered.Stream, attempt);
    this.#active += 1;
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-attempt-id": attempt,
      "x-response-stamp": `${engine}.${this.runs.length}`,
    });
    let last = Number(headers["last-event-id"] ?? 0);
    const timer = setInterval(() => {
      last += 1;
      response.write(`id: ${last}\ndata: piece ${last}\n\n`);
      if (last >= events) {
        clearInterval(timer);
        response.end();
      }
    }, eventPeriod);
    response.once("close", () => {
      clearInterval(timer);
      this.#active -= 1;
      this.#log(`${engine} end ${attempt} at ${last}`);
      this.#queued.shift()?.();
      const membership = this.#membership;
      if (this.#active === 0 && membership?.state === "closing") {
        membership.state = "ready";
      }
    });
  }
}

function firstLine(bytes: Buffer): string {
  return bytes.toString().split("\r\n")[0] ?? "";
}
