/** Sends one request and reads its answer as a caller would. */
import { createParser } from "eventsource-parser";
import { performance } from "node:perf_hooks";
import { Agent, request } from "undici";
import type { IArrival, ILoadResult } from "./types.ts";

/** Silence after which the tool itself gives a request up, milliseconds. */
const IDLE_TIMEOUT = 60_000;

interface IMeasuredAnswer {
  outcome: string;
  reason: string;
  firstByte: number;
  readonly gaps: number[];
}

/** Sends to several entry addresses in turn. */
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

  /** @param due - when the request was due, on this process's clock */
  async send(arrival: IArrival, due: number): Promise<ILoadResult> {
    const reading: IMeasuredAnswer = {
      outcome: "reset",
      reason: "",
      firstByte: 0,
      gaps: [],
    };
    try {
      await this.#sendRequest(arrival, due, reading);
    } catch (error) {
      reading.outcome = "reset";
      reading.reason = error instanceof Error ? error.name : "";
    }
    const total = performance.now() - due;
    const isCompleted = reading.outcome === "completed";
    return {
      stream: arrival.stream.name,
      ...reading,
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
    reading: IMeasuredAnswer,
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
      await readEvents(answer.body, due, reading);
      return;
    }
    const body = (await answer.body.json()) as {
      outcome?: string;
      reason?: string;
    };
    reading.firstByte = performance.now() - due;
    reading.outcome = body.outcome ?? "reset";
    reading.reason = body.reason ?? "";
  }

  #url(arrival: IArrival): string {
    const address = this.#addresses[this.#sent % this.#addresses.length];
    this.#sent += 1;
    return `http://${address}/v1/services/${arrival.stream.operation}`;
  }
}

/** Only the end mark makes a stream a whole answer. */
async function readEvents(
  body: AsyncIterable<Buffer>,
  due: number,
  reading: IMeasuredAnswer,
): Promise<void> {
  let last = 0;
  const parser = createParser({
    onEvent: (event) => {
      if (event.event === "end") {
        reading.outcome = "completed";
        return;
      }
      const now = performance.now();
      if (last === 0) {
        reading.firstByte = now - due;
      } else {
        reading.gaps.push(now - last);
      }
      last = now;
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
  }
}
