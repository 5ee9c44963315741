/** Stand-in for one instance of a model engine; four form one replica. */
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { request as call } from "undici";
import { OrderKind } from "../../common/services/services.ts";
import type {
  IEngineCall,
  IEngineOrder,
} from "../../common/services/services.ts";
import { TargetState } from "../../common/types.ts";
import type { IGroupMembership, ITargetReport } from "../../common/types.ts";
import { requestIdOf } from "../../adapters/targets/wire_id.ts";
import {
  errorAnswer,
  JsonServer,
  okAnswer,
  OVERLOAD_RETRY_AFTER,
  overloadAnswer,
} from "../shared/json_server.ts";
import type { IJsonAnswer, IJsonRequest } from "../shared/json_server.ts";
import { StreamFaultInjector } from "./stream_fault_injector.ts";
import { tokenText } from "./text.ts";
import { FencingMode } from "./types.ts";
import type { IEngineLogEntry, IEngineMemberOptions } from "./types.ts";

/** Exit code of a process that a prompt has crashed. */
const EXIT_CRASHED = 70;

const STATUS_NOT_FOUND = 404;
const STATUS_REFUSED = 409;
const STATUS_UNAVAILABLE = 503;

/** Milliseconds between checks of the other members while a request runs. */
const MEMBER_CHECK_INTERVAL = 100;
/** Milliseconds. */
const MEMBER_CHECK_TIMEOUT = 500;

interface IMembership extends IGroupMembership {
  readonly model: string;
  readonly members: readonly string[];
}

/** Body of the call that asks another member to take part in a request. */
interface IMemberWork {
  readonly requestId: string;
  readonly group: string;
  readonly generation: number;
}

/** Executes orders, and streams tokens while all members are present. */
export class EngineMember {
  readonly #options: IEngineMemberOptions;
  readonly #incarnation = randomUUID();
  readonly #log: IEngineLogEntry[] = [];
  readonly #server = new JsonServer((request) => this.#handle(request));
  readonly #faults = new StreamFaultInjector();
  #state = TargetState.Free;
  #membership: IMembership | null = null;
  #model = "";
  #highestEpoch = 0;
  #running = 0;
  #reportedLoad = { running: 0, tokens: 0 };
  #tokens = 0;

  constructor(options: IEngineMemberOptions) {
    this.#options = options;
  }

  listen(address: string): Promise<string> {
    setInterval(
      () => this.#updateReportedLoad(),
      this.#options.reportLag,
    ).unref();
    return this.#server.listen(address);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#server[Symbol.asyncDispose]();
  }

  #handle(request: IJsonRequest): Promise<IJsonAnswer | null> | IJsonAnswer {
    switch (request.parts[0]) {
      case "report":
        return okAnswer(this.#report());
      case "orders":
        return this.#handleOrder(request.body as IEngineOrder);
      case "generate":
        return this.#generate(request.body as IEngineCall, request.response);
      case "work":
        return this.#handleWork(request.body as IMemberWork);
      case "leave":
        this.#state = TargetState.Leaving;
        return okAnswer({});
      case "fault":
        this.#faults.set((request.body as { fault?: unknown }).fault);
        return okAnswer({});
      case "record":
        return okAnswer({ deeds: this.#log });
      default:
        return errorAnswer(STATUS_NOT_FOUND, "no such path");
    }
  }

  #report(): ITargetReport {
    const membership = this.#membership;
    return {
      instance: this.#options.id,
      incarnation: this.#incarnation,
      state: this.#state,
      membership: membership && {
        group: membership.group,
        generation: membership.generation,
        epoch: membership.epoch,
        rank: membership.rank,
      },
      model: this.#model,
      running: this.#reportedLoad.running,
      queued: 0,
      tokens: this.#reportedLoad.tokens,
      lag: this.#options.reportLag,
    };
  }

  #updateReportedLoad(): void {
    this.#reportedLoad = { running: this.#running, tokens: this.#tokens };
  }

  async #handleOrder(order: IEngineOrder): Promise<IJsonAnswer> {
    const { orderDelay, honoursValidity } = this.#options;
    if (orderDelay > 0) {
      await sleep(orderDelay);
    }
    if (honoursValidity && orderDelay > order.validFor) {
      this.#record("expired", order, "");
      return errorAnswer(STATUS_REFUSED, `valid for ${order.validFor} ms only`);
    }
    return this.#applyOrder(order);
  }

  #applyOrder(order: IEngineOrder): IJsonAnswer {
    const isOld = order.epoch < this.#highestEpoch;
    if (isOld && this.#options.fencing === FencingMode.Refuse) {
      this.#record("refused", order, "");
      return errorAnswer(STATUS_REFUSED, `epoch ${order.epoch} is superseded`);
    }
    if (this.#state === TargetState.Leaving) {
      return errorAnswer(STATUS_UNAVAILABLE, "leaving");
    }
    this.#highestEpoch = Math.max(this.#highestEpoch, order.epoch);
    if (order.kind === OrderKind.Release) {
      this.#membership = null;
      this.#state = TargetState.Free;
      this.#record("released", order, "");
      return okAnswer({});
    }
    if (order.kind === OrderKind.Load) {
      return this.#loadSpare(order);
    }
    this.#join(order);
    return okAnswer({});
  }

  /** Loads a model's weights on a spare, which is in no group. */
  #loadSpare(order: IEngineOrder): IJsonAnswer {
    if (this.#membership !== null) {
      return errorAnswer(STATUS_REFUSED, "in a group");
    }
    this.#record("loaded", order, "");
    this.#state = TargetState.Loading;
    setTimeout(() => {
      if (this.#membership === null && this.#state === TargetState.Loading) {
        this.#model = order.model;
        this.#state = TargetState.Free;
      }
    }, this.#options.loadTime);
    return okAnswer({});
  }

  #join(order: IEngineOrder): void {
    const { group, generation, epoch, rank, model, members } = order;
    this.#membership = { group, generation, epoch, rank, model, members };
    this.#record("joined", order, "");
    if (this.#model === model) {
      this.#state = TargetState.Ready;
      return;
    }
    this.#state = TargetState.Loading;
    const joined = this.#membership;
    setTimeout(() => {
      if (this.#membership === joined) {
        this.#model = model;
        this.#state = TargetState.Ready;
      }
    }, this.#options.loadTime);
  }

  /** Handles another member's call to take part in a request. */
  #handleWork(work: IMemberWork): IJsonAnswer {
    const membership = this.#membership;
    const isSameGroup =
      membership?.group === work.group &&
      membership.generation === work.generation;
    if (!isSameGroup || !this.#isServing) {
      return errorAnswer(STATUS_REFUSED, "not a member of that group");
    }
    this.#record(
      "worked",
      { ...work, epoch: membership.epoch },
      work.requestId,
    );
    return okAnswer({});
  }

  get #isServing(): boolean {
    return (
      this.#state === TargetState.Ready || this.#state === TargetState.Leaving
    );
  }

  async #generate(
    engineCall: IEngineCall,
    response: ServerResponse,
  ): Promise<IJsonAnswer | null> {
    const membership = this.#membership;
    const isSameGroup =
      membership?.group === engineCall.group &&
      membership.generation === engineCall.generation;
    if (membership === null || !this.#isServing) {
      return errorAnswer(STATUS_UNAVAILABLE, "in no group");
    }
    if (!isSameGroup && this.#options.fencing === FencingMode.Refuse) {
      return errorAnswer(STATUS_REFUSED, "another group or generation");
    }
    if (this.#state === TargetState.Leaving || this.#faults.isRefusing) {
      return errorAnswer(STATUS_UNAVAILABLE, "leaving");
    }
    if (this.#faults.isOverloaded) {
      this.#record("rejected", membership, engineCall.requestId);
      return overloadAnswer(OVERLOAD_RETRY_AFTER);
    }
    if (!(await this.#areMembersPresent(membership, engineCall.requestId))) {
      return errorAnswer(STATUS_UNAVAILABLE, "a member is missing");
    }
    await this.#streamAnswer(engineCall, membership, response);
    return null;
  }

  #crashIfToldTo(prompt: string): void {
    const { crashOn } = this.#options;
    const sections = prompt.split("\n\n");
    if (crashOn !== "" && sections.includes(crashOn)) {
      process.exit(EXIT_CRASHED);
    }
  }

  async #streamAnswer(
    engineCall: IEngineCall,
    membership: IMembership,
    response: ServerResponse,
  ): Promise<void> {
    this.#running += 1;
    this.#record("began", membership, engineCall.requestId);
    let isMemberMissing = false;
    const check = setInterval(() => {
      void this.#areMembersPresent(membership, engineCall.requestId).then(
        (arePresent) => {
          isMemberMissing ||= !arePresent;
        },
      );
    }, MEMBER_CHECK_INTERVAL);
    await sleep(this.#options.firstTokenTime);
    this.#crashIfToldTo(engineCall.prompt);
    response.writeHead(200, { "content-type": "text/event-stream" });
    let sequence = engineCall.resumeFrom;
    while (
      sequence < engineCall.maximumTokens &&
      !isMemberMissing &&
      !response.destroyed &&
      !response.writableEnded
    ) {
      const text = tokenText(engineCall.prompt, sequence);
      const event = formatEvent(engineCall, membership, { sequence, text });
      const { requestId } = engineCall;
      const faultyEvent = this.#faults.apply(event, sequence, requestId);
      response.write(faultyEvent.text);
      if (faultyEvent.closing !== "no") {
        closeResponse(response, faultyEvent.closing);
      }
      sequence += 1;
      this.#tokens += 1;
      await sleep(this.#tokenTime);
    }
    clearInterval(check);
    this.#running -= 1;
    this.#tokens -= sequence - engineCall.resumeFrom;
    if (response.destroyed || response.writableEnded) {
      this.#record("cancelled", membership, engineCall.requestId);
      return;
    }
    if (isMemberMissing) {
      response.destroy();
      return;
    }
    const end = { sequence, text: "" };
    response.end(`event: end\n${formatEvent(engineCall, membership, end)}`);
    this.#record("ended", membership, engineCall.requestId);
  }

  get #tokenTime(): number {
    const others = Math.max(0, this.#running - 1);
    return this.#options.tokenTime + others * this.#options.batchTime;
  }

  /** Whether every other member of the group takes part in the request. */
  async #areMembersPresent(
    membership: IMembership,
    requestId: string,
  ): Promise<boolean> {
    const { group, generation, members } = membership;
    const others = members.filter((_, rank) => rank !== membership.rank);
    const body = JSON.stringify({ requestId, group, generation });
    const answers = await Promise.all(
      others.map((address) => isMemberPresent(address, body)),
    );
    return answers.every((isPresent) => isPresent);
  }

  #record(
    kind: IEngineLogEntry["kind"],
    membership: {
      group: string;
      generation: number;
      epoch: number;
      members?: readonly string[];
    },
    wireId: string,
  ): void {
    const requestId = requestIdOf(wireId);
    const { group, generation, epoch, members = [] } = membership;
    const at = Date.now();
    const entry = { kind, at, group, generation, epoch, requestId, members };
    this.#log.push(entry);
  }
}

function closeResponse(
  response: ServerResponse,
  closing: "reset" | "end",
): void {
  if (closing === "end") {
    response.end();
  } else {
    response.destroy();
  }
}

async function isMemberPresent(
  address: string,
  body: string,
): Promise<boolean> {
  try {
    const answer = await call(`http://${address}/work`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body,
      headersTimeout: MEMBER_CHECK_TIMEOUT,
      bodyTimeout: MEMBER_CHECK_TIMEOUT,
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}

function formatEvent(
  engineCall: IEngineCall,
  membership: IMembership,
  token: { readonly sequence: number; readonly text: string },
): string {
  const { group, generation } = membership;
  const { requestId } = engineCall;
  const data = JSON.stringify({ requestId, group, generation, ...token });
  return `data: ${data}\n\n`;
}
