import { expect } from "chai";
import type { IReportedPeer } from "./forwarding_peers.ts";
import { PeerAssignment } from "./peer_assignment.ts";

function processesOf(zones: number, perZone: number): readonly IReportedPeer[] {
  return Array.from({ length: zones * perZone }, (_, index) => ({
    address: `10.${index % zones}.0.${index}:1`,
    zone: `zone-${index % zones}`,
    outOfReach: [],
  }));
}

describe("the peers that the lease holder names", () => {
  it("are a few, of the process's own zone and of others", () => {
    const processes = processesOf(9, 37);
    const [process] = processes;
    if (process === undefined) {
      throw new Error("there is no process");
    }
    const peers = new PeerAssignment().peersOf(process, () => processes, 0);
    const own = peers.filter(({ zone }) => zone === process.zone);
    expect(peers).to.have.length(8);
    expect(own).to.have.length(4);
    expect(peers.map(({ address }) => address)).to.not.include(process.address);
  });

  // Guards against a few processes that get the calls of all others.
  it("spread over all processes", () => {
    const processes = processesOf(9, 37);
    const assignment = new PeerAssignment();
    const named = new Map<string, number>();
    for (const process of processes) {
      for (const peer of assignment.peersOf(process, () => processes, 0)) {
        named.set(peer.address, (named.get(peer.address) ?? 0) + 1);
      }
    }
    expect(named.size).to.equal(processes.length);
    expect(Math.max(...named.values())).to.be.at.most(4 * 37);
  });

  // Guards against a process that is named only others that are cut off too.
  it("reach the services that the process does not", () => {
    const [cutOff, ...others] = processesOf(3, 10).map((one, index) => ({
      ...one,
      outOfReach: index < 29 ? ["summaries"] : [],
    }));
    if (cutOff === undefined) {
      throw new Error("there is no process");
    }
    const all = [cutOff, ...others];
    const peers = new PeerAssignment().peersOf(cutOff, () => all, 0);
    expect(peers.map(({ address }) => address)).to.deep.equal([
      others.at(-1)?.address,
    ]);
  });

  // Guards against lists in every reply of the holder on a calm day.
  it("are sent when they change, and again after some seconds", () => {
    const processes = processesOf(3, 2);
    const [process] = processes;
    if (process === undefined) {
      throw new Error("there is no process");
    }
    const assignment = new PeerAssignment();
    const send = (now: number, all = processes) =>
      assignment.peersToSend(process, () => all, now) !== null;
    expect(send(0)).to.equal(true);
    expect(send(300)).to.equal(false);
    expect(send(600, processes.slice(0, 3))).to.equal(true);
    expect(send(900, processes.slice(0, 3))).to.equal(false);
    expect(send(6_000, processes.slice(0, 3))).to.equal(true);
  });
});
