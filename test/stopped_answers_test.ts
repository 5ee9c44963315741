/** Targets that stop in the middle of an answer, often within its head. */
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { wholeText } from "../src/stand_ins/engine_member/text.ts";
import { longBrief, sendCall, sendStreamCall } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import { waitFor } from "./support/process_handle.ts";

/** Bytes of an answer that arrive: none, in its head, and in its body. */
const LENGTHS = [0, 1, 17, 40, 80, 120, 160, 200, 300];

const STATUS_OK = 200;

const ZONE = "vn-north-a";
const TOKENS = 20;

/** Lets answers of all targets to one process stop after so many bytes. */
function stopAnswers(fleet: EntryFleet, index: number, length: number): void {
  const links = fleet.processes[index]?.links.values() ?? [];
  [...links].forEach((link) => link.stopAnswersAt(length));
}

/** Calls of each path that got a success with another body than usual. */
async function wrongAnswers(
  fleet: EntryFleet,
  whole: ReadonlyMap<Path, string>,
): Promise<readonly string[]> {
  const wrong: string[] = [];
  for (const [path, text] of whole) {
    const answer = await fleet.sendCall(0, path).catch(() => null);
    if (answer?.status === STATUS_OK && answer.text !== text) {
      wrong.push(`${path}: ${JSON.stringify(answer.text)}`);
    }
  }
  return wrong;
}

/** What each path is answered in calm. */
async function wholeAnswers(
  fleet: EntryFleet,
): Promise<ReadonlyMap<Path, string>> {
  const whole = new Map<Path, string>();
  for (const path of [Path.Safe, Path.Unsafe, Path.Stream]) {
    const { status, text } = await fleet.sendCall(0, path);
    expect(status, path).to.equal(STATUS_OK);
    whole.set(path, text);
  }
  return whole;
}

describe("answers of targets that stop", () => {
  // Guards against a success with an empty or short body that looks whole, since
  // a target stopped within the head of its answer.
  for (const isForwarded of [false, true]) {
    const name = isForwarded ? "forwarded calls" : "calls";
    it(`are no success of ${name}`, async () => {
      await using fleet = new EntryFleet();
      await fleet.start(2);
      const whole = await wholeAnswers(fleet);
      if (isForwarded) {
        fleet.setLinks(0, LinkMode.Cut);
        await fleet.waitUntilLost(0);
      }
      for (const length of LENGTHS) {
        stopAnswers(fleet, isForwarded ? 1 : 0, length);
        const wrong = await wrongAnswers(fleet, whole);
        expect(wrong, `${length} bytes`).to.deep.equal([]);
      }
    });
  }

  // Guards against the same at a daemon.
  it("are no success of a daemon's calls", async () => {
    await using deployment = await Deployment.start({
      example: "song_lam",
      zones: [ZONE],
      daemonsPerZone: 1,
      enginesPerZone: 8,
      plainService: "delivery-api",
      groups: { replace_after: "60s" },
    });
    const daemon = deployment.process(`daemon-${ZONE}-0`);
    const address = daemon.listeningField("callers");
    const feed = () =>
      sendCall({
        address,
        credential: "editor-desk-secret",
        operation: "delivery-api/feed",
        body: { page: 1 },
      });
    await deployment.waitUntilServing();
    let whole = await feed();
    await waitFor("plain calls are served", async () => {
      whole = await feed();
      return whole.status === STATUS_OK;
    });
    const targets = [
      `service-${ZONE}`,
      ...deployment.processNames("engine-"),
    ].map((target) => deployment.link(`target>${target}`));
    for (const length of LENGTHS) {
      targets.forEach((link) => link.stopAnswersAt(length));
      const id = `stopped-${length}`;
      const [plain, stream] = await Promise.all([
        feed().catch(() => null),
        sendStreamCall(longBrief(address, { id, tokens: TOKENS })),
      ]);
      if (plain?.status === STATUS_OK) {
        expect(plain.body.answer, id).to.deep.equal(whole.body.answer);
      }
      if (stream.isWhole) {
        expect(stream.text, id).to.equal(wholeText(`story ${id}`, TOKENS));
      }
    }
  });
});
