#!/usr/bin/env node
/** Entry point of the daemon: `cranberryledged SETTINGS`. */
import { handleSignals } from "../adapters/stop_signals.ts";
import { formatFinding } from "../common/plans/findings.ts";
import { Daemon } from "./daemon.ts";
import { loadSettings } from "./settings.ts";

/** Exit code when the settings are missing or invalid. */
const EXIT_BAD_SETTINGS = 2;

async function main(): Promise<void> {
  const path = process.argv[2];
  if (path === undefined) {
    process.stderr.write("usage: cranberryledged SETTINGS\n");
    process.exit(EXIT_BAD_SETTINGS);
  }
  const settings = loadSettings(path);
  if (settings.isErr()) {
    for (const finding of settings.error) {
      process.stderr.write(`${formatFinding(finding)}\n`);
    }
    process.exit(EXIT_BAD_SETTINGS);
  }
  const starting = Daemon.start(settings.value);
  handleSignals(starting);
  await starting;
}

await main();
