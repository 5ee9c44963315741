/** A small deployment of real processes: platform, targets and daemons. */
import { readFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parse, stringify } from "yaml";
import { request } from "undici";
import type { InstanceState, ServiceKind } from "../../src/common/types.ts";
import { FaultProxy } from "../../src/stand_ins/fault_proxy/fault_proxy.ts";
import { registerInstance } from "../../src/stand_ins/shared/register.ts";
import { ProcessHandle, waitFor } from "./process_handle.ts";

/** What is started, zone by zone. */
export interface IDeploymentPlan {
  /** Folder under examples/ with lists and settings. */
  readonly example: "song_lam" | "hormas";
  readonly zones: readonly string[];
  readonly daemonsPerZone: number;
  readonly enginesPerZone: number;
  /** The plain service, one instance a zone. */
  readonly plainService: string;
  readonly engineArguments?: readonly string[];
  readonly serviceArguments?: readonly string[];
  /** Overrides for the settings' `groups` and `polling`. */
  readonly groups?: object;
  readonly polling?: object;
  /** The settings' `lists`. */
  readonly lists?: object;
  /** Further top-level settings of one daemon, such as `tls`. */
  readonly settings?: (daemon: string) => object;
}

/** How many groups the engines of a domain make. */
interface IGroupSettings {
  readonly members: number;
  readonly spare_share: number;
}

/** A daemon's status as its operations address gives it. */
export interface IStatus {
  readonly ready: boolean;
  readonly in_flight: number;
  readonly id: string;
  readonly lists: readonly { list: string; version: number }[];
  readonly groups: readonly {
    id: string;
    generation: number;
    members: readonly string[];
    complete: boolean;
  }[];
  readonly domains: readonly {
    domain: string;
    holder: string | null;
    epoch: number;
    holding: boolean;
  }[];
}

/**
 * The running processes, by name. Each daemon reaches the platform through a
 * link of its own, `platform<DAEMON`, and is reached by its peers through
 * `peers>DAEMON`; each target is reached through `target>TARGET`.
 */
export class Deployment {
  readonly #plan: IDeploymentPlan;
  readonly #folder = mkdtempSync(join(tmpdir(), "cranberryledge-"));
  readonly #processes = new Map<string, ProcessHandle>();
  readonly #links = new Map<string, FaultProxy>();
  readonly #addresses = new Map<string, string>();

  private constructor(plan: IDeploymentPlan) {
    this.#plan = plan;
  }

  /** Starts everything, and waits until all groups are complete everywhere. */
  static async start(plan: IDeploymentPlan): Promise<Deployment> {
    const deployment = new Deployment(plan);
    try {
      await deployment.#startAll();
    } catch (error) {
      await deployment[Symbol.asyncDispose]();
      throw error;
    }
    return deployment;
  }

  get platformAddress(): string {
    return this.process("platform").listeningField("address");
  }

  /** Names of processes that start with a prefix. */
  processNames(prefix: string): readonly string[] {
    return [...this.#processes.keys()].filter((name) =>
      name.startsWith(prefix),
    );
  }

  process(name: string): ProcessHandle {
    const found = this.#processes.get(name);
    if (found === undefined) {
      throw new Error(`no process ${name}`);
    }
    return found;
  }

  /** A link by name, to be cut, delayed or silenced. */
  link(name: string): FaultProxy {
    const found = this.#links.get(name);
    if (found === undefined) {
      throw new Error(`no link ${name}`);
    }
    return found;
  }

  async status(daemon: string): Promise<IStatus> {
    const address = this.process(daemon).listeningField("operations");
    const answer = await request(`http://${address}/status`);
    return (await answer.body.json()) as IStatus;
  }

  /** What a stand-in keeps of what it did. */
  async fetchRecord<T>(target: string): Promise<T> {
    const address = this.process(target).listeningField("address");
    const answer = await request(`http://${address}/record`);
    return (await answer.body.json()) as T;
  }

  /** Tells a stand-in which fault to meet, by its name. */
  async setFault(target: string, fault: string): Promise<void> {
    const address = this.process(target).listeningField("address");
    const answer = await request(`http://${address}/fault`, {
      method: "PUT",
      body: JSON.stringify({ fault }),
    });
    await answer.body.dump();
  }

  /** Kills a process without warning and waits until it is gone. */
  async kill(name: string): Promise<void> {
    this.process(name).signal("SIGKILL");
    await this.process(name).waitForExit();
  }

  /** Starts one more daemon, or one again after it was stopped. */
  async startDaemon(name: string, zone: string): Promise<ProcessHandle> {
    const text = readFileSync(this.#examplePath("entry.yaml"), "utf8");
    const settings = parse(text) as Record<string, object>;
    const any = "127.0.0.1:0";
    const platform = await this.#linkAddress(`platform<${name}`);
    this.link(`platform<${name}`).setTarget(this.platformAddress);
    const advertised = await this.#linkAddress(`peers>${name}`);
    const path = join(this.#folder, `${name}.yaml`);
    const written = {
      ...settings,
      daemon: {
        name,
        zone,
        callers: any,
        peers: any,
        peers_advertised: advertised,
        operations: any,
        seeds: this.#seedAddresses(name),
      },
      platform: { address: platform },
      groups: { ...settings["groups"], spare_share: 0, ...this.#plan.groups },
      polling: { targets: "100ms", ...this.#plan.polling },
      lists: { ...this.#plan.lists },
      ...this.#plan.settings?.(name),
    };
    writeFileSync(path, stringify(written));
    const handle = await this.#startProcess(name, "daemon/main.js", [path]);
    this.link(`peers>${name}`).setTarget(handle.listeningField("peers"));
    return handle;
  }

  /** Starts an engine and puts it on the platform's list. */
  async startEngine(name: string, zone: string): Promise<ProcessHandle> {
    const handle = await this.#startProcess(
      name,
      "stand_ins/engine_member/main.js",
      [...["--id", name], ...(this.#plan.engineArguments ?? [])],
    );
    await this.register(name, { zone, kind: "engine", service: "" });
    return handle;
  }

  /** Starts a plain service and puts it on the platform's list. */
  async startService(name: string, zone: string): Promise<ProcessHandle> {
    const handle = await this.#startProcess(
      name,
      "stand_ins/plain_service/main.js",
      [
        ...["--id", name],
        ...["--record", join(this.#folder, `${name}.runs`)],
        ...(this.#plan.serviceArguments ?? []),
      ],
    );
    const service = this.#plan.plainService;
    await this.register(name, { zone, kind: "plain", service });
    return handle;
  }

  /** Puts a target on the platform's list, or changes what it says of it. */
  async register(
    name: string,
    entry: {
      readonly zone: string;
      readonly kind: "engine" | "plain";
      readonly service: string;
      readonly state?: "live" | "leaving";
      readonly domain?: string;
    },
  ): Promise<void> {
    const address = await this.#linkAddress(`target>${name}`);
    this.link(`target>${name}`).setTarget(
      this.process(name).listeningField("address"),
    );
    await registerInstance(this.platformAddress, {
      id: name,
      zone: entry.zone,
      domain: entry.domain ?? `${entry.zone}-fabric`,
      address,
      state: (entry.state ?? "live") as InstanceState,
      kind: entry.kind as ServiceKind,
      service: entry.service,
    });
  }

  /** Runs the command-line tool; resolves with its exit code and output. */
  async runCommandLine(
    ...words: readonly string[]
  ): Promise<{ code: number; output: string }> {
    const { execFile } = await import("node:child_process");
    const main = new URL("../../dist/src/command_line/main.js", import.meta.url)
      .pathname;
    return new Promise((resolve) => {
      execFile(process.execPath, [main, ...words], (error, stdout, stderr) => {
        const code = typeof error?.code === "number" ? error.code : 0;
        resolve({ code, output: stdout + stderr });
      });
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const processes = [...this.#processes.values()];
    await Promise.all(processes.map((entry) => entry[Symbol.asyncDispose]()));
    const links = [...this.#links.values()];
    await Promise.all(links.map((link) => link[Symbol.asyncDispose]()));
    rmSync(this.#folder, { recursive: true });
  }

  async #startAll(): Promise<void> {
    const plan = this.#plan;
    await this.#startProcess("platform", "stand_ins/object_api/main.js", []);
    await this.#applyLists();
    const starting: Promise<ProcessHandle>[] = [];
    for (const zone of plan.zones) {
      for (let index = 0; index < plan.enginesPerZone; index++) {
        starting.push(this.startEngine(`engine-${zone}-${index}`, zone));
      }
      starting.push(this.startService(`service-${zone}`, zone));
      for (let index = 0; index < plan.daemonsPerZone; index++) {
        starting.push(this.startDaemon(`daemon-${zone}-${index}`, zone));
      }
    }
    await Promise.all(starting);
    for (const zone of plan.zones) {
      await this.#waitForAllGroups(zone);
    }
  }

  /**
   * Waits until the daemons of a zone see the groups that all its engines make.
   * Engines may come onto the list one after the other; a test that began with
   * fewer groups would see the others form under its hands.
   */
  async #waitForAllGroups(zone: string): Promise<void> {
    for (const daemon of this.processNames(`daemon-${zone}-`)) {
      await waitFor(`${daemon} sees all groups complete`, async () => {
        const { ready, groups } = await this.status(daemon);
        const isAll = groups.length === this.#groupsPerZone;
        return ready && isAll && groups.every(({ complete }) => complete);
      });
    }
  }

  get #groupsPerZone(): number {
    const text = readFileSync(this.#examplePath("entry.yaml"), "utf8");
    const { groups } = parse(text) as { groups: IGroupSettings };
    const { members, spare_share } = {
      ...groups,
      spare_share: 0,
      ...(this.#plan.groups as Partial<IGroupSettings> | undefined),
    };
    const engines = this.#plan.enginesPerZone;
    return Math.floor((engines - Math.floor(engines * spare_share)) / members);
  }

  /** Waits until every daemon is ready, and all groups that it sees complete. */
  async waitUntilServing(): Promise<void> {
    for (const daemon of this.processNames("daemon-")) {
      await waitFor(`${daemon} sees complete groups`, async () => {
        const { ready, groups } = await this.status(daemon);
        const hasGroups = groups.length > 0 || this.#plan.enginesPerZone === 0;
        return ready && hasGroups && groups.every((g) => g.complete);
      });
    }
  }

  async #applyLists(): Promise<void> {
    for (const list of ["customers", "plans"]) {
      const file = this.#examplePath(`${list}.yaml`);
      const platform = ["--platform", this.platformAddress];
      const result = await this.runCommandLine(
        "apply",
        list,
        file,
        ...platform,
      );
      if (result.code !== 0) {
        throw new Error(`apply ${list}: ${result.output}`);
      }
    }
  }

  /** Where the other daemons' peer links listen. */
  #seedAddresses(name: string): readonly string[] {
    return [...this.#addresses]
      .filter(([link]) => link.startsWith("peers>") && !link.endsWith(name))
      .map(([, address]) => address);
  }

  /** The address of a link, made when first asked for. */
  async #linkAddress(name: string): Promise<string> {
    const known = this.#addresses.get(name);
    if (known !== undefined) {
      return known;
    }
    const link = new FaultProxy("");
    const address = await link.listen("127.0.0.1:0");
    this.#links.set(name, link);
    this.#addresses.set(name, address);
    return address;
  }

  #examplePath(file: string): string {
    const folder = `../../examples/${this.#plan.example}/${file}`;
    return new URL(folder, import.meta.url).pathname;
  }

  async #startProcess(
    name: string,
    program: string,
    words: readonly string[],
  ): Promise<ProcessHandle> {
    const handle = await ProcessHandle.start(name, program, words);
    this.#processes.set(name, handle);
    return handle;
  }
}
