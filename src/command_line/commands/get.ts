/** `cranberryledge get LIST`: prints a list and its version. */
import { Option } from "clipanion";
import { parseListObject } from "../../common/plans/list_object.ts";
import { PLAN_LIST_KIND } from "../../common/plans/types.ts";
import { ExitCode } from "../exit_code.ts";
import { PlatformCommand } from "./platform_command.ts";

/** Prints a list to standard output and its version to standard error. */
export class GetCommand extends PlatformCommand {
  static override paths = [["get"]];
  static override usage = PlatformCommand.Usage({
    description: "print a plan list; its version is on standard error",
  });

  list = Option.String();

  override async execute(): Promise<number> {
    const list = this.parseListName(this.list);
    if (list === null) {
      return ExitCode.Findings;
    }
    await using platform = this.connect();
    const found = await platform.read(PLAN_LIST_KIND, list);
    if (found.isErr()) {
      this.context.stderr.write(`${found.error.detail}\n`);
      return ExitCode.Unreachable;
    }
    if (found.value.isNone()) {
      this.context.stderr.write("version=0\n");
      return ExitCode.Success;
    }
    const text = parseListObject(found.value.value);
    if (text.isErr()) {
      return this.printFindings(text.error);
    }
    this.context.stdout.write(text.value.text);
    this.context.stderr.write(`version=${text.value.version}\n`);
    return ExitCode.Success;
  }
}
