import { expect } from "chai";
import { Err, Ok } from "ts-results-es";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { RecordingLog } from "../../../test/support/recording_services.ts";
import { SeededRandom } from "../../../test/support/seeded_random.ts";
import type { IObjectStore } from "../services/services.ts";
import { CallFailureKind } from "../types.ts";
import { ObjectFollower } from "./object_follower.ts";
import type { IObjectChanges } from "./object_follower.ts";

const AWAY = { kind: CallFailureKind.Refused, detail: "away" };

/** A store with one object; answers watches at once, without changes. */
class OneObject implements IObjectStore {
  isAway = false;
  lists = 0;

  async list() {
    this.lists += 1;
    const object = { kind: "targets", name: "a", version: 1, value: {} };
    return this.isAway ? Err(AWAY) : Ok({ version: 7, objects: [object] });
  }
  async watch(_: string, after: number) {
    return this.isAway ? Err(AWAY) : Ok({ version: after, objects: [] });
  }
  async read() {
    return Err(AWAY);
  }
  async write() {
    return Err({ kind: "not_applied", detail: "never" } as never);
  }
  async remove() {
    return Err({ kind: "not_applied", detail: "never" } as never);
  }
}

async function turns(clock: ManualClock, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 50) {
    clock.advance(50);
    for (let turn = 0; turn < 20; turn += 1) {
      await Promise.resolve();
    }
  }
}

describe("ObjectFollower", () => {
  // Guards against refusing every call during an outage of the store: its
  // connections are reset for seconds, but the known routes and targets stay
  // valid.
  it("keeps what it has listed during an outage of the store", async () => {
    const store = new OneObject();
    const clock = new ManualClock();
    const changes: IObjectChanges[] = [];
    const log = new RecordingLog();
    const follower = new ObjectFollower(
      { store, clock, random: new SeededRandom(1), log },
      {
        kind: "targets",
        pause: () => 0,
        onChanged: (change) => changes.push(change),
      },
    );
    expect(follower.isLoaded).to.equal(false);
    follower.start();
    store.isAway = false;
    await turns(clock, 100);
    store.isAway = true;
    await turns(clock, 2_000);
    expect(follower.isLoaded).to.equal(true);
    expect(log.fieldsOf("store_lost")).to.have.length(1);
    store.isAway = false;
    await turns(clock, 1_000);
    follower.dispose();
    expect(log.fieldsOf("store_regained")).to.have.length(1);
    expect(changes.at(-1)).to.include({
      isFullList: true,
      isAfterOutage: true,
    });
  });
});
