import { expect } from "chai";
import {
  ExistingRecordStatus,
  classifyExistingRecord,
  createOpenRecord,
  RunState,
} from "./run_record.ts";

const OPEN_UNTIL = 5_000;

describe("judging a run record", () => {
  const run = { account: "desk", operation: "delivery-api/publish", key: "k" };
  const details = { bodyDigest: "d", requestId: "r", createdAt: 0 };
  const theirs = createOpenRecord(run, {
    ...details,
    attempt: "theirs",
    openUntil: OPEN_UNTIL,
  });
  const mine = { ...theirs, attempt: "mine" };

  const CASES = [
    {
      name: "open",
      found: theirs,
      now: 1_000,
      is: ExistingRecordStatus.InProgress,
    },
    { name: "open at its bound", found: theirs, now: 5_000, is: "in_progress" },
    // Its daemon died: "in progress" for ever would keep the caller asking.
    {
      name: "left behind",
      found: theirs,
      now: 5_001,
      is: ExistingRecordStatus.Unknown,
    },
    {
      name: "my own",
      found: mine,
      now: 9_000,
      is: ExistingRecordStatus.OwnAttempt,
    },
    {
      name: "another body's",
      found: { ...mine, bodyDigest: "other" },
      now: 0,
      is: ExistingRecordStatus.BodyDiffers,
    },
    {
      name: "withdrawn",
      found: { ...theirs, state: RunState.NotRun },
      now: 0,
      is: ExistingRecordStatus.MayTakeOver,
    },
  ];
  for (const { name, found, now, is } of CASES) {
    it(`finds a record ${name}: ${is}`, () => {
      expect(classifyExistingRecord(found, mine, now)).to.equal(is);
    });
  }
});
