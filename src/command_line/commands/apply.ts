/** `cranberryledge apply LIST FILE --edited-from VERSION`. */
import { readFileSync } from "node:fs";
import { Option } from "clipanion";
import { formatFinding } from "../../common/plans/findings.ts";
import {
  checkCustomers,
  checkPlans,
} from "../../common/plans/plan_list_schema.ts";
import { PLAN_LIST_KIND, PlanListName } from "../../common/plans/types.ts";
import { WriteFailureKind } from "../../common/services/services.ts";
import type { IWriteFailure } from "../../common/services/services.ts";
import { ExitCode } from "../exit_code.ts";
import { PlatformCommand } from "./platform_command.ts";

/** Puts a list in force if nobody has changed it in between. */
export class ApplyCommand extends PlatformCommand {
  static override paths = [["apply"]];
  static override usage = PlatformCommand.Usage({
    description: "put a plan list in force",
  });

  list = Option.String();
  file = Option.String();
  editedFrom = Option.String("--edited-from", "0", {
    description: "the version that was edited; 0 for a new list",
  });

  override async execute(): Promise<number> {
    const list = this.parseList(this.list);
    if (list === null) {
      return ExitCode.Findings;
    }
    const text = readFileSync(this.file, "utf8");
    if (!this.#passes(list, text)) {
      return ExitCode.Findings;
    }
    await using platform = this.connect();
    const from = Number(this.editedFrom);
    const written = await platform.write({
      kind: PLAN_LIST_KIND,
      name: list,
      value: { text },
      expectedVersion: from === 0 ? null : from,
    });
    if (written.isOk()) {
      this.context.stdout.write(`version=${written.value}\n`);
      return ExitCode.Done;
    }
    return this.#explain(written.error);
  }

  #passes(list: PlanListName, text: string): boolean {
    const check = list === PlanListName.Customers ? checkCustomers : checkPlans;
    const checked = check(this.file, text);
    if (checked.isOk()) {
      return true;
    }
    for (const finding of checked.error) {
      this.context.stderr.write(`${formatFinding(finding)}\n`);
    }
    return false;
  }

  #explain(failure: IWriteFailure): ExitCode {
    this.context.stderr.write(`${failure.detail}\n`);
    switch (failure.kind) {
      case WriteFailureKind.Conflict:
        return ExitCode.Conflict;
      case WriteFailureKind.NotApplied:
        return ExitCode.Unreachable;
      case WriteFailureKind.Unknown:
        return ExitCode.Unknown;
    }
  }
}
