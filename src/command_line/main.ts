#!/usr/bin/env node
/** `cranberryledge`: the command-line tool for operators. */
import { Builtins, Cli } from "clipanion";
import { ApplyCommand } from "./commands/apply.ts";
import { CheckCommand } from "./commands/check.ts";
import { ExplainCommand } from "./commands/explain.ts";
import { GetCommand } from "./commands/get.ts";
import { ReportBurnCommand } from "./commands/report_burn.ts";
import { ReportLateCommand } from "./commands/report_late.ts";
import { StatusCommand } from "./commands/status.ts";

const cli = new Cli({
  binaryName: "cranberryledge",
  binaryLabel: "cranberryledge",
});
cli.register(Builtins.HelpCommand);
cli.register(ApplyCommand);
cli.register(CheckCommand);
cli.register(ExplainCommand);
cli.register(GetCommand);
cli.register(ReportBurnCommand);
cli.register(ReportLateCommand);
cli.register(StatusCommand);
await cli.runExit(process.argv.slice(2));
