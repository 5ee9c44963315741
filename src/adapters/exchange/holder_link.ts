/** The HTTP client for exchanges with the lease holder. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { request } from "undici";
import type { Agent } from "undici";
import type {
  ExchangeAnswer,
  IHolderLink,
  IProcessReport,
} from "../../common/replicas/exchange.ts";
import { CallFailureKind } from "../../common/types.ts";
import type { ICallFailure } from "../../common/types.ts";
import { HttpClients } from "../http/http_clients.ts";
import { callFailureOf } from "../http_failure.ts";
import { JsonBudget } from "../json_text.ts";
import { withTimeLimit } from "../time_limit.ts";
import { decodeExchangeAnswer } from "./holder_reply_schema.ts";
import { EXCHANGE_PATH } from "./inner_server.ts";

/** Milliseconds. */
const CONNECT_TIMEOUT = 500;
/**
 * The whole table of the target size, with all targets, takes some millions of
 * bytes, and few hundred thousand values.
 */
const REPLY_BOUNDS = { bytes: 8_388_608, values: 1_048_576 };

const STATUS_OK = 200;
const STATUS_NOT_HOLDER = 409;

/** Sends process reports to the process that holds the lease. */
export class HolderLink implements IHolderLink {
  readonly #clients: HttpClients;
  readonly #agent: Agent;

  /** @param clients - create the connections */
  constructor(clients = new HttpClients()) {
    this.#clients = clients;
    this.#agent = clients.createAgent({
      connect: { timeout: CONNECT_TIMEOUT },
    });
  }

  async exchange(
    address: string,
    report: IProcessReport,
    timeout: number,
  ): Promise<Result<ExchangeAnswer, ICallFailure>> {
    const attempted = `exchange with ${address}`;
    try {
      const { status, body } = await withTimeLimit(timeout, async (signal) => {
        const answer = await request(`http://${address}${EXCHANGE_PATH}`, {
          method: "POST",
          dispatcher: this.#agent,
          headers: { "content-type": "application/json" },
          body: JSON.stringify(report),
          signal,
        });
        const budget = new JsonBudget(REPLY_BOUNDS);
        const limits = { budget, source: address };
        const body = await this.#clients.readJson(answer.body, limits);
        return { status: answer.statusCode, body };
      });
      if (status !== STATUS_OK && status !== STATUS_NOT_HOLDER) {
        const detail = `${attempted}: answered ${status}`;
        return Err({ kind: CallFailureKind.Refused, detail });
      }
      const decoded = decodeExchangeAnswer(body);
      const detail = `${attempted}: answered in another form`;
      return decoded === null
        ? Err({ kind: CallFailureKind.Refused, detail })
        : Ok(decoded);
    } catch (error) {
      return Err(callFailureOf(attempted, error));
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent.destroy();
  }
}
