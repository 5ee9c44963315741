/** The request rates that targets accept, as they name them in answers. */
import type { ILog } from "../services/services.ts";
import type { InstanceId } from "../types.ts";
import type { IResponseHead } from "./types.ts";

const STATUS_OK = 200;
const STATUS_REDIRECT = 300;

/** The limits known to one process. */
export class TargetRateLimits {
  readonly #log: ILog;
  /** Requests per second of all processes together. */
  readonly #limits = new Map<InstanceId, number>();

  constructor(log: ILog) {
    this.#log = log;
  }

  /** Handles the head of a target's response. */
  recordResponse(target: InstanceId, head: IResponseHead): void {
    const before = this.#limits.get(target) ?? null;
    const isSuccess = head.status >= STATUS_OK && head.status < STATUS_REDIRECT;
    // Only a success shows that a limit has ended: a failure may come from
    // something in front of the target.
    const rate = head.rateLimit ?? (isSuccess ? null : before);
    if (rate === before) {
      return;
    }
    if (rate === null) {
      this.#limits.delete(target);
    } else {
      this.#limits.set(target, rate);
    }
    this.#log.info("target_limit", { target, rate });
  }
}
