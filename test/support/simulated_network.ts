/**
 * Runs membership state machines on a simulated network with its own clock.
 * Messages are delayed, lost and cut deterministically for a given seed.
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

/** A node and its state in the network. */
export interface ISimulatedNode {
  readonly member: IMember;
  readonly membership: SwimMembership;
  isUp: boolean;
  /** Nodes in different partitions cannot reach each other. */
  partition: number;
}

/** Properties of the network, and its observers. */
export interface INetworkOptions {
  readonly random: IRandom;
  readonly hash: IHash;
  /** Probability that a message is lost, independent in each direction. */
  readonly lossRate: number;
  /** Maximum delay of a message, milliseconds. */
  readonly maximumDelay: number;
  /** Called for each message sent. */
  readonly onMessageSent?: (from: IMember, message: IMemberMessage) => void;
  /** Called for each complete view sent. */
  readonly onViewSent?: (from: IMember, view: readonly IMemberUpdate[]) => void;
}

interface IScheduledEvent {
  readonly at: number;
  readonly run: () => void;
}

/** The nodes, the clock and the pending events. */
export class SimulatedNetwork {
  readonly #options: INetworkOptions;
  readonly #nodes = new Map<string, ISimulatedNode>();
  /** A binary heap ordered by time. */
  readonly #events: IScheduledEvent[] = [];
  #now = 0;

  constructor(options: INetworkOptions) {
    this.#options = options;
  }

  get now(): number {
    return this.#now;
  }

  get nodes(): readonly ISimulatedNode[] {
    return [...this.#nodes.values()];
  }

  /** Adds a node that starts probing at a random point of the period. */
  addNode(
    name: string,
    zone: string,
    contacts: readonly IMember[],
  ): ISimulatedNode {
    const member = { daemon: name, zone, peerAddress: `10.0.0.1:${name}` };
    const { random, hash } = this.#options;
    const membership = new SwimMembership(member, MEMBERSHIP_TIMING, {
      random,
      hash,
    });
    membership.addContacts(contacts);
    const node: ISimulatedNode = {
      member,
      membership,
      isUp: true,
      partition: 0,
    };
    this.#nodes.set(name, node);
    const phase = random.next() * MEMBERSHIP_TIMING.period;
    this.#schedule(phase, () => this.#tick(node));
    return node;
  }

  /** Advances time; returns early, with true, once the condition holds. */
  run(duration: number, until?: () => boolean): boolean {
    const end = this.#now + duration;
    for (;;) {
      const event = this.#events[0];
      if (event === undefined || event.at > end) {
        this.#now = end;
        return until?.() ?? true;
      }
      this.#popEvent();
      this.#now = event.at;
      event.run();
      if (until?.()) {
        return true;
      }
    }
  }

  #tick(node: ISimulatedNode): void {
    if (node.isUp) {
      this.#performActions(node, node.membership.tick(this.#now));
    }
    this.#schedule(MEMBERSHIP_TIMING.period, () => this.#tick(node));
  }

  #performActions(
    node: ISimulatedNode,
    actions: readonly MembershipAction[],
  ): void {
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
    node: ISimulatedNode,
    action: MembershipAction & { kind: MembershipActionKind.Probe },
  ): void {
    const { probe, target, message } = action;
    const settle = this.#createProbeSettler(node, probe, PROBE_TIMEOUT);
    this.#sendProbe(node, target, message, settle);
  }

  #probeThrough(
    node: ISimulatedNode,
    action: MembershipAction & { kind: MembershipActionKind.ProbeThrough },
  ): void {
    const { probe, relay, target, message } = action;
    const settle = this.#createProbeSettler(node, probe, PROBE_TIMEOUT);
    this.#send(node, relay, message, (relaying) => {
      const sent = this.#now;
      this.#sendProbe(relaying, target, message, (answer) => {
        if (this.#now - sent <= RELAYED_PROBE_TIMEOUT) {
          this.#send(relaying, node.member, answer, () => settle(answer));
        }
      });
    });
  }

  #sendProbe(
    node: ISimulatedNode,
    target: IMember,
    message: IMemberMessage,
    answered: (answer: IMemberMessage) => void,
  ): void {
    this.#send(node, target, message, (other) => {
      this.#performActions(
        other,
        other.membership.handleProbe(message, this.#now),
      );
      const answer = other.membership.composeAnswer(message.from.member.daemon);
      this.#send(other, node.member, answer, () => answered(answer));
    });
  }

  #synchronize(node: ISimulatedNode, target: IMember): void {
    const other = this.#nodes.get(target.daemon);
    if (other === undefined || !this.#canReach(node, other)) {
      return;
    }
    const { view } = other.membership;
    this.#options.onViewSent?.(target, view);
    this.#schedule(this.#options.maximumDelay, () =>
      this.#performActions(node, node.membership.mergeView(view, this.#now)),
    );
  }

  #createProbeSettler(
    node: ISimulatedNode,
    probe: number,
    timeout: number,
  ): (answer: IMemberMessage) => void {
    let isSettled = false;
    this.#schedule(timeout, () => {
      if (!isSettled && node.isUp) {
        isSettled = true;
        this.#performActions(
          node,
          node.membership.handleProbeFailure(probe, this.#now),
        );
      }
    });
    return (answer) => {
      if (!isSettled) {
        isSettled = true;
        const { membership } = node;
        this.#performActions(
          node,
          membership.handleAnswer(probe, answer, this.#now),
        );
      }
    };
  }

  #send(
    from: ISimulatedNode,
    to: IMember,
    message: IMemberMessage,
    arrived: (at: ISimulatedNode) => void,
  ): void {
    this.#options.onMessageSent?.(from.member, message);
    const other = this.#nodes.get(to.daemon);
    const isLost = this.#options.random.next() < this.#options.lossRate;
    if (other === undefined || isLost || !this.#canReach(from, other)) {
      return;
    }
    this.#schedule(
      this.#options.random.next() * this.#options.maximumDelay,
      () => {
        if (other.isUp) {
          arrived(other);
        }
      },
    );
  }

  #canReach(from: ISimulatedNode, to: ISimulatedNode): boolean {
    return from.isUp && to.isUp && from.partition === to.partition;
  }

  #schedule(delay: number, run: () => void): void {
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

  #popEvent(): void {
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
