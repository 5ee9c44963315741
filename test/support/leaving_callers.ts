/**
 * Callers that leave before they have an answer, and how many of their calls
 * reach a target long after that.
 */
import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { waitFor } from "./process_handle.ts";
import { SeededRandom } from "./seeded_random.ts";

/** Milliseconds that a caller waits for the process to read its call. */
const PATIENCE = 1_000;

/** The platform's rule: milliseconds after a leave until no call is sent on. */
const GRACE = 500;

/** Milliseconds over which the callers send their calls. */
const SENDING_TIME = 50;

/** Milliseconds after the last leave until arrivals are counted. */
const SETTLING_TIME = 5_000;

/** Milliseconds between two measurements of this process's own lag. */
const LAG_PERIOD = 10;

/** The end of an answer, of unknown or of known length. */
const ANSWER_END = /\r\n\r\n[^]*(0\r\n\r\n|done|\})$/;

/** Where and what is called. */
export interface ILeavingLoad {
  /** Address of the process. */
  readonly address: string;
  /** Writes one HTTP request; the id names it at the targets. */
  readonly requestOf: (id: string) => string;
  /** Callers on new connections, and as many on kept ones. */
  readonly count: number;
  readonly seed: number;
}

/** A call that reached a target. */
export interface IArrival {
  readonly id: string;
  /** Milliseconds of `performance.now()`. */
  readonly at: number;
}

/** Callers of which half close their connections and half reset them. */
export class LeavingCallers {
  readonly #load: ILeavingLoad;
  readonly #random: SeededRandom;
  readonly #leftAt = new Map<string, number>();
  /** When this process has run its timers. */
  readonly #ticks: number[] = [];

  constructor(load: ILeavingLoad) {
    this.#load = load;
    this.#random = new SeededRandom(load.seed);
  }

  /**
   * Lets all callers send their calls and leave.
   *
   * @param disturb - called once the kept connections are open
   */
  async run(disturb: () => AsyncDisposable): Promise<void> {
    const { count } = this.#load;
    const numbers = Array.from({ length: count }, (_, index) => index);
    const kept = await Promise.all(
      numbers.map((number) => this.#openKept(`first-${number}`)),
    );
    const ticks = setInterval(() => {
      this.#ticks.push(performance.now());
    }, LAG_PERIOD);
    try {
      await using disturbance = disturb();
      void disturbance;
      const calls = numbers.flatMap((number) => [
        this.#callAndLeave(`new-${number}`, null),
        this.#callAndLeave(`kept-${number}`, kept[number] ?? null),
      ]);
      await Promise.all(calls);
      await sleep(SETTLING_TIME);
    } finally {
      clearInterval(ticks);
    }
  }

  /**
   * The calls that reached a target too late. The lag of this process, which
   * plays the targets, is not held against the process under test.
   */
  findLate(arrivals: readonly IArrival[]): readonly string[] {
    return arrivals
      .filter(({ id, at }) => {
        const leftAt = this.#leftAt.get(id) ?? Number.POSITIVE_INFINITY;
        return at - leftAt > GRACE + this.#lagAt(at);
      })
      .map(({ id }) => id)
      .sort();
  }

  /** By how much this process was behind at a time, milliseconds. */
  #lagAt(time: number): number {
    const next = this.#ticks.findIndex((at) => at > time);
    const before = next === -1 ? this.#ticks : this.#ticks.slice(0, next);
    const [previous = time, last = time] = before.slice(-2);
    return Math.max(last - previous, time - last);
  }

  async #openKept(id: string): Promise<Socket> {
    const socket = await this.#open();
    let text = "";
    socket.on("data", (bytes) => (text += String(bytes)));
    socket.write(this.#load.requestOf(id));
    await waitFor(`the answer to ${id}`, () => ANSWER_END.test(text));
    return socket;
  }

  async #open(): Promise<Socket> {
    const [host, port] = this.#load.address.split(":");
    const socket = connect(Number(port), host);
    // The process may reset the connection of a caller that has left.
    socket.on("error", () => socket.destroy());
    await once(socket, "connect");
    return socket;
  }

  async #callAndLeave(id: string, kept: Socket | null): Promise<void> {
    const startsAfter = this.#random.next() * SENDING_TIME;
    const isReset = this.#random.next() < 0.5;
    await sleep(startsAfter);
    const socket = kept ?? (await this.#open());
    socket.write(this.#load.requestOf(id));
    await sleep(PATIENCE);
    this.#leftAt.set(id, performance.now());
    if (isReset) {
      socket.resetAndDestroy();
    } else {
      socket.end();
    }
  }
}
