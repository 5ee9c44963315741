import { spawn } from "node:child_process";
import { expect } from "chai";

const MODULE = new URL("stop_signals.ts", import.meta.url).href;

/** Milliseconds; signals come before the start and the stop are over. */
const STEP = 300;

/** Starts, is signalled on the way, and says what it did. */
const PROGRAM = `
  const { handleSignals } = await import(${JSON.stringify(MODULE)});
  const after = (action) => new Promise((resolve) =>
    setTimeout(() => { action(); resolve(); }, ${STEP}));
  const say = (text) => () => process.stdout.write(text + " ");
  let stopped = null;
  const stop = () => (stopped ??= after(say("stopped")));
  handleSignals(after(say("started")).then(() => ({ stop })), say("reloaded"));
  process.stdout.write("ready ");
`;

/** Runs the program with signals a third of a step apart. */
async function run(signals: readonly NodeJS.Signals[]): Promise<string> {
  const options = ["--import", "tsx", "--input-type=module", "-e", PROGRAM];
  const child = spawn(process.execPath, options);
  let output = "";
  let timer: NodeJS.Timeout | undefined;
  child.stdout.on("data", (text) => {
    output += String(text);
    const left = [...signals];
    timer ??= setInterval(() => {
      const next = left.shift();
      if (next !== undefined) {
        child.kill(next);
      }
    }, STEP / 3);
  });
  return new Promise((resolve) => {
    child.on("exit", (code, signal) => {
      clearInterval(timer);
      resolve(`${output}${signal ?? code}`);
    });
  });
}

describe("signals to a process", () => {
  // Guards against a process that ends, and cuts its calls, because a signal
  // comes while it starts or stops.
  it("do not end it before its start and its stop are over", async () => {
    const signals = ["SIGHUP", "SIGTERM", "SIGTERM", "SIGINT"] as const;
    expect(await run(signals)).to.equal("ready started reloaded stopped 0");
  });
});
