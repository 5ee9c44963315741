/**
 * Caches the list of instances, which is fetched again only after a change.
 *
 * Every daemon requests it each second; at the target size, the list has 2,300
 * entries and changes a few hundred times a day. Sent in full each time, it
 * would be by far the largest part of a daemon's traffic. A conditional request
 * (HTTP's ETag and If-None-Match) omits the body while nothing has changed, a
 * method that the crawler of the Cobra paper uses too. If the platform sends no
 * ETag, the full list is fetched each time.
 */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import { formatPath } from "../../common/plans/findings.ts";
import {
  CallFailureKind,
  InstanceState,
  ServiceKind,
} from "../../common/types.ts";
import type { ICallFailure, IInstance } from "../../common/types.ts";

const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;

const listSchema = z.object({
  instances: z.array(
    z.object({
      id: z.string().min(1),
      zone: z.string().min(1),
      domain: z.string().min(1),
      address: z.string().min(1),
      state: z.enum(InstanceState),
      kind: z.enum(ServiceKind),
      service: z.string(),
    }),
  ),
});

/** A response of the platform with its ETag. */
export interface ITaggedAnswer {
  readonly status: number;
  readonly body: unknown;
  /** The ETag; null when the platform sends none. */
  readonly tag: string | null;
}

/** Stores the last valid list and its ETag. */
export class InstanceListCache {
  #tag: string | null = null;
  #instances: readonly IInstance[] = [];

  /** Request headers that make the platform omit an unchanged list. */
  get requestHeaders(): Record<string, string> {
    return this.#tag === null ? {} : { "if-none-match": this.#tag };
  }

  /** Returns the list after a response; an invalid list is not stored. */
  update(answer: ITaggedAnswer): Result<readonly IInstance[], ICallFailure> {
    if (answer.status === STATUS_NOT_MODIFIED && this.#tag !== null) {
      return Ok(this.#instances);
    }
    if (answer.status !== STATUS_OK) {
      return refused(`platform answered ${answer.status}`);
    }
    const checked = listSchema.safeParse(answer.body);
    if (!checked.success) {
      const [issue] = checked.error.issues;
      const place = formatPath(issue?.path ?? []);
      return refused(`instance list: ${place}: ${issue?.message}`);
    }
    this.#tag = answer.tag;
    this.#instances = checked.data.instances;
    return Ok(this.#instances);
  }
}

function refused(detail: string): Result<never, ICallFailure> {
  return Err({ kind: CallFailureKind.Refused, detail });
}
