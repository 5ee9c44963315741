import { expect } from "chai";
import {
  classifyExistingRecord,
  createOpenRecord,
  ExistingRecordStatus,
  RunState,
} from "./run_record.ts";

const OPEN_UNTIL = 5_000;

describe("classifying an existing run record", () => {
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
    {
      name: "open at its time limit",
      found: theirs,
      now: 5_000,
      is: "in_progress",
    },
    // The daemon died: "in progress" forever would make the caller retry
    // forever.
    {
      name: "left behind",
      found: theirs,
      now: 5_001,
      is: ExistingRecordStatus.Unknown,
    },
    {
      name: "from this attempt",
      found: mine,
      now: 9_000,
      is: ExistingRecordStatus.OwnAttempt,
    },
    {
      name: "for another body",
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
    it(`classifies a record that is ${name} as ${is}`, () => {
      expect(classifyExistingRecord(found, mine, now)).to.equal(is);
    });
  }
});
