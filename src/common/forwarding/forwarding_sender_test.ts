import { expect } from "chai";
import {
  callOf,
  RecordingReceiver,
} from "../../../test/support/call_fixtures.ts";
import {
  RecordingPeerLink,
  RecordingSender,
} from "../../../test/support/forwarding_fixtures.ts";
import type {
  IDirectSend,
  IPeerSend,
} from "../../../test/support/forwarding_fixtures.ts";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { SUCCESS_HEAD } from "../../../test/support/model_calls_harness.ts";
import { RecordingLog } from "../../../test/support/recording_services.ts";
import { SendFailure } from "../calls/types.ts";
import { ForwardingSender } from "./forwarding_sender.ts";
import { ForwardRefusal } from "./types.ts";

class Harness {
  readonly clock = new ManualClock();
  readonly direct = new RecordingSender();
  readonly link = new RecordingPeerLink();
  readonly receiver = new RecordingReceiver();
  isOutOfReach = false;
  /** The callback of a send that waits for a decision. */
  decide: (() => void) | null = null;
  isInDoubt = false;
  mayWrite = true;
  peers = ["peer-1", "peer-2"];
  readonly failed: string[] = [];
  readonly heard: string[] = [];
  readonly outOfReach: string[] = [];
  onPeerLost: () => void = () => undefined;
  readonly sender = new ForwardingSender({
    direct: this.direct,
    reach: {
      isOutOfReach: () => this.isOutOfReach,
      recordNoAnswer: () => undefined,
      waitForDecision: (_, callback) => {
        this.decide = this.isInDoubt ? callback : null;
        return this.isInDoubt;
      },
    },
    peers: {
      choose: (_, excluded) =>
        this.peers.find((peer) => !excluded.has(peer)) ?? null,
      hasPeer: () => this.peers.length > 0,
      recordAnswer: (peer) => this.heard.push(peer),
      recordFailure: (peer) => this.failed.push(peer),
      recordOutOfReach: (peer) => this.outOfReach.push(peer),
      watch: (_, onLost) => {
        this.onPeerLost = onLost;
        return { dispose: () => undefined };
      },
    },
    link: this.link,
    clock: this.clock,
    log: new RecordingLog(),
  });

  send() {
    const target = { id: "engine-1", address: "10.0.0.1:80" };
    return this.sender.send(target, callOf(), {
      timeLeft: 8_000,
      lastEventId: "3",
      needsNewConnection: false,
      mayWrite: () => this.mayWrite,
      receiver: this.receiver,
    });
  }

  get directSend(): IDirectSend {
    return only(this.direct.sends);
  }

  get peerSend(): IPeerSend {
    return only(this.link.sends.slice(-1));
  }
}

function only<T>(items: readonly T[]): T {
  const [item] = items;
  if (item === undefined || items.length > 1) {
    throw new Error(`expected one send, not ${items.length}`);
  }
  return item;
}

describe("the sender that forwards", () => {
  it("sends directly while the targets are in reach", () => {
    const harness = new Harness();
    harness.send();
    expect(harness.direct.sends).to.have.length(1);
    expect(harness.link.sends).to.have.length(0);
  });

  it("sends through a peer while they are not", () => {
    const harness = new Harness();
    harness.isOutOfReach = true;
    harness.send();
    const { send, receiver } = harness.peerSend;
    expect(harness.direct.sends).to.have.length(0);
    expect(send).to.include({ target: "engine-1", lastEventId: "3" });
    receiver.onHead(SUCCESS_HEAD);
    receiver.onData(new TextEncoder().encode("text"));
    receiver.onEnd();
    expect(harness.receiver).to.include({ text: "text", isFinished: true });
    expect(harness.heard).to.include("peer-1");
  });

  // Guards against a call that is refused, or counted against its target, for
  // a connection that this process could not make.
  it("holds a call without a connection until the doubt is decided", () => {
    const harness = new Harness();
    harness.isInDoubt = true;
    harness.send();
    const { receiver } = harness.directSend.options;
    receiver.onFailure(SendFailure.NotSent, "refused");
    expect(harness.receiver.isFinished).to.equal(false);
    harness.clock.advance(300);
    harness.isOutOfReach = true;
    harness.decide?.();
    expect(harness.peerSend.send.timeLeft).to.equal(7_700);
  });

  it("fails such a call when the path is found to work", () => {
    const harness = new Harness();
    harness.isInDoubt = true;
    harness.send();
    const { receiver } = harness.directSend.options;
    receiver.onFailure(SendFailure.NotSent, "refused");
    harness.decide?.();
    expect(harness.receiver.failure).to.equal(SendFailure.NotSent);
    expect(harness.link.sends).to.have.length(0);
  });

  // Guards against a call that runs twice: what was written may have run.
  it("never forwards a call by itself that was written", () => {
    const harness = new Harness();
    harness.isInDoubt = true;
    harness.send();
    harness.isOutOfReach = true;
    const { receiver } = harness.directSend.options;
    receiver.onFailure(SendFailure.Broken, "reset");
    expect(harness.receiver.failure).to.equal(SendFailure.Broken);
    expect(harness.link.sends).to.have.length(0);
  });

  it("offers a call to another peer when one does not take it", () => {
    const harness = new Harness();
    harness.isOutOfReach = true;
    harness.send();
    harness.peerSend.receiver.onRefused(ForwardRefusal.OutOfReach, "");
    harness.peerSend.receiver.onRefused(ForwardRefusal.NotConnected, "");
    harness.clock.advance(1);
    const addresses = harness.link.sends.map(({ address }) => address);
    expect(addresses).to.deep.equal(["peer-1", "peer-2"]);
    expect(harness.outOfReach).to.deep.equal(["peer-1"]);
    expect(harness.failed).to.deep.equal(["peer-2"]);
    expect(harness.receiver.failure).to.equal(SendFailure.Unreachable);
  });

  // Guards against a call that a second process is asked to run while the
  // first may have.
  it("asks no other peer once one may have sent the call", () => {
    const harness = new Harness();
    harness.isOutOfReach = true;
    harness.send();
    harness.onPeerLost();
    expect(harness.receiver.isSilent).to.equal(true);
    harness.peerSend.receiver.onFailure(SendFailure.PathLost, "closed");
    expect(harness.receiver.failure).to.equal(SendFailure.PathLost);
    expect(harness.link.sends).to.have.length(1);
  });

  // Guards against a call that is given up because its peer does not answer for
  // a while, though the peer goes on with it.
  it("keeps a call whose peer is silent", () => {
    const harness = new Harness();
    harness.isOutOfReach = true;
    harness.send();
    harness.onPeerLost();
    expect(harness.peerSend.isAborted).to.equal(false);
    harness.peerSend.receiver.onHead(SUCCESS_HEAD);
    harness.peerSend.receiver.onEnd();
    expect(harness.receiver.failure).to.equal(null);
    expect(harness.receiver.isFinished).to.equal(true);
  });

  // Guards against a call that is sent again over the path on which it has just
  // fallen silent, which takes its last attempt.
  it("avoids the peer of a silent call", () => {
    const harness = new Harness();
    harness.isOutOfReach = true;
    harness.send().handleSilence?.();
    expect(harness.failed).to.deep.equal(["peer-1"]);
  });

  // Guards against requests to a target that wants none for a time.
  it("does not forward a call that may no longer be written", () => {
    const harness = new Harness();
    harness.isOutOfReach = true;
    harness.mayWrite = false;
    harness.send();
    harness.clock.advance(1);
    expect(harness.receiver.failure).to.equal(SendFailure.Withheld);
    expect(harness.link.sends).to.have.length(0);
  });

  // Guards against a target that works on for a caller that has left.
  it("aborts on whichever path the call is", () => {
    const harness = new Harness();
    harness.isOutOfReach = true;
    harness.send().abort();
    expect(harness.peerSend.isAborted).to.equal(true);
    harness.peerSend.receiver.onFailure(SendFailure.PathLost, "closed");
    expect(harness.receiver.isFinished).to.equal(false);
  });

  it("has no path while neither targets nor peers are in reach", () => {
    const harness = new Harness();
    expect(harness.sender.hasPath("summaries")).to.equal(true);
    harness.isOutOfReach = true;
    expect(harness.sender.hasPath("summaries")).to.equal(true);
    harness.peers = [];
    expect(harness.sender.hasPath("summaries")).to.equal(false);
  });
});
