/** `cranberryledged-entry [SETTINGS]`: one entry process on the platform. */
import { handleSignals } from "../adapters/stop_signals.ts";
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
  const starting = EntryProcess.start(settings.value);
  handleSignals(starting, (entry) => entry.handleReload());
  await starting;
}

void main();
