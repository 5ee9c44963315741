/** Runs one case and gives its result as the exit status. */
import { CannotRunError } from "./fleet.ts";
import type { Fleet } from "./fleet.ts";
import type { Record } from "./record.ts";

/** Exit statuses. */
enum Result {
  Held = 0,
  Broken = 1,
  CannotRun = 2,
}

/**
 * Milliseconds after which a case is given up; a script may run for two
 * minutes.
 */
const LONGEST_RUN = 110_000;

/** Whether the disruption is brought about. */
export const HAS_TROUBLE = process.env["TROUBLE"] !== "0";

/** @param run - resolves with whether the rule was broken */
export async function runCase(
  parts: {
    readonly record: Record;
    readonly fleet: Fleet;
    readonly stop: () => void;
  },
  run: () => Promise<boolean>,
): Promise<never> {
  const { record, fleet, stop } = parts;
  const finish = (result: Result): never => {
    record.add("result", { result: Result[result] });
    record.write(process.argv[2] ?? "record.txt");
    fleet.stop();
    stop();
    process.exit(result);
  };
  setTimeout(() => finish(Result.CannotRun), LONGEST_RUN);
  process.once("SIGTERM", () => finish(Result.CannotRun));
  process.once("SIGINT", () => finish(Result.CannotRun));
  record.add("start", { trouble: HAS_TROUBLE });
  try {
    return finish((await run()) ? Result.Broken : Result.Held);
  } catch (error) {
    const reason = error instanceof CannotRunError ? error.message : error;
    record.add("cannot_run", { reason });
    return finish(Result.CannotRun);
  }
}
