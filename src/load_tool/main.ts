#!/usr/bin/env node
/** `cranberryledge-load PROFILE --to ADDRESS...`: sends a profile's load. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { Command, Option, runExit } from "clipanion";
import { formatFinding } from "../common/plans/findings.ts";
import { planArrivals } from "./arrivals.ts";
import { readProfile } from "./profile.ts";
import { Sender } from "./sender.ts";
import { formatSummary, LoadSummary } from "./summary.ts";
import type { IArrival } from "./types.ts";

const EXIT_FINDINGS = 2;

/** Sends all requests when they are due and prints a summary of the results. */
class LoadCommand extends Command {
  static override usage = Command.Usage({
    description: "send a load profile and report what callers got",
  });

  profile = Option.String();
  to = Option.Array("--to", { required: true, description: "IP:PORT" });
  json = Option.Boolean("--json", false);

  override async execute(): Promise<number> {
    const profile = readProfile(this.profile);
    if (profile.isErr()) {
      for (const finding of profile.error) {
        this.context.stderr.write(`${formatFinding(finding)}\n`);
      }
      return EXIT_FINDINGS;
    }
    const arrivals = planArrivals(profile.value);
    await using sender = new Sender(this.to);
    const summary = await sendAll(arrivals, sender);
    const streams = summary.streams();
    const text = this.json ? JSON.stringify(streams) : formatSummary(streams);
    this.context.stdout.write(`${text}\n`);
    return 0;
  }
}

/** Starts each request when it is due, without waiting for the others. */
async function sendAll(
  arrivals: readonly IArrival[],
  sender: Sender,
): Promise<LoadSummary> {
  const summary = new LoadSummary();
  const started = performance.now();
  const pending: Promise<void>[] = [];
  for (const arrival of arrivals) {
    const due = started + arrival.at;
    const wait = due - performance.now();
    if (wait > 1) {
      await sleep(wait);
    }
    const sent = sender.send(arrival, due);
    pending.push(sent.then((result) => summary.add(result)));
  }
  await Promise.all(pending);
  return summary;
}

await runExit(LoadCommand);
