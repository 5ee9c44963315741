/** Concurrent edits of a list by operators, and lost responses. */
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { applyEdit } from "../src/common/plans/list_edit.ts";
import { parseListObject } from "../src/common/plans/list_object.ts";
import { PLAN_LIST_KIND, PlanListName } from "../src/common/plans/types.ts";
import { ExitCode } from "../src/command_line/exit_code.ts";
import {
  FaultProxy,
  LinkMode,
} from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { Operator } from "./support/operator.ts";
import { ProcessHandle, waitFor } from "./support/process_handle.ts";

use(jestSnapshotPlugin());

const MAIN = new URL("../dist/src/command_line/main.js", import.meta.url)
  .pathname;
const PUT = "PUT objects plan_lists";

/** Delay that makes a write observable while in flight, milliseconds. */
const WRITE_DELAY = 500;

function plansText(rate: number): string {
  return `plans:
  - plan: readers
    services: [delivery-api]
    priority: 5
    requests_per_second: ${rate}
    tokens_per_minute: 60000
    requests_in_flight: 400
    deadline: 5s
`;
}

describe("cranberryledge apply", () => {
  let folder: string;
  let platform: ProcessHandle;
  let operator: Operator;
  let link: FaultProxy;
  let linkAddress: string;

  before(async () => {
    folder = mkdtempSync(join(tmpdir(), "cranberryledge-"));
    const program = "stand_ins/object_api/main.js";
    platform = await ProcessHandle.start("platform", program, []);
    const address = platform.listeningField("address");
    operator = new Operator(address);
    link = new FaultProxy(address);
    linkAddress = await link.listen("127.0.0.1:0");
  });

  after(async () => {
    await operator[Symbol.asyncDispose]();
    await platform[Symbol.asyncDispose]();
    await link[Symbol.asyncDispose]();
    rmSync(folder, { recursive: true });
  });

  function runCommand(
    ...words: readonly string[]
  ): Promise<{ code: number; output: string }> {
    const all = [MAIN, ...words, "--platform", linkAddress];
    return new Promise((resolve) => {
      execFile(process.execPath, all, { cwd: folder }, (error, out, errors) => {
        const code = typeof error?.code === "number" ? error.code : 0;
        resolve({ code, output: errors + out });
      });
    });
  }

  function apply(list: string, text: string, from: number) {
    writeFileSync(join(folder, `${list}.yaml`), text);
    return runCommand(
      "apply",
      list,
      `${list}.yaml`,
      "--edited-from",
      String(from),
    );
  }

  async function readPlans(): Promise<{ version: number; text: string }> {
    const found = await operator.platform.read(PLAN_LIST_KIND, "plans");
    return parseListObject(found.unwrap().unwrap()).unwrap();
  }

  it("puts a new list in force and prints it back", async () => {
    const first = await apply("plans", plansText(1), 0);
    expect(first).to.deep.equal({ code: 0, output: "version=1\n" });
    const again = await apply("plans", plansText(1), 0);
    expect(again).to.deep.equal(first);
    const { output } = await runCommand("get", "plans");
    expect(output).to.equal(`version=1\n${plansText(1)}`);
  });

  it("shows the difference when another operator was first", async () => {
    // Guards against a lost update: two operators edit the same version. The
    // second edit must be rejected and show the first one's change.
    const { version } = await readPlans();
    const first = await apply("plans", plansText(2), version);
    expect(first.code).to.equal(ExitCode.Success);
    const second = await apply("plans", plansText(3), version);
    expect(second.code).to.equal(ExitCode.Conflict);
    expect(second.output).toMatchSnapshot();
    expect((await readPlans()).text).to.equal(plansText(2));
  });

  it("settles a lost answer by reading back", async () => {
    // The write takes effect, but its response is lost. Without reading back,
    // the operator would not know whether to retry.
    const { version } = await readPlans();
    const before = (await operator.fetchCallCounts())[PUT] ?? 0;
    await operator.setFaults({ delay_ms: WRITE_DELAY });
    const applying = apply("plans", plansText(4), version);
    await waitFor("the write is on its way", async () => {
      return ((await operator.fetchCallCounts())[PUT] ?? 0) > before;
    });
    link.setMode(LinkMode.LoseAnswer);
    const { code, output } = await applying;
    await operator.setFaults({ delay_ms: 0 });
    expect(code).to.equal(ExitCode.Success);
    expect(output).to.equal(`version=${(await readPlans()).version}\n`);
    expect((await readPlans()).text).to.equal(plansText(4));
  });

  it("never undoes an edit made after a lost answer", async () => {
    // Guards against a retry that overwrites a later edit: the response is
    // lost, another operator edits the list before it is read back, and the
    // first command is run again.
    const { version } = await readPlans();
    const before = (await operator.fetchCallCounts())[PUT] ?? 0;
    await operator.setFaults({ delay_ms: WRITE_DELAY });
    const applying = apply("plans", plansText(5), version);
    await waitFor("the write is on its way", async () => {
      return ((await operator.fetchCallCounts())[PUT] ?? 0) > before;
    });
    link.setMode(LinkMode.LoseAnswer);
    await operator.setFaults({ delay_ms: 0 });
    await waitFor("the write took effect", async () => {
      return (await readPlans()).text === plansText(5);
    });
    const other = await applyEdit(
      operator.platform,
      {
        list: PlanListName.Plans,
        text: plansText(6),
        editedFrom: (await readPlans()).version,
        name: "another operator's edit",
      },
      async () => {},
    );
    expect(other.outcome).to.equal("applied");
    const first = await applying;
    expect(first.code).to.equal(ExitCode.Replaced);
    const again = await apply("plans", plansText(5), version);
    expect(again.code).to.equal(ExitCode.Replaced);
    expect(again.output).toMatchSnapshot();
    expect((await readPlans()).text).to.equal(plansText(6));
  });

  it("warns of customers whose plan is missing, and of no platform", async () => {
    const customers = `customers:
  - account: desk
    plan: newsroom
    credential_sha256: "${"0".repeat(64)}"
`;
    const warned = await apply("customers", customers, 0);
    expect(warned.code).to.equal(ExitCode.Success);
    expect(warned.output).to.include(
      "warning: customers.yaml:3:11: customers[0].plan: no plan is named",
    );
    const bad = await apply("customers", "customers: 5", 0);
    expect(bad.code).to.equal(ExitCode.Findings);
    link.setMode(LinkMode.Cut);
    const cut = await apply("customers", customers, 0);
    link.setMode(LinkMode.Pass);
    expect(cut.code).to.equal(ExitCode.Unreachable);
  });
});
