/** A TCP proxy that brings about the failures of a network. */
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { listenOn, splitAddress } from "../../adapters/listen.ts";

/** What happens to the bytes of a link. */
export enum LinkMode {
  Pass = "pass",
  /** Open connections are reset and new ones refused. */
  Cut = "cut",
  /** Connections are accepted, and nothing passes any more. */
  Silent = "silent",
  /** Open connections go silent for good; new ones pass. */
  SilentExisting = "silent_old",
  /** Requests pass; answers do not. */
  DropAnswers = "no_answers",
  /** Answers pass; requests do not. */
  DropRequests = "no_requests",
  /** The next answer is lost: its connection is reset in its place. */
  LoseAnswer = "lose_answer",
}

/** What happens to the next request that matches. */
export enum RequestFault {
  /** It is kept back, with its connection, until released. */
  Hold = "hold",
  /** It passes; its connection is reset in place of the answer. */
  LoseAnswer = "lose_answer",
}

interface IPendingFault {
  /** Text of the request, such as `POST /orders`. */
  readonly text: string;
  readonly fault: RequestFault;
}

interface IProxiedConnection {
  readonly client: Socket;
  readonly target: Socket;
  isSilenced: boolean;
  /** Bytes kept back; null while the connection is not held. */
  held: Buffer[] | null;
  losesAnswer: boolean;
}

/** One link: listens on a port of its own and passes on to one target. */
export class FaultProxy {
  #target: string;
  readonly #server: Server;
  readonly #connections = new Set<IProxiedConnection>();
  #mode = LinkMode.Pass;
  #delay = 0;
  #pendingFault: IPendingFault | null = null;

  /** @param target - `host:port` that connections are passed on to */
  constructor(target: string) {
    this.#target = target;
    this.#server = createServer({ allowHalfOpen: true }, (client) =>
      this.#accept(client),
    );
  }

  /** Passes new connections on to another address. */
  setTarget(target: string): void {
    this.#target = target;
  }

  listen(address: string): Promise<string> {
    return listenOn(this.#server, address);
  }

  /** @param delay - milliseconds added in each direction */
  setMode(mode: LinkMode, delay = 0): void {
    this.#delay = delay;
    this.#mode = mode;
    if (mode === LinkMode.SilentExisting) {
      this.#connections.forEach((pair) => {
        pair.isSilenced = true;
      });
      this.#mode = LinkMode.Pass;
    }
    if (mode === LinkMode.Cut) {
      this.#connections.forEach(reset);
    }
  }

  /** Brings a fault about at the next request that contains a text. */
  failNext(text: string, fault: RequestFault): void {
    this.#pendingFault = { text, fault };
  }

  /** Takes back a fault that has not come about yet. */
  clearPendingFault(): void {
    this.#pendingFault = null;
  }

  /** Whether a fault asked for has not come about yet. */
  get hasPendingFault(): boolean {
    return this.#pendingFault !== null;
  }

  /** Passes on what was kept back, late as it is; its answer may be lost. */
  releaseHeld(options: { readonly losesAnswer?: boolean } = {}): void {
    for (const pair of this.#connections) {
      if (pair.held !== null) {
        pair.held.forEach((bytes) => pair.target.write(bytes));
        pair.held = null;
        pair.losesAnswer = options.losesAnswer ?? false;
      }
    }
  }

  /** Connections open through this link. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#connections.forEach(reset);
    this.#server.close();
  }

  #accept(client: Socket): void {
    if (this.#mode === LinkMode.Cut) {
      client.resetAndDestroy();
      return;
    }
    const { host, port } = splitAddress(this.#target);
    const target = connect({ host, port, allowHalfOpen: true });
    const pair: IProxiedConnection = {
      client,
      target,
      isSilenced: false,
      held: null,
      losesAnswer: false,
    };
    this.#connections.add(pair);
    client.on("data", (bytes) => this.#forwardToTarget(pair, bytes));
    target.on("data", (bytes) => this.#forwardToClient(pair, bytes));
    client.on("end", () => {
      if (pair.held === null && !this.#isSilent(pair)) {
        target.end();
      }
    });
    target.on("end", () => {
      if (!this.#isSilent(pair)) {
        client.end();
      }
    });
    for (const socket of [client, target]) {
      socket.on("error", () => this.#handleClose(pair));
      socket.on("close", () => this.#handleClose(pair));
    }
  }

  #forwardToTarget(pair: IProxiedConnection, bytes: Buffer): void {
    this.#triggerFault(pair, bytes);
    if (pair.held !== null) {
      pair.held.push(bytes);
      return;
    }
    if (!this.#isSilent(pair) && this.#mode !== LinkMode.DropRequests) {
      this.#sendDelayed(() => pair.target.write(bytes));
    }
  }

  #triggerFault(pair: IProxiedConnection, bytes: Buffer): void {
    const next = this.#pendingFault;
    if (next === null || !bytes.includes(next.text)) {
      return;
    }
    this.#pendingFault = null;
    if (next.fault === RequestFault.Hold) {
      pair.held = [];
    } else {
      pair.losesAnswer = true;
    }
  }

  #forwardToClient(pair: IProxiedConnection, bytes: Buffer): void {
    if (pair.losesAnswer) {
      reset(pair);
      return;
    }
    if (this.#mode === LinkMode.LoseAnswer) {
      this.#mode = LinkMode.Pass;
      reset(pair);
      return;
    }
    if (!this.#isSilent(pair) && this.#mode !== LinkMode.DropAnswers) {
      this.#sendDelayed(() => pair.client.write(bytes));
    }
  }

  #isSilent(pair: IProxiedConnection): boolean {
    return pair.isSilenced || this.#mode === LinkMode.Silent;
  }

  #sendDelayed(send: () => void): void {
    if (this.#delay === 0) {
      send();
    } else {
      setTimeout(send, this.#delay);
    }
  }

  #handleClose(pair: IProxiedConnection): void {
    if (pair.held !== null) {
      return;
    }
    this.#connections.delete(pair);
    if (!this.#isSilent(pair)) {
      reset(pair);
    }
  }
}

function reset(pair: IProxiedConnection): void {
  pair.client.resetAndDestroy();
  pair.target.resetAndDestroy();
}
