/** Runners, by PROTOCOL.md: a plain one, and a member of a model's groups. */
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Record } from "./record.ts";
import type { Store } from "./store.ts";
import { listen, readJson, readText, sendJson } from "./http.ts";

/** Milliseconds between two heartbeats. */
const HEARTBEAT_PERIOD = 1_200;

/** Milliseconds that a join takes when the model was that of the last group. */
const QUICK_JOIN_TIME = 200;

/** Milliseconds from the order to open until the head takes requests. */
export const OPEN_TIME = 50;

/** Milliseconds between two events of a stream. */
const EVENT_PERIOD = 20;

/** Milliseconds from a request's arrival to its first token. */
const FIRST_TOKEN_TIME = 40;

/** One request that a runner ran. */
export interface IRun {
  readonly attempt: string;
  readonly target: string;
  /** Milliseconds since the start of the run. */
  readonly at: number;
}

/** What all runners share. */
export interface ITargetParts {
  readonly store: Store;
  readonly record: Record;
  /** Receives each request that a runner begins to run. */
  readonly onRun: (run: IRun) => void;
}

/** A runner's entry in the store, its server and its heartbeat. */
abstract class Target {
  readonly id: string;
  readonly service: string;
  address = "";
  protected readonly parts: ITargetParts;
  readonly #server = createServer((request, response) => {
    void this.#handle(request, response);
  });
  readonly #born = Date.now();
  #beats = 0;
  #heartbeat: NodeJS.Timeout | null = null;

  constructor(id: string, service: string, parts: ITargetParts) {
    this.id = id;
    this.service = service;
    this.parts = parts;
  }

  async start(): Promise<void> {
    this.address = await listen(this.#server);
    this.publish();
    this.#heartbeat = setInterval(() => this.publish(), HEARTBEAT_PERIOD);
  }

  /** Leaves without a word: its entry goes, and it serves on. */
  leaveUnannounced(): void {
    clearInterval(this.#heartbeat ?? undefined);
    this.#heartbeat = null;
    this.parts.store.remove("servers", this.id);
    this.parts.record.add("entry_removed", { target: this.id });
  }

  stop(): void {
    clearInterval(this.#heartbeat ?? undefined);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  protected publish(): void {
    this.#beats += 1;
    this.parts.store.put("servers", this.id, {
      service: this.service,
      address: this.address,
      zone: "north-a",
      version: "v1",
      slots: this.slots,
      state: "ready",
      coldLeftMs: 0,
      born: this.#born,
      ...this.state,
      seqNo: this.#beats,
    });
  }

  protected get born(): number {
    return this.#born;
  }

  /** Requests that it runs at once; the cases send fewer. */
  protected get slots(): number {
    return 6;
  }

  /** Fields beyond those of every entry. */
  protected abstract get state(): object;

  protected abstract answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void>;

  protected recordRun(attempt: string): void {
    const { record, onRun } = this.parts;
    record.add("run", { attempt, target: this.id });
    onRun({ attempt, target: this.id, at: record.now });
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const expected = request.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "x-instance-id": this.id }).end();
      return;
    }
    await this.answer(request, response);
  }
}

/** A runner of a plain service, which answers after a fixed time. */
export class PlainTarget extends Target {
  /** Milliseconds that a request runs. */
  runTime = 20;

  protected override get state(): object {
    return {};
  }

  protected override async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    await readText(request);
    const attempt = request.headers["x-attempt-id"];
    if (typeof attempt !== "string") {
      response.writeHead(400, { "x-not-executed": "1" }).end();
      return;
    }
    this.recordRun(attempt);
    setTimeout(() => {
      response.writeHead(200, {
        "x-attempt-id": attempt,
        "x-response-stamp": this.id,
      });
      response.end(`done by ${this.id}`);
    }, this.runTime);
  }
}

interface IGroup {
  readonly name: string;
  readonly epoch: number;
  readonly rank: number;
  readonly members: string;
  state: "joining" | "ready" | "open" | "closing" | "broken";
}

interface IOrder {
  readonly op: string;
  readonly expect?: number;
  readonly group?: string;
  readonly epoch?: number;
  readonly model?: string;
  readonly members?: readonly string[];
}

/** How long a member takes to load, milliseconds. */
export interface ILoadTimes {
  readonly cold: number;
  readonly staged: number;
}

/** A member of groups, which writes streams as their head. */
export class Engine extends Target {
  /** Events of a complete stream. */
  eventCount = 20;
  /** Whether the answer to a request that it runs is lost. */
  losesAnswer: () => boolean = () => false;
  readonly #loadTimes: ILoadTimes;
  #group: IGroup | null = null;
  #model: string | null = null;
  #staged: readonly string[] = [];
  #orders = 0;
  #highestEpoch = 0;
  #active = 0;

  constructor(
    id: string,
    rest: {
      readonly service: string;
      readonly parts: ITargetParts;
      readonly loadTimes: ILoadTimes;
    },
  ) {
    super(id, rest.service, rest.parts);
    this.#loadTimes = rest.loadTimes;
  }

  protected override get slots(): number {
    return 12;
  }

  protected override get state(): object {
    const group = this.#group;
    return {
      domain: "north-a-d0",
      staged: this.#staged,
      models: this.#model === null ? [] : [{ name: this.#model, version: 1 }],
      group: group && {
        name: group.name,
        epoch: group.epoch,
        rank: group.rank,
        state: group.state,
      },
    };
  }

  protected override async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === "/report") {
      sendJson(response, 200, {
        born: this.born,
        seqNo: this.#orders,
        queued: 0,
        active: this.#active,
        ...this.state,
      });
    } else if (request.url === "/order") {
      const order = (await readJson(request)) as IOrder;
      response.writeHead(this.#apply(order)).end();
      this.publish();
    } else {
      await readText(request);
      this.#run(request, response);
    }
  }

  /** Returns the status of an order's answer. */
  #apply(order: IOrder): number {
    const { op, expect = this.#orders } = order;
    if (expect !== this.#orders) {
      return 409;
    }
    const status = op === "join" ? this.#join(order) : this.#change(order);
    this.#orders += status === 202 ? 1 : 0;
    return status;
  }

  #join({ group, epoch, model, members }: IOrder): number {
    const known = this.#group;
    const list = (members ?? []).join();
    const isSame = known?.name === group && known?.epoch === epoch;
    if (Number(epoch) < this.#highestEpoch) {
      return 412;
    }
    if (isSame) {
      return known?.members === list ? 200 : 412;
    }
    this.#highestEpoch = Number(epoch);
    const isQuick = this.#model === model;
    const isStaged = this.#staged.includes(String(model));
    const { cold, staged } = this.#loadTimes;
    const time = isQuick ? QUICK_JOIN_TIME : isStaged ? staged : cold;
    const joined: IGroup = {
      name: String(group),
      epoch: Number(epoch),
      rank: (members ?? []).indexOf(this.id),
      members: list,
      state: "joining",
    };
    this.#group = joined;
    this.#model = String(model);
    setTimeout(() => {
      joined.state = "ready";
      this.#staged = [String(model)];
      this.publish();
    }, time);
    return 202;
  }

  #change({ op, group: name, epoch, model }: IOrder): number {
    if (op === "stage") {
      setTimeout(() => {
        this.#staged = [String(model)];
        this.publish();
      }, this.#loadTimes.cold);
      return 202;
    }
    const group = this.#group;
    if (group === null || group.name !== name || group.epoch !== epoch) {
      return 409;
    }
    if (op === "leave") {
      this.#group = null;
      return 202;
    }
    if (op === "close") {
      group.state = this.#active > 0 ? "closing" : "ready";
      return 202;
    }
    if (op !== "open" || group.rank !== 0 || group.state === "joining") {
      return op === "open" ? 409 : 400;
    }
    setTimeout(() => {
      group.state = "open";
      this.publish();
    }, OPEN_TIME);
    return 202;
  }

  #run(request: IncomingMessage, response: ServerResponse): void {
    const attempt = String(request.headers["x-attempt-id"]);
    if (this.#group?.rank !== 0 || this.#group.state !== "open") {
      const status = this.#group?.rank === 0 ? 503 : 421;
      response.writeHead(status, { "x-not-executed": "1" }).end();
      return;
    }
    const isLost = this.losesAnswer();
    let id = Number(request.headers["last-event-id"] ?? 0);
    this.#active += 1;
    let timer: NodeJS.Timeout | null = null;
    const start = setTimeout(() => {
      this.recordRun(attempt);
      if (isLost) {
        this.parts.record.add("answer_lost", { attempt, target: this.id });
        request.socket.resetAndDestroy();
        return;
      }
      response.writeHead(200, {
        "content-type": "text/event-stream",
        "x-attempt-id": attempt,
        "x-response-stamp": this.id,
      });
      timer = setInterval(() => {
        id += 1;
        response.write(`id: ${id}\ndata: piece ${id}\n\n`);
        if (id >= this.eventCount) {
          clearInterval(timer ?? undefined);
          response.end();
        }
      }, EVENT_PERIOD);
    }, FIRST_TOKEN_TIME);
    response.once("close", () => {
      clearTimeout(start);
      clearInterval(timer ?? undefined);
      this.#active -= 1;
      if (this.#active === 0 && this.#group?.state === "closing") {
        this.#group.state = "ready";
        this.publish();
      }
    });
  }
}
