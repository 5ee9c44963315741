/** Stand-in for the platform's object API and instance list. */
import type { IPlatformObject } from "../../common/services/services.ts";
import type { IInstance } from "../../common/types.ts";
import { JsonServer, okAnswer, errorAnswer } from "../shared/json_server.ts";
import type { IJsonAnswer, IJsonRequest } from "../shared/json_server.ts";
import { MAXIMUM_VALUE_BYTES, ObjectStore } from "./object_store.ts";
import type { WriteResult } from "./object_store.ts";
import { PlatformFaults } from "./platform_faults.ts";
import type { IFaultControl } from "./platform_faults.ts";

const STATUS_NOT_MODIFIED = 304;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 412;
const STATUS_TOO_LARGE = 413;
const STATUS_TOO_MANY = 429;
/** Longest time that a watch waits for a change, milliseconds. */
const MAXIMUM_WATCH = 60_000;

/** Number of calls received, by method, path and kind of object. */
export type CallCounts = Readonly<Record<string, number>>;

export interface IObjectApiOptions {
  /** Milliseconds until a change appears in the instance list. */
  readonly instanceLag: number;
}

/** Serves an {@link ObjectStore} and an instance list that lags behind. */
export class ObjectApiServer {
  readonly #options: IObjectApiOptions;
  readonly #store = new ObjectStore();
  readonly #instances = new Map<string, IInstance>();
  #publishedInstances: readonly IInstance[] = [];
  #publishedVersion = 0;
  readonly #counts = new Map<string, number>();
  readonly #faults = new PlatformFaults();
  readonly #server = new JsonServer((request) => this.#handle(request));

  constructor(options: IObjectApiOptions) {
    this.#options = options;
  }

  listen(address: string): Promise<string> {
    return this.#server.listen(address);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#server[Symbol.asyncDispose]();
  }

  #handle(request: IJsonRequest): Promise<IJsonAnswer> | IJsonAnswer | null {
    const [area, kind = ""] = request.parts;
    switch (area) {
      case "objects":
      case "watch":
        return this.#handleObjectCall(request, kind);
      case "instances":
        this.#count(`${request.method} instances`, 1);
        return this.#handleInstanceCall(request, kind);
      case "counts":
        return okAnswer(Object.fromEntries(this.#counts));
      case "control":
        return this.#handleControl(request.body as IFaultControl);
      default:
        return errorAnswer(STATUS_NOT_FOUND, "no such path");
    }
  }

  #handleControl(control: IFaultControl): IJsonAnswer {
    this.#faults.apply(control);
    if (control.restore !== undefined) {
      this.#store.restore(control.restore);
    }
    return okAnswer({ version: this.#store.version });
  }

  async #handleObjectCall(
    request: IJsonRequest,
    kind: string,
  ): Promise<IJsonAnswer> {
    const [area, , name] = request.parts;
    this.#count(`${request.method} ${area} ${kind}`, 1);
    if (this.#faults.isOverRate(Date.now())) {
      return errorAnswer(STATUS_TOO_MANY, "too many calls");
    }
    await this.#faults.waitDelay();
    if (area === "watch") {
      return this.#watch(request, kind);
    }
    return name === undefined
      ? this.#list(kind)
      : this.#handleObject(request, kind, name);
  }

  #list(kind: string): IJsonAnswer {
    const asOf = this.#faults.staleVersion(kind);
    const objects = this.#store.changedAfter(kind, -1, asOf);
    return okAnswer({ version: asOf ?? this.#store.version, objects });
  }

  #handleObject(
    request: IJsonRequest,
    kind: string,
    name: string,
  ): IJsonAnswer {
    const expected = expectedVersion(request);
    switch (request.method) {
      case "GET": {
        const asOf = this.#faults.staleVersion(kind);
        const object = this.#store.read(kind, name, asOf);
        return object
          ? okAnswer(object)
          : errorAnswer(STATUS_NOT_FOUND, "no such object");
      }
      case "PUT": {
        const value = request.body;
        if (JSON.stringify(value).length > MAXIMUM_VALUE_BYTES) {
          return errorAnswer(STATUS_TOO_LARGE, "value too large");
        }
        return writeAnswer(this.#store.write({ kind, name, value }, expected));
      }
      case "DELETE":
        return writeAnswer(this.#store.remove(kind, name, expected ?? -1));
      default:
        return errorAnswer(STATUS_NOT_FOUND, "no such method");
    }
  }

  async #watch(request: IJsonRequest, kind: string): Promise<IJsonAnswer> {
    this.#count(`waiting ${kind}`, 1);
    const changed = await this.#waitForChange(request, kind);
    this.#count(`waiting ${kind}`, -1);
    return changed;
  }

  async #waitForChange(
    request: IJsonRequest,
    kind: string,
  ): Promise<IJsonAnswer> {
    const after = Number(request.query.get("after") ?? 0);
    const timeout = Number(request.query.get("timeout_ms") ?? 0);
    const deadline = Date.now() + Math.min(timeout, MAXIMUM_WATCH);
    let objects = this.#changes(kind, after);
    while (objects.length === 0 && Date.now() < deadline) {
      await this.#store.waitForWrite(deadline - Date.now());
      objects = this.#changes(kind, after);
    }
    const version = Math.max(after, ...objects.map((object) => object.version));
    return okAnswer({ version, objects });
  }

  /** Changes after a version; late events append each object's older state. */
  #changes(kind: string, after: number): readonly IPlatformObject[] {
    const asOf = this.#faults.staleVersion(kind);
    const objects = this.#store.changedAfter(kind, after, asOf);
    if (!this.#faults.sendsLateEvents(kind)) {
      return objects;
    }
    const late = objects.flatMap(({ name }) => {
      const previous = this.#store.stateBeforeLastChange(kind, name);
      return previous ? [previous] : [];
    });
    return [...objects, ...late];
  }

  /** Answers with the instance list, or with 304 if the caller has it. */
  #handleInstanceCall(request: IJsonRequest, id: string): IJsonAnswer | null {
    if (request.method === "PUT") {
      this.#instances.set(id, request.body as IInstance);
      this.#schedulePublication();
    } else if (request.method === "DELETE") {
      this.#instances.delete(id);
      this.#schedulePublication();
    }
    const etag = `"${this.#publishedVersion}"`;
    request.response.setHeader("etag", etag);
    if (request.headers["if-none-match"] === etag) {
      request.response.writeHead(STATUS_NOT_MODIFIED).end();
      return null;
    }
    return okAnswer({ instances: this.#publishedInstances });
  }

  #schedulePublication(): void {
    const instances = [...this.#instances.values()];
    setTimeout(() => {
      this.#publishedInstances = instances;
      this.#publishedVersion += 1;
    }, this.#options.instanceLag);
  }

  #count(key: string, amount: number): void {
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + amount);
  }
}

function expectedVersion(request: IJsonRequest): number | null {
  const match = request.headers["if-match"];
  return match === undefined ? null : Number(match);
}

function writeAnswer(result: WriteResult): IJsonAnswer {
  const { version } = result;
  const status = result.kind === "written" ? 200 : STATUS_CONFLICT;
  return { status, body: { version } };
}
