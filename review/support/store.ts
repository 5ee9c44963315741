/**
 * The platform's store, by PROTOCOL.md: objects with revisions, conditional
 * writes, lists and watches. Each process has an address of its own, so that
 * single processes can meet trouble while the store serves the others.
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { listen, readJson, sendJson } from "./http.ts";

/** Milliseconds of history that watches can start from. */
const HISTORY_TIME = 20_000;

/** Objects in one page of a list. */
const PAGE_SIZE = 500;

interface IStoredObject {
  readonly metadata: {
    readonly name: string;
    readonly revision: number;
    readonly created: number;
    readonly finalizers: readonly string[];
    readonly deleting: boolean;
  };
  readonly spec: unknown;
  readonly status: unknown;
}

interface IStoreEvent {
  readonly kind: string;
  readonly at: number;
  readonly revision: number;
  readonly object: IStoredObject;
  readonly removed: boolean;
}

interface IWaitingWatch {
  readonly address: string;
  readonly kind: string;
  readonly response: ServerResponse;
  readonly wake: () => void;
}

/** An in-memory store. */
export class Store {
  readonly #servers: Server[] = [];
  readonly #objects = new Map<string, IStoredObject>();
  #events: IStoreEvent[] = [];
  readonly #watches = new Set<IWaitingWatch>();
  #revision = 1;
  /** Revision of the newest change that the history has lost. */
  #forgotten = 0;

  /** Opens one more address of the store. */
  async open(): Promise<string> {
    let address = "";
    const server = createServer((request, response) => {
      void this.#handle(address, request, response);
    });
    this.#servers.push(server);
    address = await listen(server);
    return address;
  }

  /** Writes an object without a condition, as targets and operators do. */
  put(kind: string, name: string, spec: unknown): number {
    const known = this.#objects.get(`${kind}/${name}`);
    if (JSON.stringify(known?.spec) === JSON.stringify(spec)) {
      return known?.metadata.revision ?? 0;
    }
    this.#revision += 1;
    const metadata = {
      name,
      revision: this.#revision,
      created: known?.metadata.created ?? this.#revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, spec, status: null };
    this.#objects.set(`${kind}/${name}`, object);
    this.#publish({ kind, object, removed: false });
    return this.#revision;
  }

  remove(kind: string, name: string): void {
    const object = this.#objects.get(`${kind}/${name}`);
    if (object !== undefined) {
      this.#objects.delete(`${kind}/${name}`);
      this.#revision += 1;
      this.#publish({ kind, object, removed: true });
    }
  }

  specOf(kind: string, name: string): unknown {
    return this.#objects.get(`${kind}/${name}`)?.spec;
  }

  /** Cuts off the watches of a kind that wait at one address. */
  cutWatches(address: string, kind: string): number {
    const cut = [...this.#watches].filter(
      (watch) => watch.address === address && watch.kind === kind,
    );
    for (const watch of cut) {
      this.#watches.delete(watch);
      watch.response.socket?.destroy();
      watch.wake();
    }
    return cut.length;
  }

  close(): void {
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
    this.#watches.forEach(({ wake }) => wake());
  }

  #publish(change: Pick<IStoreEvent, "kind" | "object" | "removed">): void {
    const now = performance.now();
    this.#events.push({ ...change, at: now, revision: this.#revision });
    const old = this.#events.filter(({ at }) => now - at > HISTORY_TIME);
    this.#forgotten = old.at(-1)?.revision ?? this.#forgotten;
    this.#events = this.#events.slice(old.length);
    [...this.#watches]
      .filter(({ kind }) => kind === change.kind)
      .forEach(({ wake }) => wake());
  }

  async #handle(
    address: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    const [, , kind = "", encoded] = url.pathname.split("/");
    const name = encoded === undefined ? null : decodeURIComponent(encoded);
    if (request.method === "POST" || request.method === "PUT") {
      const body = (await readJson(request)) as {
        readonly metadata: { readonly name: string; readonly revision: number };
        readonly spec: unknown;
      };
      this.#write(response, kind, { isNew: request.method === "POST", body });
    } else if (name !== null) {
      const object = this.#objects.get(`${kind}/${name}`);
      sendJson(response, object ? 200 : 404, object ?? {});
    } else if (url.searchParams.has("watch")) {
      await this.#watch(address, kind, { query: url.searchParams, response });
    } else {
      this.#list(response, kind, url.searchParams.get("after") ?? "");
    }
  }

  #write(
    response: ServerResponse,
    kind: string,
    write: {
      readonly isNew: boolean;
      readonly body: {
        readonly metadata: { readonly name: string; readonly revision: number };
        readonly spec: unknown;
      };
    },
  ): void {
    const { metadata, spec } = write.body;
    const known = this.#objects.get(`${kind}/${metadata.name}`);
    if (known === undefined && !write.isNew) {
      sendJson(response, 404, {});
      return;
    }
    const isConflict = write.isNew
      ? known !== undefined
      : metadata.revision !== undefined &&
        metadata.revision !== known?.metadata.revision;
    if (isConflict) {
      sendJson(response, 409, known ?? {});
      return;
    }
    this.put(kind, metadata.name, spec);
    const written = this.#objects.get(`${kind}/${metadata.name}`);
    sendJson(response, write.isNew ? 201 : 200, written ?? {});
  }

  #list(response: ServerResponse, kind: string, after: string): void {
    const prefix = `${kind}/`;
    const names = [...this.#objects.keys()]
      .filter((key) => key.startsWith(prefix))
      .map((key) => key.slice(prefix.length))
      .filter((name) => name > after)
      .sort();
    const items = names
      .slice(0, PAGE_SIZE)
      .map((name) => this.#objects.get(prefix + name));
    const truncated = names.length > PAGE_SIZE;
    sendJson(response, 200, { items, truncated, asOf: this.#revision });
  }

  async #watch(
    address: string,
    kind: string,
    {
      query,
      response,
    }: { readonly query: URLSearchParams; readonly response: ServerResponse },
  ): Promise<void> {
    const after = Number(query.get("watch"));
    if (after < this.#forgotten) {
      sendJson(response, 410, {});
      return;
    }
    const newer = () =>
      this.#events.filter((one) => one.kind === kind && one.revision > after);
    if (newer().length === 0) {
      await this.#waitForChange(Number(query.get("waitMs")), {
        address,
        kind,
        response,
      });
    }
    if (!response.destroyed) {
      const events = newer().map(({ object, removed }) => ({
        object,
        removed,
      }));
      sendJson(response, 200, { events, asOf: this.#revision });
    }
  }

  #waitForChange(
    time: number,
    watch: Omit<IWaitingWatch, "wake">,
  ): Promise<void> {
    return new Promise((resolve) => {
      const waiting: IWaitingWatch = {
        ...watch,
        wake: () => {
          clearTimeout(timer);
          this.#watches.delete(waiting);
          resolve();
        },
      };
      const timer = setTimeout(waiting.wake, time);
      this.#watches.add(waiting);
    });
  }
}
