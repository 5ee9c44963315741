/** A TCP proxy that brings about the failures of a network. */
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { addressOfServer, splitAddress } from "../../adapters/listen.ts";
import { HeldRequest } from "./held_request.ts";

/** What happens to the bytes of a link. */
export enum LinkMode {
  Pass = "pass",
  /** Open connections are reset and new ones refused. */
  Cut = "cut",
  /** Connections are accepted, and nothing passes any more. */
  Silent = "silent",
  /** Open connections go silent for good; new ones pass. */
  SilentOld = "silent_old",
  /** Requests pass; answers do not. */
  NoAnswers = "no_answers",
  /** Answers pass; requests do not. */
  NoRequests = "no_requests",
  /** The next answer is lost: its connection is reset in its place. */
  LoseAnswer = "lose_answer",
}

interface IPair {
  readonly client: Socket;
  readonly target: Socket;
  isSilenced: boolean;
  /** Its next answer is lost. */
  losesAnswer: boolean;
  /** A request held back on this pair, or null. */
  held: HeldRequest | null;
}

/** One link: listens on a port of its own and passes on to one target. */
export class FaultProxy {
  #target: string;
  readonly #server: Server;
  readonly #pairs = new Set<IPair>();
  #mode = LinkMode.Pass;
  #delay = 0;
  #lostTo: string | null = null;
  #toHold: HeldRequest | null = null;

  /** @param target - `host:port` that connections are passed on to */
  constructor(target: string) {
    this.#target = target;
    this.#server = createServer({ allowHalfOpen: true }, (client) =>
      this.#accept(client),
    );
  }

  /** Passes new connections on to another address. */
  retarget(target: string): void {
    this.#target = target;
  }

  listen(address: string): Promise<string> {
    return addressOfServer(this.#server, address);
  }

  /** @param delay - milliseconds added in each direction */
  setMode(mode: LinkMode, delay = 0): void {
    this.#delay = delay;
    this.#mode = mode;
    if (mode === LinkMode.SilentOld) {
      this.#pairs.forEach((pair) => {
        pair.isSilenced = true;
      });
      this.#mode = LinkMode.Pass;
    }
    if (mode === LinkMode.Cut) {
      this.#pairs.forEach(reset);
    }
  }

  /**
   * Loses the answer to the next request whose bytes contain a text: it takes
   * effect, and the connection is reset in place of the answer.
   */
  loseAnswerTo(text: string): void {
    this.#lostTo = text;
  }

  /** Holds back the next request whose bytes contain a text. */
  holdRequest(text: string): HeldRequest {
    this.#toHold = new HeldRequest(text);
    return this.#toHold;
  }

  /** Connections open through this link. */
  get connections(): number {
    return this.#pairs.size;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#pairs.forEach(reset);
    this.#server.close();
  }

  #accept(client: Socket): void {
    if (this.#mode === LinkMode.Cut) {
      client.resetAndDestroy();
      return;
    }
    const { host, port } = splitAddress(this.#target);
    const target = connect({ host, port, allowHalfOpen: true });
    const pair: IPair = {
      client,
      target,
      isSilenced: false,
      losesAnswer: false,
      held: null,
    };
    this.#pairs.add(pair);
    client.on("data", (bytes) => this.#toTarget(pair, bytes));
    target.on("data", (bytes) => this.#toClient(pair, bytes));
    client.on("end", () => {
      if (!pair.held?.isHolding && !this.#isSilent(pair)) {
        target.end();
      }
    });
    target.on("end", () => {
      if (!this.#isSilent(pair)) {
        client.end();
      }
    });
    for (const socket of [client, target]) {
      socket.on("error", () => undefined);
      socket.on("close", () => this.#closed(pair));
    }
  }

  #toTarget(pair: IPair, bytes: Buffer): void {
    if (this.#lostTo !== null && bytes.includes(this.#lostTo)) {
      this.#lostTo = null;
      pair.losesAnswer = true;
    }
    if (this.#toHold !== null && bytes.includes(this.#toHold.text)) {
      pair.held = this.#toHold;
      this.#toHold = null;
      pair.held.take(pair.target, bytes);
      return;
    }
    if (!this.#isSilent(pair) && this.#mode !== LinkMode.NoRequests) {
      this.#later(() => pair.target.write(bytes));
    }
  }

  #toClient(pair: IPair, bytes: Buffer): void {
    if (pair.losesAnswer || this.#mode === LinkMode.LoseAnswer) {
      this.#mode = pair.losesAnswer ? this.#mode : LinkMode.Pass;
      reset(pair);
      return;
    }
    if (!this.#isSilent(pair) && this.#mode !== LinkMode.NoAnswers) {
      this.#later(() => pair.client.write(bytes));
    }
  }

  #isSilent(pair: IPair): boolean {
    return pair.isSilenced || this.#mode === LinkMode.Silent;
  }

  #later(send: () => void): void {
    if (this.#delay === 0) {
      send();
    } else {
      setTimeout(send, this.#delay);
    }
  }

  #closed(pair: IPair): void {
    this.#pairs.delete(pair);
    if (!this.#isSilent(pair)) {
      reset(pair);
    }
  }
}

/** Resets both sides, but for a target that a held request is yet to reach. */
function reset(pair: IPair): void {
  pair.client.resetAndDestroy();
  if (!pair.held?.isHolding) {
    pair.target.resetAndDestroy();
  }
}
