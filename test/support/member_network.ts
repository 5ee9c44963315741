/**
 * Membership state machines on a network in memory with a clock of its own:
 * messages are delayed, lost and cut as told, the same way for a seed.
 */
import { SwimMembership } from "../../src/common/membership/swim_membership.ts";
import {
  MEMBERSHIP_TIMING,
  PROBE_TIMEOUT,
  RELAYED_PROBE_TIMEOUT,
} from "../../src/common/membership/timing.ts";
import { MembershipActionKind } from "../../src/common/membership/types.ts";
import type {
  IMember,
  IMemberMessage,
  IMemberUpdate,
  MembershipAction,
} from "../../src/common/membership/types.ts";
import type { IHash, IRandom } from "../../src/common/services/services.ts";

/** One node, with what the network does to it. */
export interface INode {
  readonly member: IMember;
  readonly membership: SwimMembership;
  isUp: boolean;
  /** Nodes of different sides do not reach one another. */
  side: number;
}

/** Conditions of the network. */
export interface INetworkOptions {
  readonly random: IRandom;
  readonly hash: IHash;
  /** Share of messages lost, each way on its own. */
  readonly loss: number;
  /** Longest time a message takes, milliseconds. */
  readonly delay: number;
  /** Told each message sent, for counting. */
  readonly onSent?: (from: IMember, message: IMemberMessage) => void;
  /** Told each whole view sent. */
  readonly onView?: (from: IMember, view: readonly IMemberUpdate[]) => void;
}

interface IEvent {
  readonly at: number;
  readonly run: () => void;
}

/** The nodes, the clock and what is under way. */
export class MemberNetwork {
  readonly #options: INetworkOptions;
  readonly #nodes = new Map<string, INode>();
  /** A binary heap by time. */
  readonly #events: IEvent[] = [];
  #now = 0;

  constructor(options: INetworkOptions) {
    this.#options = options;
  }

  get now(): number {
    return this.#now;
  }

  get nodes(): readonly INode[] {
    return [...this.#nodes.values()];
  }

  /** Adds a node that starts probing at a random moment of a period. */
  add(name: string, zone: string, contacts: readonly IMember[]): INode {
    const member = { daemon: name, zone, peerAddress: `10.0.0.1:${name}` };
    const { random, hash } = this.#options;
    const membership = new SwimMembership(member, MEMBERSHIP_TIMING, {
      random,
      hash,
    });
    membership.addContacts(contacts);
    const node: INode = { member, membership, isUp: true, side: 0 };
    this.#nodes.set(name, node);
    const phase = random.next() * MEMBERSHIP_TIMING.period;
    this.#after(phase, () => this.#tick(node));
    return node;
  }

  /** Lets time pass; returns early once the condition holds. */
  run(duration: number, until?: () => boolean): boolean {
    const end = this.#now + duration;
    for (;;) {
      const event = this.#events[0];
      if (event === undefined || event.at > end) {
        this.#now = end;
        return until?.() ?? true;
      }
      this.#take();
      this.#now = event.at;
      event.run();
      if (until?.()) {
        return true;
      }
    }
  }

  #tick(node: INode): void {
    if (node.isUp) {
      this.#perform(node, node.membership.tick(this.#now));
    }
    this.#after(MEMBERSHIP_TIMING.period, () => this.#tick(node));
  }

  #perform(node: INode, actions: readonly MembershipAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case MembershipActionKind.Probe:
          this.#probe(node, action);
          break;
        case MembershipActionKind.ProbeThrough:
          this.#probeThrough(node, action);
          break;
        case MembershipActionKind.Synchronize:
          this.#synchronize(node, action.target);
          break;
        case MembershipActionKind.Changed:
          break;
      }
    }
  }

  #probe(
    node: INode,
    action: MembershipAction & { kind: MembershipActionKind.Probe },
  ): void {
    const { probe, target, message } = action;
    const settle = this.#settleOnce(node, probe, PROBE_TIMEOUT);
    this.#ask(node, target, message, settle);
  }

  #probeThrough(
    node: INode,
    action: MembershipAction & { kind: MembershipActionKind.ProbeThrough },
  ): void {
    const { probe, relay, target, message } = action;
    const settle = this.#settleOnce(node, probe, PROBE_TIMEOUT);
    this.#send(node, relay, message, (relaying) => {
      const sent = this.#now;
      this.#ask(relaying, target, message, (answer) => {
        if (this.#now - sent <= RELAYED_PROBE_TIMEOUT) {
          this.#send(relaying, node.member, answer, () => settle(answer));
        }
      });
    });
  }

  #ask(
    node: INode,
    target: IMember,
    message: IMemberMessage,
    answered: (answer: IMemberMessage) => void,
  ): void {
    this.#send(node, target, message, (other) => {
      this.#perform(other, other.membership.handleProbe(message, this.#now));
      const answer = other.membership.composeAnswer(message.from.member.daemon);
      this.#send(other, node.member, answer, () => answered(answer));
    });
  }

  #synchronize(node: INode, target: IMember): void {
    const other = this.#nodes.get(target.daemon);
    if (other === undefined || !this.#passes(node, other)) {
      return;
    }
    const { view } = other.membership;
    this.#options.onView?.(target, view);
    this.#after(this.#options.delay, () =>
      this.#perform(node, node.membership.mergeView(view, this.#now)),
    );
  }

  #settleOnce(
    node: INode,
    probe: number,
    timeout: number,
  ): (answer: IMemberMessage) => void {
    let isSettled = false;
    this.#after(timeout, () => {
      if (!isSettled && node.isUp) {
        isSettled = true;
        this.#perform(
          node,
          node.membership.handleProbeFailure(probe, this.#now),
        );
      }
    });
    return (answer) => {
      if (!isSettled) {
        isSettled = true;
        const { membership } = node;
        this.#perform(node, membership.handleAnswer(probe, answer, this.#now));
      }
    };
  }

  #send(
    from: INode,
    to: IMember,
    message: IMemberMessage,
    arrived: (at: INode) => void,
  ): void {
    this.#options.onSent?.(from.member, message);
    const other = this.#nodes.get(to.daemon);
    const isLost = this.#options.random.next() < this.#options.loss;
    if (other === undefined || isLost || !this.#passes(from, other)) {
      return;
    }
    this.#after(this.#options.random.next() * this.#options.delay, () => {
      if (other.isUp) {
        arrived(other);
      }
    });
  }

  #passes(from: INode, to: INode): boolean {
    return from.isUp && to.isUp && from.side === to.side;
  }

  #after(delay: number, run: () => void): void {
    const events = this.#events;
    events.push({ at: this.#now + delay, run });
    let index = events.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (events[parent]!.at <= events[index]!.at) {
        return;
      }
      this.#swap(index, parent);
      index = parent;
    }
  }

  #take(): void {
    const events = this.#events;
    const last = events.pop();
    if (last === undefined || events.length === 0) {
      return;
    }
    events[0] = last;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      let least = index;
      for (const child of [left, left + 1]) {
        if (child < events.length && events[child]!.at < events[least]!.at) {
          least = child;
        }
      }
      if (least === index) {
        return;
      }
      this.#swap(index, least);
      index = least;
    }
  }

  #swap(left: number, right: number): void {
    const held = this.#events[left]!;
    this.#events[left] = this.#events[right]!;
    this.#events[right] = held;
  }
}
