/** `cranberryledged-entry [SETTINGS]`: one entry process on the platform. */
import { formatFinding } from "../common/plans/findings.ts";
import { EntryProcess } from "./entry_process.ts";
import { loadEntrySettings } from "./settings.ts";

/** Exit code for invalid settings. */
const EXIT_BAD_SETTINGS = 2;

/** Environment variable with the settings path where no argument is given. */
const SETTINGS_VARIABLE = "CRANBERRYLEDGE_SETTINGS";

async function main(): Promise<void> {
  const path = process.argv[2] ?? process.env[SETTINGS_VARIABLE];
  if (path === undefined) {
    process.stderr.write("usage: cranberryledged-entry SETTINGS\n");
    process.exit(EXIT_BAD_SETTINGS);
  }
  const settings = loadEntrySettings(path);
  if (settings.isErr()) {
    for (const finding of settings.error) {
      process.stderr.write(`${formatFinding(finding)}\n`);
    }
    process.exit(EXIT_BAD_SETTINGS);
  }
  const entry = await EntryProcess.start(settings.value);
  const stop = () => {
    void entry.stop().then(() => process.exit(0));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.on("SIGHUP", () => entry.handleReload());
}

void main();
