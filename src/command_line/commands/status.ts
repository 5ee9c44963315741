/** `cranberryledge status`: what every daemon says of itself. */
import { Option } from "clipanion";
import { request } from "undici";
import { DAEMON_KIND } from "../../common/services/daemon_list.ts";
import type { IDaemonEntry } from "../../common/services/services.ts";
import { ExitCode } from "../exit_code.ts";
import { PlatformCommand } from "./platform_command.ts";

const STATUS_TIMEOUT = 2_000;

/** Asks every daemon on the platform's list. */
export class StatusCommand extends PlatformCommand {
  static override paths = [["status"]];
  static override usage = PlatformCommand.Usage({
    description: "show daemons, leases, groups and versions in force",
  });

  json = Option.Boolean("--json", false);

  override async execute(): Promise<number> {
    await using platform = this.connect();
    const listed = await platform.list(DAEMON_KIND);
    if (listed.isErr()) {
      this.context.stderr.write(`${listed.error.detail}\n`);
      return ExitCode.Unreachable;
    }
    const entries = listed.value.objects.map(
      (object) => object.value as IDaemonEntry,
    );
    const statuses = await Promise.all(entries.map(askDaemon));
    for (const status of statuses) {
      const line = this.json ? JSON.stringify(status) : formatStatus(status);
      this.context.stdout.write(`${line}\n`);
    }
    return ExitCode.Done;
  }
}

type DaemonStatus = Record<string, unknown>;

async function askDaemon(entry: IDaemonEntry): Promise<DaemonStatus> {
  try {
    const url = `http://${entry.operationsAddress}/status`;
    const answer = await request(url, {
      headersTimeout: STATUS_TIMEOUT,
      bodyTimeout: STATUS_TIMEOUT,
    });
    return (await answer.body.json()) as DaemonStatus;
  } catch (error) {
    const { instance, zone } = entry;
    return { daemon: instance, zone, ready: false, error: String(error) };
  }
}

function formatStatus(status: DaemonStatus): string {
  const groups = (status["groups"] ?? []) as { complete: boolean }[];
  const complete = groups.filter((group) => group.complete).length;
  const { daemon, zone, ready } = status;
  return `${zone} ${daemon} ready=${ready} groups=${complete}/${groups.length}`;
}
