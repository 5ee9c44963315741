/** Queries the operations address of every daemon on the platform's list. */
import { Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { request } from "undici";
import { DAEMON_KIND } from "../common/services/daemon_list.ts";
import { readDaemonEntries } from "../common/services/daemon_status.ts";
import type { IDaemonStatus } from "../common/services/daemon_status.ts";
import type { IDaemonEntry, IPlatform } from "../common/services/services.ts";
import type { IFinding } from "../common/plans/types.ts";
import type { ICallFailure } from "../common/types.ts";

/** Milliseconds. Daemons answer within a few; later answers are not awaited. */
const QUERY_TIMEOUT = 2_000;

/** A daemon on the list, with its answer. */
export interface IDaemonAnswer<T> {
  readonly entry: IDaemonEntry;
  readonly answer: T | null;
  /** Why there is no answer; empty if there is one. */
  readonly failure: string;
}

/** The answers of all daemons, and findings for invalid list entries. */
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
  const replies = entries.map((entry) => queryDaemon<T>(entry, path));
  return Ok({ daemons: await Promise.all(replies), findings });
}

/** Reads the status of every daemon. */
export function queryStatuses(
  platform: IPlatform,
): Promise<Result<IDaemonAnswers<IDaemonStatus>, ICallFailure>> {
  return queryDaemons<IDaemonStatus>(platform, "/status");
}

async function queryDaemon<T>(
  entry: IDaemonEntry,
  path: string,
): Promise<IDaemonAnswer<T>> {
  try {
    const url = `http://${entry.operationsAddress}${path}`;
    const answer = await request(url, {
      headersTimeout: QUERY_TIMEOUT,
      bodyTimeout: QUERY_TIMEOUT,
      signal: AbortSignal.timeout(QUERY_TIMEOUT),
    });
    return { entry, answer: (await answer.body.json()) as T, failure: "" };
  } catch (error) {
    return { entry, answer: null, failure: String(error) };
  }
}
