/** Base class of the commands that access the platform. */
import { Command, Option } from "clipanion";
import { HttpPlatform } from "../../adapters/platform/http_platform.ts";
import { formatFinding } from "../../common/plans/findings.ts";
import { PlanListName } from "../../common/plans/types.ts";
import type { IFinding } from "../../common/plans/types.ts";
import { ExitCode } from "../exit_code.ts";

/** A command that takes the platform's address. */
export abstract class PlatformCommand extends Command {
  platform = Option.String("--platform", {
    required: true,
    description: "IP:PORT of the platform's object API",
    env: "CRANBERRYLEDGE_PLATFORM",
  });

  protected connect(): HttpPlatform {
    return new HttpPlatform(`http://${this.platform}`);
  }

  /** Writes findings to standard error. */
  protected printFindings(findings: readonly IFinding[]): ExitCode {
    for (const finding of findings) {
      this.context.stderr.write(`${formatFinding(finding)}\n`);
    }
    return ExitCode.Findings;
  }

  /** Parses a non-negative integer; null after reporting an invalid value. */
  protected parseCount(option: string, text: string): number | null {
    const value = Number(text);
    if (/^\d+$/.test(text) && Number.isSafeInteger(value)) {
      return value;
    }
    this.context.stderr.write(`${option}: expected a number, found ${text}\n`);
    return null;
  }

  /** Parses the name of a plan list; null after reporting an unknown name. */
  protected parseListName(name: string): PlanListName | null {
    const list = Object.values(PlanListName).find((known) => known === name);
    if (list === undefined) {
      const known = Object.values(PlanListName).join(" or ");
      this.context.stderr.write(`expected ${known}, found ${name}\n`);
    }
    return list ?? null;
  }
}
