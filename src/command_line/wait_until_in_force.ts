/** Waits until every daemon that answers has a list's version in force. */
import { setTimeout as sleep } from "node:timers/promises";
import type { PlanListName } from "../common/plans/types.ts";
import type { IPlatform } from "../common/services/services.ts";
import { queryStatuses } from "./query_daemons.ts";

/** How often the daemons are asked, milliseconds. */
const ASK_EVERY = 200;

/** What the wait ended with. */
export interface IListRollout {
  readonly isEverywhere: boolean;
  /** Daemons that answered with an older version. */
  readonly behind: readonly string[];
  /** Daemons on the platform's list that gave no answer; not counted. */
  readonly silent: readonly string[];
}

/** @param timeout - milliseconds after which the wait is given up */
export async function waitUntilInForce(
  platform: IPlatform,
  wanted: { readonly list: PlanListName; readonly version: number },
  timeout: number,
): Promise<IListRollout> {
  const until = performance.now() + timeout;
  for (;;) {
    const found = await lookAround(platform, wanted);
    if (found.isEverywhere || performance.now() >= until) {
      return found;
    }
    await sleep(ASK_EVERY);
  }
}

async function lookAround(
  platform: IPlatform,
  wanted: { readonly list: PlanListName; readonly version: number },
): Promise<IListRollout> {
  const asked = await queryStatuses(platform);
  if (asked.isErr()) {
    return { isEverywhere: false, behind: [], silent: [asked.error.detail] };
  }
  const behind: string[] = [];
  const silent: string[] = [];
  for (const { entry, answer } of asked.value.daemons) {
    const held = answer?.lists.find(({ list }) => list === wanted.list);
    if (answer === null) {
      silent.push(entry.daemon);
    } else if ((held?.version ?? 0) < wanted.version) {
      behind.push(entry.daemon);
    }
  }
  const hasAnswers = silent.length < asked.value.daemons.length;
  return { isEverywhere: behind.length === 0 && hasAnswers, behind, silent };
}
