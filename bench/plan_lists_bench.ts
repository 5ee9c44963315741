/**
 * Time until an accepted edit of a plan list is in force everywhere: without
 * faults, in a zone cut from the platform only (compared with the other zones
 * in the same edits), and after the end of a cut from both platform and peers.
 */
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { Deployment } from "../test/support/deployment.ts";
import { Operator } from "../test/support/operator.ts";

const ZONES = ["vn-north-a", "vn-north-b", "vn-north-c"];
const CUT_ZONE_PREFIX = "daemon-vn-north-c-";
/** Milliseconds. */
const POLL_INTERVAL = 5;
const EDITS = 20;
/** Milliseconds. */
const CUT_TIME = 8_000;
const CUTS = 5;

const PLANS = readFileSync("examples/song_lam/plans.yaml", "utf8");

class Measurement {
  readonly #deployment: Deployment;
  readonly #operator: Operator;
  readonly #daemons: readonly string[];
  #edits = 0;

  constructor(deployment: Deployment, operator: Operator) {
    this.#deployment = deployment;
    this.#operator = operator;
    this.#daemons = deployment.processNames("daemon-");
  }

  get otherDaemons(): readonly string[] {
    return this.#daemons.filter((name) => !name.startsWith(CUT_ZONE_PREFIX));
  }

  get cutZoneDaemons(): readonly string[] {
    return this.#daemons.filter((name) => name.startsWith(CUT_ZONE_PREFIX));
  }

  edit(): Promise<number> {
    this.#edits += 1;
    const text = `${PLANS}# edit ${this.#edits}\n`;
    return this.#operator.putList("plans", text);
  }

  /** Milliseconds until the version is in force at all given daemons. */
  async measureUntilInForce(names: readonly string[], version: number) {
    const started = performance.now();
    await Promise.all(
      names.map(async (name) => {
        while ((await this.#version(name)) < version) {
          await sleep(POLL_INTERVAL);
        }
      }),
    );
    return performance.now() - started;
  }

  setLinks(names: readonly string[], kinds: readonly string[], mode: LinkMode) {
    for (const kind of kinds) {
      for (const name of names) {
        this.#deployment.link(`${kind}${name}`).setMode(mode);
      }
    }
  }

  async #version(name: string): Promise<number> {
    const { lists } = await this.#deployment.status(name);
    return lists.find(({ list }) => list === "plans")?.version ?? 0;
  }
}

async function measureEdits(measurement: Measurement) {
  const others: number[] = [];
  const cutZone: number[] = [];
  for (let edit = 0; edit < EDITS; edit++) {
    const version = await measurement.edit();
    const [otherTime, cutZoneTime] = await Promise.all([
      measurement.measureUntilInForce(measurement.otherDaemons, version),
      measurement.measureUntilInForce(measurement.cutZoneDaemons, version),
    ]);
    others.push(otherTime);
    cutZone.push(cutZoneTime);
  }
  return { others, cutZone };
}

async function measureCuts(measurement: Measurement) {
  const { otherDaemons, cutZoneDaemons } = measurement;
  const times: number[] = [];
  for (let cut = 0; cut < CUTS; cut++) {
    measurement.setLinks(cutZoneDaemons, ["platform<"], LinkMode.Cut);
    measurement.setLinks(
      [...otherDaemons, ...cutZoneDaemons],
      ["peers>"],
      LinkMode.Cut,
    );
    const version = await measurement.edit();
    await sleep(CUT_TIME);
    measurement.setLinks(cutZoneDaemons, ["platform<"], LinkMode.Pass);
    measurement.setLinks(
      [...otherDaemons, ...cutZoneDaemons],
      ["peers>"],
      LinkMode.Pass,
    );
    times.push(await measurement.measureUntilInForce(cutZoneDaemons, version));
  }
  return times;
}

function print(name: string, times: readonly number[]): void {
  const sorted = [...times].sort((left, right) => left - right);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const worst = sorted.at(-1) ?? 0;
  console.log(`${name}_median ${median.toFixed(0)} ms`);
  console.log(`${name}_worst ${worst.toFixed(0)} ms of ${sorted.length}`);
}

/** Runs the three measurements on one deployment. */
export async function run(): Promise<void> {
  await using deployment = await Deployment.start({
    example: "song_lam",
    zones: ZONES,
    daemonsPerZone: 2,
    enginesPerZone: 4,
    plainService: "delivery-api",
  });
  await using operator = new Operator(deployment.platformAddress);
  const measurement = new Measurement(deployment, operator);
  const undisturbed = await measureEdits(measurement);
  print("in_force_nothing_wrong", [
    ...undisturbed.others,
    ...undisturbed.cutZone,
  ]);
  measurement.setLinks(measurement.cutZoneDaemons, ["platform<"], LinkMode.Cut);
  const cut = await measureEdits(measurement);
  print("in_force_beside_the_cut_zone", cut.others);
  print("in_force_cut_from_platform_only", cut.cutZone);
  measurement.setLinks(
    measurement.cutZoneDaemons,
    ["platform<"],
    LinkMode.Pass,
  );
  print("in_force_after_cut_from_both", await measureCuts(measurement));
}
