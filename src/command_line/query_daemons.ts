/** Asks every daemon on the platform's list for its account of itself. */
import { Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { request } from "undici";
import { DAEMON_KIND } from "../common/services/daemon_list.ts";
import { readDaemonEntries } from "../common/services/daemon_status.ts";
import type { IDaemonStatus } from "../common/services/daemon_status.ts";
import type { IDaemonEntry, IPlatform } from "../common/services/services.ts";
import type { IFinding } from "../common/plans/types.ts";
import type { ICallFailure } from "../common/types.ts";

/** A daemon answers in milliseconds; a longer silence is no answer. */
const STATUS_TIMEOUT = 2_000;

/** One daemon of the list, with its answer or why there is none. */
export interface IDaemonAnswer<T> {
  readonly entry: IDaemonEntry;
  readonly answer: T | null;
  /** Why there is no answer; empty when there is one. */
  readonly failure: string;
}

/** Everyone's answers, and entries of the list that could not be read. */
export interface IDaemonAnswers<T> {
  readonly daemons: readonly IDaemonAnswer<T>[];
  readonly findings: readonly IFinding[];
}

/** Reads a path of every daemon's operations address. */
export async function queryDaemons<T>(
  platform: IPlatform,
  path: string,
): Promise<Result<IDaemonAnswers<T>, ICallFailure>> {
  const listed = await platform.list(DAEMON_KIND);
  if (listed.isErr()) {
    return listed;
  }
  const { entries, findings } = readDaemonEntries(listed.value.objects);
  const asked = entries.map((entry) => askDaemon<T>(entry, path));
  return Ok({ daemons: await Promise.all(asked), findings });
}

/** Every daemon's status. */
export function queryStatuses(
  platform: IPlatform,
): Promise<Result<IDaemonAnswers<IDaemonStatus>, ICallFailure>> {
  return queryDaemons<IDaemonStatus>(platform, "/status");
}

async function askDaemon<T>(
  entry: IDaemonEntry,
  path: string,
): Promise<IDaemonAnswer<T>> {
  try {
    const url = `http://${entry.operationsAddress}${path}`;
    const answer = await request(url, {
      headersTimeout: STATUS_TIMEOUT,
      bodyTimeout: STATUS_TIMEOUT,
      signal: AbortSignal.timeout(STATUS_TIMEOUT),
    });
    return { entry, answer: (await answer.body.json()) as T, failure: "" };
  } catch (error) {
    return { entry, answer: null, failure: String(error) };
  }
}
