/** `cranberryledge apply LIST FILE --edited-from VERSION`. */
import { createHash } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { Option } from "clipanion";
import { createTwoFilesPatch } from "diff";
import { readTextFile } from "../../adapters/text_file.ts";
import { formatFinding } from "../../common/plans/findings.ts";
import { applyEdit, EditOutcome } from "../../common/plans/list_edit.ts";
import type { IEditResult, IListEdit } from "../../common/plans/list_edit.ts";
import {
  parseListObject,
  restorationsOf,
} from "../../common/plans/list_object.ts";
import {
  checkCustomers,
  checkPlans,
  findMissingPlans,
} from "../../common/plans/plan_list_schema.ts";
import { PLAN_LIST_KIND, PlanListName } from "../../common/plans/types.ts";
import type { IFinding } from "../../common/plans/types.ts";
import type { IPlatform } from "../../common/services/services.ts";
import { queryStatuses } from "../query_daemons.ts";
import { ExitCode } from "../exit_code.ts";
import { waitUntilInForce } from "../wait_until_in_force.ts";
import { PlatformCommand } from "./platform_command.ts";

/** Pause in milliseconds between attempts to find out the result of a write. */
const RETRY_PAUSE = 300;

const MILLISECONDS_PER_SECOND = 1_000;

const EXIT_CODES: Readonly<Record<EditOutcome, ExitCode>> = {
  [EditOutcome.Applied]: ExitCode.Success,
  [EditOutcome.Replaced]: ExitCode.Replaced,
  [EditOutcome.Conflict]: ExitCode.Conflict,
  [EditOutcome.NotApplied]: ExitCode.Unreachable,
  [EditOutcome.Unknown]: ExitCode.Unknown,
};

/** Puts a list in force unless it was changed since the edited version. */
export class ApplyCommand extends PlatformCommand {
  static override paths = [["apply"]];
  static override usage = PlatformCommand.Usage({
    description: "put a plan list in force",
    details: `
      The list is checked first. It is written only if the platform still
      holds the version it was edited from; after a race the difference is
      shown and nothing is changed. A lost answer is settled by reading back,
      and running the same command again never undoes another edit.
    `,
  });

  list = Option.String();
  file = Option.String();
  editedFrom = Option.String("--edited-from", "0", {
    description: "the version that was edited; 0 for a new list",
  });
  wait = Option.Boolean("--wait", false, {
    description: "return when every live daemon has the version in force",
  });
  timeout = Option.String("--timeout", "30", {
    description: "seconds to wait at most",
  });
  afterRestore = Option.Boolean("--after-restore", false, {
    description: "the platform was restored from an older copy",
  });

  override async execute(): Promise<number> {
    const list = this.parseListName(this.list);
    const editedFrom = this.parseCount("--edited-from", this.editedFrom);
    const timeout = this.parseCount("--timeout", this.timeout);
    if (list === null || editedFrom === null || timeout === null) {
      return ExitCode.Findings;
    }
    const text = readTextFile(this.file);
    if (text.isErr()) {
      return this.printFindings(text.error);
    }
    const findings = this.#check(list, text.value);
    if (findings.length > 0) {
      return this.printFindings(findings);
    }
    await using platform = this.connect();
    const edit = await this.#createEdit(platform, {
      list,
      text: text.value,
      editedFrom,
    });
    if (edit === null) {
      return ExitCode.Unreachable;
    }
    const result = await applyEdit(platform, edit, async () => {
      await sleep(RETRY_PAUSE);
    });
    // Awaited here because the platform's connections close when this scope
    // ends.
    return await this.#finish(platform, { edit, result, timeout });
  }

  #check(list: PlanListName, text: string): readonly IFinding[] {
    const check = list === PlanListName.Customers ? checkCustomers : checkPlans;
    const checked = check(this.file, text);
    return checked.isErr() ? checked.error : [];
  }

  /**
   * Creates the edit with its name. After a restore of the platform, the
   * restoration count exceeds that of every version in force.
   */
  async #createEdit(
    platform: IPlatform,
    requested: Pick<IListEdit, "list" | "text" | "editedFrom">,
  ): Promise<IListEdit | null> {
    const name = createHash("sha256")
      .update(
        JSON.stringify([requested.list, requested.editedFrom, requested.text]),
      )
      .digest("hex");
    if (!this.afterRestore) {
      return { ...requested, name };
    }
    const statuses = await queryStatuses(platform);
    if (statuses.isErr()) {
      this.context.stderr.write(`${statuses.error.detail}\n`);
      return null;
    }
    const versions = statuses.value.daemons.flatMap(
      ({ answer }) =>
        answer?.lists
          .filter(({ list }) => list === requested.list)
          .map(({ version }) => version) ?? [],
    );
    const highest = Math.max(requested.editedFrom, ...versions);
    return { ...requested, name, restorations: restorationsOf(highest) + 1 };
  }

  async #finish(
    platform: IPlatform,
    done: {
      readonly edit: IListEdit;
      readonly result: IEditResult;
      readonly timeout: number;
    },
  ): Promise<ExitCode> {
    const { edit, result, timeout } = done;
    if (result.outcome !== EditOutcome.Applied || result.current === null) {
      this.#printFailure(edit, result);
      return EXIT_CODES[result.outcome];
    }
    const version = parseListObject(result.current).unwrap().version;
    this.context.stdout.write(`version=${version}\n`);
    await this.#warnOfMissingPlans(platform, edit);
    return this.wait
      ? this.#waitUntilInForce(platform, { list: edit.list, version }, timeout)
      : ExitCode.Success;
  }

  #printFailure(edit: IListEdit, result: IEditResult): void {
    const { outcome, detail, current } = result;
    this.context.stderr.write(`${outcome}: ${detail}\n`);
    if (current === null) {
      return;
    }
    const held = parseListObject(current);
    const version = held.isOk() ? held.value.version : current.version;
    const text = held.isOk() ? held.value.text : "";
    const currentLabel = `${edit.list} version ${version} on the platform`;
    this.context.stdout.write(
      createTwoFilesPatch(currentLabel, this.file, text, edit.text),
    );
  }

  async #waitUntilInForce(
    platform: IPlatform,
    wanted: { readonly list: PlanListName; readonly version: number },
    timeout: number,
  ): Promise<ExitCode> {
    const bound = timeout * MILLISECONDS_PER_SECOND;
    const found = await waitUntilInForce(platform, wanted, bound);
    for (const daemon of found.behind) {
      this.context.stderr.write(`not in force at ${daemon}\n`);
    }
    for (const daemon of found.silent) {
      this.context.stderr.write(`no answer from ${daemon}\n`);
    }
    return found.isEverywhere ? ExitCode.Success : ExitCode.NotInForce;
  }

  /** Only warns, since the two lists are edited one after the other. */
  async #warnOfMissingPlans(
    platform: IPlatform,
    edit: IListEdit,
  ): Promise<void> {
    const isCustomers = edit.list === PlanListName.Customers;
    const other = isCustomers ? PlanListName.Plans : PlanListName.Customers;
    const found = await platform.read(PLAN_LIST_KIND, other);
    if (found.isErr() || found.value.isNone()) {
      return;
    }
    const held = parseListObject(found.value.value);
    const text = held.isOk() ? held.value.text : "";
    const customers = checkCustomers(
      isCustomers ? this.file : other,
      isCustomers ? edit.text : text,
    );
    const plans = checkPlans(other, isCustomers ? text : edit.text);
    if (customers.isErr() || plans.isErr()) {
      return;
    }
    const names = new Set(plans.value.map((plan) => plan.name));
    const source = isCustomers ? this.file : other;
    for (const finding of findMissingPlans(source, customers.value, names)) {
      this.context.stderr.write(`warning: ${formatFinding(finding)}\n`);
    }
  }
}
