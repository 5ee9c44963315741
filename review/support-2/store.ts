/** The platform's metadata store, as far as these cases need it. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";

/** A page of a list: entries, and bytes beyond which no further one is added. */
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;

/** Milliseconds that an answer takes, as the installations' sheets say. */
const ANSWER_TIME = 4;

interface IStored {
  readonly kind: string;
  readonly name: string;
  readonly revision: number;
  /** The object as it is sent. */
  readonly text: string;
}

interface IEvent {
  readonly kind: string;
  readonly revision: number;
  readonly text: string;
}

/** Objects by kind and name, with pages and watches. */
export class Store {
  readonly #servers: Server[] = [];
  readonly #objects = new Map<string, IStored>();
  readonly #events: IEvent[] = [];
  readonly #waiting = new Set<() => void>();
  /** While true, every call is answered 503, and nothing is done. */
  isBusy = false;
  #revision = 1;

  /** Opens an address of its own for each process. */
  async listen(): Promise<string> {
    const server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.#servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as { readonly port: number };
    return `127.0.0.1:${port}`;
  }

  /** Writes an object without a condition. */
  put(kind: string, name: string, spec: unknown): number {
    this.#revision += 1;
    const revision = this.#revision;
    const metadata = { name, revision, finalizers: [], deleting: false };
    const text = JSON.stringify({ metadata, spec, status: null });
    this.#objects.set(`${kind}/${name}`, { kind, name, revision, text });
    this.#publish(kind, `{"removed":false,"object":${text}}`);
    return revision;
  }

  remove(kind: string, name: string): void {
    const object = this.#objects.get(`${kind}/${name}`);
    if (object !== undefined) {
      this.#objects.delete(`${kind}/${name}`);
      this.#revision += 1;
      this.#publish(kind, `{"removed":true,"object":${object.text}}`);
    }
  }

  close(): void {
    this.#waiting.forEach((wake) => wake());
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  #publish(kind: string, text: string): void {
    this.#events.push({ kind, revision: this.#revision, text });
    this.#waiting.forEach((wake) => wake());
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://store");
    const [, , kind = "", name] = url.pathname.split("/");
    const { method } = request;
    if (this.isBusy) {
      request.resume();
      answer(response, 503, "{}");
    } else if (method === "POST" || method === "PUT") {
      await this.#write(request, response, kind);
    } else if (name !== undefined) {
      const object = this.#objects.get(`${kind}/${decodeURIComponent(name)}`);
      answer(response, object ? 200 : 404, object?.text ?? "{}");
    } else if (url.searchParams.has("watch")) {
      await this.#watch(response, kind, url.searchParams);
    } else {
      this.#list(response, kind, url.searchParams.get("after") ?? "");
    }
  }

  #list(response: ServerResponse, kind: string, after: string): void {
    const left = [...this.#objects.values()]
      .filter((object) => object.kind === kind && object.name > after)
      .sort((one, other) => (one.name < other.name ? -1 : 1));
    const items: string[] = [];
    let bytes = 0;
    for (const { text } of left) {
      const isFull =
        items.length >= PAGE_ITEMS || bytes + text.length > PAGE_BYTES;
      if (items.length > 0 && isFull) {
        break;
      }
      items.push(text);
      bytes += text.length;
    }
    const truncated = items.length < left.length;
    const page = `{"items":[${items.join()}],"truncated":${truncated},"asOf":${this.#revision}}`;
    answer(response, 200, page);
  }

  async #watch(
    response: ServerResponse,
    kind: string,
    query: URLSearchParams,
  ): Promise<void> {
    const after = Number(query.get("watch"));
    const end = Date.now() + Number(query.get("waitMs"));
    const newer = () =>
      this.#events.filter((one) => one.kind === kind && one.revision > after);
    while (newer().length === 0 && Date.now() < end) {
      await new Promise<void>((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, end - Date.now());
        this.#waiting.add(wake);
      });
    }
    const events = newer().map(({ text }) => text);
    const asOf = this.#revision;
    answer(response, 200, `{"events":[${events.join()}],"asOf":${asOf}}`);
  }

  async #write(
    request: IncomingMessage,
    response: ServerResponse,
    kind: string,
  ): Promise<void> {
    let body = "";
    for await (const piece of request as AsyncIterable<Buffer>) {
      body += piece.toString();
    }
    const { metadata, spec } = JSON.parse(body) as {
      readonly metadata: { readonly name: string; readonly revision?: number };
      readonly spec: unknown;
    };
    const key = `${kind}/${metadata.name}`;
    const existing = this.#objects.get(key);
    if (existing?.revision !== metadata.revision) {
      answer(response, 409, existing?.text ?? "{}");
      return;
    }
    this.put(kind, metadata.name, spec);
    answer(response, 200, this.#objects.get(key)?.text ?? "{}");
  }
}

function answer(response: ServerResponse, status: number, text: string): void {
  setTimeout(() => {
    if (!response.destroyed) {
      response.writeHead(status, { "content-type": "application/json" });
      response.end(text);
    }
  }, ANSWER_TIME);
}
