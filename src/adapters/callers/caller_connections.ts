/**
 * The connections of callers to one server. Their number is bounded, so that
 * descriptors are left for targets; a new connection takes the place of one
 * that serves no call, since callers may open any number of them and send
 * nothing.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ProcessLimit } from "../../common/calls/limit_recorder.ts";
import type { LimitRecorder } from "../../common/calls/limit_recorder.ts";
import type { RequestMemory } from "../../common/calls/request_memory.ts";
import { ConnectionInput } from "./connection_input.ts";
import { InputSchedule } from "../input_schedule.ts";

/** Milliseconds between two looks for answers that are not read. */
const UNREAD_CHECK_PERIOD = 1_000;

/** Dependencies of {@link CallerConnections}. */
export interface ICallerConnectionParts {
  readonly server: Server;
  /** Event of the server with each connection that it parses. */
  readonly event: "connection" | "secureConnection";
  /** Connections that may be open at once. */
  readonly maximum: number;
  readonly memory: RequestMemory;
  readonly limits: LimitRecorder;
  /** How long a caller may read nothing of an answer, milliseconds. */
  readonly unreadTimeout: () => number;
}

/** One connection. */
interface IConnection {
  readonly socket: Socket;
  readonly input: ConnectionInput;
  /** Calls that are being served. */
  calls: number;
  /** Bytes that the system had taken when that last changed. */
  written: number;
  /** When that was, milliseconds. */
  writtenAt: number;
}

/** Owns the connections of callers. */
export class CallerConnections implements Disposable {
  readonly #parts: ICallerConnectionParts;
  readonly #schedule = new InputSchedule();
  readonly #bySocket = new Map<Socket, IConnection>();
  /** Have begun a TLS handshake, by address and port; the oldest first. */
  readonly #handshakes = new Map<string, Socket>();
  /** Have had no call yet; the oldest first. */
  readonly #unused = new Set<IConnection>();
  /** Have no call at present; the longest idle first. */
  readonly #idle = new Set<IConnection>();
  readonly #timer: NodeJS.Timeout;

  constructor(parts: ICallerConnectionParts) {
    this.#parts = parts;
    parts.server.on(parts.event, (socket: Socket) => this.#add(socket));
    if (parts.event === "secureConnection") {
      parts.server.on("connection", (socket) => this.#addHandshake(socket));
    }
    this.#timer = setInterval(() => this.#closeUnread(), UNREAD_CHECK_PERIOD);
    this.#timer.unref();
  }

  get size(): number {
    return this.#bySocket.size + this.#handshakes.size;
  }

  /** Counts a request whose head was parsed. */
  recordRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#bySocket.get(request.socket);
    connection?.input.recordRequest(request, response);
  }

  /** From now on the connection is kept until its call has ended. */
  recordCall(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#bySocket.get(request.socket);
    if (connection === undefined) {
      return;
    }
    connection.calls += 1;
    this.#unused.delete(connection);
    this.#idle.delete(connection);
    response.once("close", () => {
      connection.calls -= 1;
      if (connection.calls === 0 && this.#bySocket.has(connection.socket)) {
        this.#idle.add(connection);
      }
    });
  }

  /** Closes all connections. */
  [Symbol.dispose](): void {
    clearInterval(this.#timer);
    const handshakes = this.#handshakes.values();
    for (const socket of [...this.#bySocket.keys(), ...handshakes]) {
      socket.destroy();
    }
  }

  #addHandshake(socket: Socket): void {
    this.#makeRoomFor(socket);
    if (!socket.destroyed) {
      const key = endpointOf(socket);
      this.#handshakes.set(key, socket);
      socket.once("close", () => this.#handshakes.delete(key));
    }
  }

  #add(socket: Socket): void {
    this.#handshakes.delete(endpointOf(socket));
    this.#makeRoomFor(socket);
    if (socket.destroyed) {
      return;
    }
    const connection = {
      socket,
      input: this.#createInput(socket),
      calls: 0,
      written: 0,
      writtenAt: performance.now(),
    };
    this.#bySocket.set(socket, connection);
    this.#unused.add(connection);
    socket.once("close", () => this.#forget(connection));
  }

  #createInput(socket: Socket): ConnectionInput {
    const { memory, limits } = this.#parts;
    const share = memory.createShare(() => socket.destroy());
    socket.once("close", () => share.dispose());
    return new ConnectionInput(socket, {
      schedule: this.#schedule,
      onSizeChanged: (bytes) => {
        if (!share.resize(bytes) && !socket.destroyed) {
          limits.record(ProcessLimit.RequestMemory);
          socket.destroy();
        }
      },
    });
  }

  /** Closes one that serves no call, or else the new one. */
  #makeRoomFor(socket: Socket): void {
    if (this.size < this.#parts.maximum) {
      return;
    }
    this.#parts.limits.record(ProcessLimit.Connections);
    const [[endpoint, handshake] = []] = this.#handshakes;
    const [unused] = this.#unused;
    const [idle] = this.#idle;
    if (endpoint !== undefined && handshake !== undefined) {
      this.#handshakes.delete(endpoint);
      handshake.destroy();
      return;
    }
    const closed = unused ?? idle;
    if (closed !== undefined) {
      this.#forget(closed);
    }
    (closed?.socket ?? socket).destroy();
  }

  #forget(connection: IConnection): void {
    this.#bySocket.delete(connection.socket);
    this.#unused.delete(connection);
    this.#idle.delete(connection);
  }

  /** Closes the connections of callers that do not read their answers. */
  #closeUnread(): void {
    const now = performance.now();
    const timeout = this.#parts.unreadTimeout();
    for (const connection of this.#bySocket.values()) {
      const { socket } = connection;
      const written = socket.bytesWritten - socket.writableLength;
      if (socket.writableLength === 0 || written !== connection.written) {
        connection.written = written;
        connection.writtenAt = now;
      } else if (now - connection.writtenAt >= timeout) {
        this.#parts.limits.record(ProcessLimit.UnreadAnswers);
        socket.destroy();
      }
    }
  }
}

function endpointOf({ remoteAddress, remotePort }: Socket): string {
  return `${remoteAddress} ${remotePort}`;
}
