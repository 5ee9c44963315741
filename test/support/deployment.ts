/** A small deployment of separate processes: platform, targets and daemons. */
import { readFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parse, stringify } from "yaml";
import { request } from "undici";
import type { InstanceState, ServiceKind } from "../../src/common/types.ts";
import { FaultProxy } from "../../src/stand_ins/fault_proxy/fault_proxy.ts";
import { registerInstance } from "../../src/stand_ins/shared/register.ts";
import { ProcessHandle, waitFor } from "./process_handle.ts";
import { optionsOf, settingsOf } from "./process_limits.ts";
import type { IProcessLimits } from "./process_limits.ts";

/** The processes to start in each zone, and their settings. */
export interface IDeploymentPlan {
  /** The folder under examples/ with the lists and settings. */
  readonly example: "song_lam" | "hormas";
  readonly zones: readonly string[];
  readonly daemonsPerZone: number;
  readonly enginesPerZone: number;
  /** The plain service, with one instance per zone. */
  readonly plainService: string;
  readonly engineArguments?: readonly string[];
  readonly serviceArguments?: readonly string[];
  /** Overrides for the settings' `groups` and `polling`. */
  readonly groups?: object;
  readonly polling?: object;
  /** The settings' `lists`. */
  readonly lists?: object;
  /** Of each daemon. */
  readonly limits?: IProcessLimits;
  /** Additional top-level settings of one daemon, such as `tls`. */
  readonly settings?: (daemon: string) => object;
}

/** The settings that determine how many groups the engines of a domain form. */
interface IGroupSettings {
  readonly members: number;
  readonly spare_share: number;
}

/** A daemon's status, as served on its operations address. */
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
 * The running processes, by name. Each daemon connects to the platform through
 * its own link `platform<DAEMON`; its peers connect to it through
 * `peers>DAEMON`. Each target is reached through `target>TARGET`.
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

  /** Starts all processes; waits until every daemon sees complete groups. */
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

  /** The names of processes that start with a prefix. */
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

  /** A link by name, for fault injection. */
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

  /** Fetches a stand-in's record of its actions. */
  async fetchRecord<T>(target: string): Promise<T> {
    const address = this.process(target).listeningField("address");
    const answer = await request(`http://${address}/record`);
    return (await answer.body.json()) as T;
  }

  /** Sets the fault that a stand-in injects. */
  async setFault(target: string, fault: string): Promise<void> {
    const address = this.process(target).listeningField("address");
    const answer = await request(`http://${address}/fault`, {
      method: "PUT",
      body: JSON.stringify({ fault }),
    });
    await answer.body.dump();
  }

  /** Sends SIGKILL to a process and waits for its exit. */
  async kill(name: string): Promise<void> {
    this.process(name).signal("SIGKILL");
    await this.process(name).waitForExit();
  }

  /** Starts an additional daemon, or restarts one that has exited. */
  async startDaemon(name: string, zone: string): Promise<ProcessHandle> {
    const text = readFileSync(this.#examplePath("entry.yaml"), "utf8");
    const settings = parse(text) as Record<string, object>;
    const anyPort = "127.0.0.1:0";
    const platform = await this.#linkAddress(`platform<${name}`);
    this.link(`platform<${name}`).setTarget(this.platformAddress);
    const advertised = await this.#linkAddress(`peers>${name}`);
    const path = join(this.#folder, `${name}.yaml`);
    const daemonSettings = {
      ...settings,
      daemon: {
        name,
        zone,
        callers: anyPort,
        peers: anyPort,
        peers_advertised: advertised,
        operations: anyPort,
        seeds: this.#seedAddresses(name),
      },
      platform: { address: platform },
      groups: { ...settings["groups"], spare_share: 0, ...this.#plan.groups },
      polling: { targets: "100ms", ...this.#plan.polling },
      lists: { ...this.#plan.lists },
      ...settingsOf(this.#plan.limits ?? {}),
      ...this.#plan.settings?.(name),
    };
    writeFileSync(path, stringify(daemonSettings));
    const handle = await ProcessHandle.start(
      name,
      "daemon/main.js",
      [path],
      optionsOf(this.#plan.limits ?? {}),
    );
    this.#processes.set(name, handle);
    this.link(`peers>${name}`).setTarget(handle.listeningField("peers"));
    return handle;
  }

  /** Starts an engine and registers it on the platform's list. */
  async startEngine(name: string, zone: string): Promise<ProcessHandle> {
    const handle = await this.#startProcess(
      name,
      "stand_ins/engine_member/main.js",
      [...["--id", name], ...(this.#plan.engineArguments ?? [])],
    );
    await this.register(name, { zone, kind: "engine", service: "" });
    return handle;
  }

  /** Starts a plain service and registers it on the platform's list. */
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

  /** Adds a target to the platform's list, or updates its entry. */
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
    ...commandArguments: readonly string[]
  ): Promise<{ code: number; output: string }> {
    const { execFile } = await import("node:child_process");
    const main = new URL("../../dist/src/command_line/main.js", import.meta.url)
      .pathname;
    return new Promise((resolve) => {
      execFile(
        process.execPath,
        [main, ...commandArguments],
        (error, stdout, stderr) => {
          const code = typeof error?.code === "number" ? error.code : 0;
          resolve({ code, output: stdout + stderr });
        },
      );
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
   * Waits until the daemons of a zone see all groups that its engines can form.
   * Engines may be listed one after another; if a test started with fewer
   * groups, the rest would form while it runs.
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

  /** Waits until every daemon is ready and all groups it sees are complete. */
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

  /** The addresses of the other daemons' peer links. */
  #seedAddresses(name: string): readonly string[] {
    return [...this.#addresses]
      .filter(([link]) => link.startsWith("peers>") && !link.endsWith(name))
      .map(([, address]) => address);
  }

  /** The address of a link, which is created on first use. */
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
    commandArguments: readonly string[],
  ): Promise<ProcessHandle> {
    const handle = await ProcessHandle.start(name, program, commandArguments);
    this.#processes.set(name, handle);
    return handle;
  }
}
