/**
 * The list of instances, fetched again only when it has changed.
 *
 * Every daemon asks each second; at the target size the list is 2,300 entries
 * long and changes a few hundred times a day. Sent whole each time it would
 * be by far the most of a daemon's traffic. A conditional request (ETag and
 * If-None-Match of HTTP) leaves the body out while nothing has changed; the
 * Cobra paper's crawler saves its traffic by the same means. A platform that
 * sends no ETag is read whole, as before.
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

/** An answer of the platform with the tag of its content. */
export interface ITaggedAnswer {
  readonly status: number;
  readonly body: unknown;
  /** Names the content; null when the platform tells none. */
  readonly tag: string | null;
}

/** Keeps the last list and its tag. */
export class InstanceListCache {
  #tag: string | null = null;
  #instances: readonly IInstance[] = [];

  /** What to send so that an unchanged list is not sent again. */
  get requestHeaders(): Record<string, string> {
    return this.#tag === null ? {} : { "if-none-match": this.#tag };
  }

  /** The list by an answer; a list that does not parse is not taken. */
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
