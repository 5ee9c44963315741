/** A TCP proxy that injects network failures. */
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { listenOn, splitAddress } from "../../adapters/listen.ts";
import { PacedWriter } from "./paced_writer.ts";

/** What a link does with connections and their bytes. */
export enum LinkMode {
  Pass = "pass",
  /** Resets open connections and every new one. */
  Cut = "cut",
  /** Resets open connections and refuses every new one. */
  Refuse = "refuse",
  /** Accepts connections and forwards nothing. */
  Silent = "silent",
  /** Silences the open connections for good; new ones pass. */
  SilentExisting = "silent_old",
  /** Forwards requests but no answers. */
  DropAnswers = "no_answers",
  /** Forwards answers but no requests. */
  DropRequests = "no_requests",
  /** Resets the connection of the next answer instead of forwarding it. */
  LoseAnswer = "lose_answer",
  /** Ends the connection within each answer; see {@link FaultProxy.stopAnswersAt}. */
  StopAnswers = "stop_answers",
}

/** What happens to the next matching request. */
export enum RequestFault {
  /** Holds the request and its connection until released. */
  Hold = "hold",
  /** Forwards the request and resets its connection at the answer. */
  LoseAnswer = "lose_answer",
}

interface IPendingFault {
  /** Text that the request contains, such as `POST /orders`. */
  readonly text: string;
  readonly fault: RequestFault;
}

interface IProxiedConnection {
  readonly client: Socket;
  readonly target: Socket;
  readonly toClient: PacedWriter;
  readonly toTarget: PacedWriter;
  isSilenced: boolean;
  /** Bytes held back; null while the connection is not held. */
  held: Buffer[] | null;
  losesAnswer: boolean;
  /** Bytes forwarded of the answer to the last request. */
  answered: number;
}

/** One link: listens on its own port and forwards to one target. */
export class FaultProxy {
  #target: string;
  readonly #server: Server;
  readonly #connections = new Set<IProxiedConnection>();
  #mode = LinkMode.Pass;
  #delay = 0;
  /** Bytes of an answer that are forwarded before its connection ends. */
  #answerLength = 0;
  #pendingFault: IPendingFault | null = null;
  /** Where it listens; empty before. */
  #address = "";

  /** @param target - `host:port` that connections are forwarded to */
  constructor(target: string) {
    this.#target = target;
    this.#server = createServer({ allowHalfOpen: true }, (client) =>
      this.#accept(client),
    );
  }

  /** Forwards new connections to another address. */
  setTarget(target: string): void {
    this.#target = target;
  }

  async listen(address: string): Promise<string> {
    this.#address = await listenOn(this.#server, address);
    return this.#address;
  }

  /** @param delay - milliseconds added in each direction */
  setMode(mode: LinkMode, delay = 0): void {
    this.#delay = delay;
    this.#mode = mode;
    if (mode === LinkMode.SilentExisting) {
      this.#connections.forEach((connection) => {
        connection.isSilenced = true;
      });
      this.#mode = LinkMode.Pass;
    }
    if (mode === LinkMode.Cut || mode === LinkMode.Refuse) {
      this.#connections.forEach(reset);
    }
    this.#listenUnlessRefusing();
  }

  #listenUnlessRefusing(): void {
    const isRefusing = this.#mode === LinkMode.Refuse;
    if (isRefusing && this.#server.listening) {
      this.#server.close();
    } else if (!isRefusing && !this.#server.listening && this.#address) {
      const { host, port } = splitAddress(this.#address);
      this.#server.listen(port, host);
    }
  }

  /** Ends connections after so many bytes of an answer, as a target may. */
  stopAnswersAt(bytes: number): void {
    this.#answerLength = bytes;
    this.setMode(LinkMode.StopAnswers);
  }

  /** Injects a fault at the next request that contains a text. */
  failNext(text: string, fault: RequestFault): void {
    this.#pendingFault = { text, fault };
  }

  /** Removes a fault that has not occurred yet. */
  clearPendingFault(): void {
    this.#pendingFault = null;
  }

  /** Whether a fault is set that has not occurred yet. */
  get hasPendingFault(): boolean {
    return this.#pendingFault !== null;
  }

  /** Forwards held bytes even if their client is gone; may lose the answer. */
  releaseHeld(options: { readonly losesAnswer?: boolean } = {}): void {
    for (const connection of this.#connections) {
      if (connection.held !== null) {
        connection.held.forEach((bytes) => connection.toTarget.write(bytes));
        connection.held = null;
        connection.losesAnswer = options.losesAnswer ?? false;
      }
    }
  }

  /** Number of connections open through this link. */
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
    const connection: IProxiedConnection = {
      client,
      target,
      toClient: new PacedWriter(target, client),
      toTarget: new PacedWriter(client, target),
      isSilenced: false,
      held: null,
      losesAnswer: false,
      answered: 0,
    };
    this.#connections.add(connection);
    client.on("data", (bytes) => this.#forwardToTarget(connection, bytes));
    target.on("data", (bytes) => this.#forwardToClient(connection, bytes));
    client.on("end", () => {
      if (connection.held === null && !this.#isSilent(connection)) {
        target.end();
      }
    });
    target.on("end", () => {
      if (!this.#isSilent(connection)) {
        client.end();
      }
    });
    for (const socket of [client, target]) {
      socket.on("error", () => this.#handleClose(connection));
      socket.on("close", () => this.#handleClose(connection));
    }
  }

  #forwardToTarget(connection: IProxiedConnection, bytes: Buffer): void {
    this.#triggerFault(connection, bytes);
    connection.answered = 0;
    if (connection.held !== null) {
      connection.held.push(bytes);
      return;
    }
    if (!this.#isSilent(connection) && this.#mode !== LinkMode.DropRequests) {
      connection.toTarget.write(bytes, this.#delay);
    }
  }

  #triggerFault(connection: IProxiedConnection, bytes: Buffer): void {
    const pending = this.#pendingFault;
    if (pending === null || !bytes.includes(pending.text)) {
      return;
    }
    this.#pendingFault = null;
    if (pending.fault === RequestFault.Hold) {
      connection.held = [];
    } else {
      connection.losesAnswer = true;
    }
  }

  #forwardToClient(connection: IProxiedConnection, bytes: Buffer): void {
    if (connection.losesAnswer) {
      reset(connection);
      return;
    }
    if (this.#mode === LinkMode.LoseAnswer) {
      this.#mode = LinkMode.Pass;
      reset(connection);
      return;
    }
    if (this.#mode === LinkMode.StopAnswers) {
      this.#forwardStart(connection, bytes);
    } else if (
      !this.#isSilent(connection) &&
      this.#mode !== LinkMode.DropAnswers
    ) {
      connection.toClient.write(bytes, this.#delay);
    }
  }

  #forwardStart(connection: IProxiedConnection, bytes: Buffer): void {
    const left = Math.max(0, this.#answerLength - connection.answered);
    connection.answered += bytes.length;
    connection.toClient.write(bytes.subarray(0, left));
    if (bytes.length >= left) {
      connection.client.end();
    }
  }

  #isSilent(connection: IProxiedConnection): boolean {
    return connection.isSilenced || this.#mode === LinkMode.Silent;
  }

  #handleClose(connection: IProxiedConnection): void {
    if (connection.held !== null) {
      return;
    }
    this.#connections.delete(connection);
    if (!this.#isSilent(connection)) {
      reset(connection);
    }
  }
}

function reset(connection: IProxiedConnection): void {
  connection.client.resetAndDestroy();
  connection.target.resetAndDestroy();
}
