/** The connections of callers to one server, and what arrives on them. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ProcessLimit } from "../../common/calls/limit_recorder.ts";
import type { LimitRecorder } from "../../common/calls/limit_recorder.ts";
import type { RequestMemory } from "../../common/calls/request_memory.ts";
import { ConnectionInput } from "./connection_input.ts";
import { InputSchedule } from "./input_schedule.ts";

/** Dependencies of {@link CallerConnections}. */
export interface ICallerConnectionParts {
  readonly server: Server;
  /** Event of the server with each connection that it parses. */
  readonly event: "connection" | "secureConnection";
  readonly memory: RequestMemory;
  readonly limits: LimitRecorder;
}

/** Owns the connections of callers. */
export class CallerConnections implements Disposable {
  readonly #parts: ICallerConnectionParts;
  readonly #schedule = new InputSchedule();
  readonly #inputs = new Map<Socket, ConnectionInput>();

  constructor(parts: ICallerConnectionParts) {
    this.#parts = parts;
    parts.server.on(parts.event, (socket: Socket) => this.#add(socket));
  }

  /** Counts a request whose head was parsed. */
  recordRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#inputs.get(request.socket)?.recordRequest(request, response);
  }

  /** Closes all connections. */
  [Symbol.dispose](): void {
    for (const socket of this.#inputs.keys()) {
      socket.destroy();
    }
  }

  #add(socket: Socket): void {
    const { memory, limits } = this.#parts;
    const share = memory.createShare(() => socket.destroy());
    const input = new ConnectionInput(socket, {
      schedule: this.#schedule,
      onSizeChanged: (bytes) => {
        if (!share.resize(bytes) && !socket.destroyed) {
          limits.record(ProcessLimit.RequestMemory);
          socket.destroy();
        }
      },
    });
    this.#inputs.set(socket, input);
    socket.once("close", () => {
      this.#inputs.delete(socket);
      share.dispose();
    });
  }
}
