/** A target of a plain service that speaks the users' platform's protocol. */
import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import { performance } from "node:perf_hooks";
import { listenOn } from "../../src/adapters/listen.ts";
import { fieldsOf } from "./broken_answers.ts";
import type { RawAnswer } from "./broken_answers.ts";
import type { IArrival } from "./leaving_callers.ts";
import { writePieces } from "./endless_pieces.ts";
import type { IEndlessAnswer } from "./endless_pieces.ts";
import { writeWithoutEnd } from "./endless_writer.ts";
import type { PlatformStore } from "./platform_store.ts";

/** Milliseconds from a crash to the next start. */
const RESTART_TIME = 700;

/** Where an answer has no end. */
export enum EndlessPart {
  Head = "head",
  Body = "body",
}

/** Answers each request, by default at once, and records those that it ran. */
export class PlatformPlainTarget {
  id: string;
  address = "";
  /** Ids of the attempts that it ran. */
  readonly runs: string[] = [];
  /** The same attempts, and when they arrived. */
  readonly timedArrivals: IArrival[] = [];
  /** The part of its answers that has no end; null if all have one. */
  endless: EndlessPart | null = null;
  /** What it writes in place of an answer; null for nothing. */
  pieces: IEndlessAnswer | null = null;
  /** Writes what it answers, raw on the connection; null for usual answers. */
  answerRaw: RawAnswer | null = null;
  /** What each answer says. */
  answer = "done";
  /** Bytes of each chunk in which it is written; null for a single one. */
  pieceLength: number | null = null;
  /** Milliseconds that a request runs. */
  runTime = 0;
  /** Path of requests that crash it; null for none. */
  crashingPath: string | null = null;
  /** When it crashed, and when such requests arrived, milliseconds. */
  readonly crashes: number[] = [];
  readonly crashingArrivals: number[] = [];
  readonly #service: string;
  #server: Server;
  #store: PlatformStore | null = null;
  #starts = 0;
  #restart: NodeJS.Timeout | undefined;

  constructor(id: string, service: string) {
    this.id = id;
    this.#service = service;
    this.#server = this.#createServer();
  }

  #createServer(): Server {
    return createServer((request, response) => {
      const attempt = request.headers["x-attempt-id"];
      if (this.answerRaw !== null && attempt !== undefined) {
        this.answerRaw(request.socket, fieldsOf(String(attempt), this.id));
        return;
      }
      request.resume();
      if (attempt === undefined) {
        response.writeHead(400, { "x-not-executed": "1" }).end();
        return;
      }
      const id = String(attempt);
      this.runs.push(id);
      this.timedArrivals.push({ id, at: performance.now() });
      if (request.url === this.crashingPath) {
        this.crashingArrivals.push(performance.now());
        this.#crash();
        return;
      }
      if (this.endless === EndlessPart.Head && request.socket !== null) {
        request.socket.write("HTTP/1.1 200 OK\r\nx-filler: ");
        writeWithoutEnd(request.socket);
        return;
      }
      if (this.pieces !== null && request.socket !== null) {
        writePieces(request.socket, this.pieces, [
          `x-attempt-id: ${id}`,
          `x-response-stamp: ${this.id}`,
        ]);
        return;
      }
      setTimeout(() => {
        response.writeHead(200, {
          "x-attempt-id": String(attempt),
          "x-response-stamp": this.id,
        });
        if (this.endless === EndlessPart.Body) {
          writeWithoutEnd(response);
        } else {
          this.#writeAnswer(response);
        }
      }, this.runTime);
    });
  }

  #writeAnswer(response: ServerResponse): void {
    const length = this.pieceLength ?? this.answer.length;
    for (let start = length; start < this.answer.length; start += length) {
      response.write(this.answer.slice(start - length, start));
    }
    response.end(this.answer.slice(-length));
  }

  /** Ends; it is back after a while under another id. */
  #crash(): void {
    this.crashes.push(performance.now());
    this.#server.closeAllConnections();
    this.#server.close();
    this.#restart = setTimeout(() => {
      const store = this.#store;
      if (store !== null) {
        store.remove("servers", this.id);
        this.id = `${this.id.split("/")[0]}/${this.#starts}`;
        this.#server = this.#createServer();
        void this.listen(store, this.address);
      }
    }, RESTART_TIME);
  }

  async listen(store: PlatformStore, address = "127.0.0.1:0"): Promise<void> {
    this.#store = store;
    this.#starts += 1;
    this.address = await listenOn(this.#server, address);
    store.put("servers", this.id, {
      service: this.#service,
      address: this.address,
      zone: "north-a",
      version: "v1",
      slots: 6,
      state: "ready",
      born: 1,
      seqNo: 1,
    });
  }

  /** Its entry is removed, and it serves on. */
  leaveUnannounced(): void {
    this.#store?.remove("servers", this.id);
    this.#store = null;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this.#restart);
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}
