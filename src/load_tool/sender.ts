/** Sends requests and measures their answers as a caller sees them. */
import { createParser } from "eventsource-parser";
import { performance } from "node:perf_hooks";
import { Agent, request } from "undici";
import type { IArrival, ILoadResult } from "./types.ts";

/** Milliseconds without data after which the tool abandons a request. */
const IDLE_TIMEOUT = 60_000;

interface IMeasuredAnswer {
  outcome: string;
  reason: string;
  firstByte: number;
  readonly gaps: number[];
}

/** Sends requests to several entry addresses in turn. */
export class Sender {
  readonly #addresses: readonly string[];
  readonly #agent = new Agent({
    headersTimeout: IDLE_TIMEOUT,
    bodyTimeout: IDLE_TIMEOUT,
  });
  #sent = 0;

  constructor(addresses: readonly string[]) {
    this.#addresses = addresses;
  }

  /** @param due - when the request was due, by `performance.now()` */
  async send(arrival: IArrival, due: number): Promise<ILoadResult> {
    const measured: IMeasuredAnswer = {
      outcome: "reset",
      reason: "",
      firstByte: 0,
      gaps: [],
    };
    try {
      await this.#sendRequest(arrival, due, measured);
    } catch (error) {
      measured.outcome = "reset";
      measured.reason = error instanceof Error ? error.name : "";
    }
    const total = performance.now() - due;
    const isCompleted = measured.outcome === "completed";
    return {
      stream: arrival.stream.name,
      ...measured,
      total,
      onTime: isCompleted && total <= arrival.stream.deadline,
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent.destroy();
  }

  async #sendRequest(
    arrival: IArrival,
    due: number,
    measured: IMeasuredAnswer,
  ): Promise<void> {
    const answer = await request(this.#url(arrival), {
      method: "POST",
      dispatcher: this.#agent,
      headers: {
        authorization: `Bearer ${arrival.stream.credential}`,
        "content-type": "application/json",
        ...(arrival.key === null ? {} : { "idempotency-key": arrival.key }),
      },
      body: JSON.stringify(arrival.body),
    });
    const type = String(answer.headers["content-type"]);
    if (type.startsWith("text/event-stream")) {
      await readEvents(answer.body, due, measured);
      return;
    }
    const body = (await answer.body.json()) as {
      outcome?: string;
      reason?: string;
    };
    measured.firstByte = performance.now() - due;
    measured.outcome = body.outcome ?? "reset";
    measured.reason = body.reason ?? "";
  }

  #url(arrival: IArrival): string {
    const address = this.#addresses[this.#sent % this.#addresses.length];
    this.#sent += 1;
    return `http://${address}/v1/services/${arrival.stream.operation}`;
  }
}

/** A streamed answer is complete only once its end event arrives. */
async function readEvents(
  body: AsyncIterable<Buffer>,
  due: number,
  measured: IMeasuredAnswer,
): Promise<void> {
  let lastEventAt = 0;
  const parser = createParser({
    onEvent: (event) => {
      if (event.event === "end") {
        measured.outcome = "completed";
        return;
      }
      const now = performance.now();
      if (lastEventAt === 0) {
        measured.firstByte = now - due;
      } else {
        measured.gaps.push(now - lastEventAt);
      }
      lastEventAt = now;
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
  }
}
