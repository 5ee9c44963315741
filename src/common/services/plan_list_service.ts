/** Follows the two plan lists by watch, by slow poll and by peers' news. */
import type { IDisposable } from "../disposable.ts";
import { DisposableStore } from "../disposable.ts";
import { Emitter } from "../emitter.ts";
import { formatFinding } from "../plans/findings.ts";
import { Adoption, PlanBook } from "../plans/plan_book.ts";
import { PLAN_LIST_KIND, PlanListName } from "../plans/types.ts";
import type { IListText } from "../plans/types.ts";
import type { MonotonicTime } from "../types.ts";
import type {
  IClock,
  IListVersion,
  ILog,
  IPlatform,
  IPlatformObject,
} from "./services.ts";

/** How long a watch waits for news, milliseconds. */
const WATCH_TIMEOUT = 20_000;

/** Pause after a failed watch, so that an outage makes few calls. */
const RETRY_PAUSE = 1_000;

/** The form of a list in the platform: its text as the operator wrote it. */
export interface IListValue {
  readonly text: string;
}

/** Reads a list object; null when it is not of that form. */
export function parseListObject(object: IPlatformObject): IListText | null {
  const list = Object.values(PlanListName).find((name) => name === object.name);
  const value = object.value as Partial<IListValue> | null;
  if (list === undefined || typeof value?.text !== "string") {
    return null;
  }
  return { list, version: object.version, text: value.text };
}

/** Keeps a {@link PlanBook} up to date. */
export class PlanListService implements IDisposable {
  readonly #platform: IPlatform;
  readonly #clock: IClock;
  readonly #log: ILog;
  readonly #book = new PlanBook();
  readonly #owned = new DisposableStore();
  readonly #stopping = new AbortController();
  readonly #adopted = this.#owned.add(new Emitter<IListText>());
  #confirmedAt: MonotonicTime | null = null;

  /** Fires each list that comes into force. */
  readonly onAdopted = this.#adopted.event;

  constructor(platform: IPlatform, clock: IClock, log: ILog) {
    this.#platform = platform;
    this.#clock = clock;
    this.#log = log;
  }

  get book(): PlanBook {
    return this.#book;
  }

  /** Milliseconds since the platform last confirmed the lists, or null. */
  get age(): number | null {
    const confirmedAt = this.#confirmedAt;
    return confirmedAt === null ? null : this.#clock.now() - confirmedAt;
  }

  /** Versions in force, for peers. */
  get versions(): readonly IListVersion[] {
    return Object.values(PlanListName).map((list) => ({
      list,
      version: this.#book.version(list) ?? 0,
    }));
  }

  start(): void {
    void this.#follow();
  }

  /** Takes a list from any source; older versions are ignored. */
  offer(text: IListText): Adoption {
    const adoption = this.#book.offer(text);
    if (adoption === Adoption.Adopted) {
      const { list, version } = text;
      this.#log.info("plan_list_adopted", { list, version });
      this.#adopted.fire(text);
    }
    if (adoption === Adoption.Refused) {
      this.#reportFindings(text);
    }
    return adoption;
  }

  dispose(): void {
    this.#stopping.abort();
    this.#owned.dispose();
  }

  #reportFindings(text: IListText): void {
    const { list, version } = text;
    for (const finding of this.#book.findings) {
      const detail = formatFinding(finding);
      this.#log.warn("plan_list_refused", { list, version, finding: detail });
    }
  }

  async #follow(): Promise<void> {
    let after = 0;
    while (!this.#stopping.signal.aborted) {
      const found = await this.#platform.watch(PLAN_LIST_KIND, after, {
        timeout: WATCH_TIMEOUT,
        signal: this.#stopping.signal,
      });
      if (found.isErr()) {
        await this.#pause(RETRY_PAUSE);
        continue;
      }
      this.#confirmedAt = this.#clock.now();
      after = found.value.version;
      found.value.objects.forEach((object) => this.#take(object));
    }
  }

  #take(object: IPlatformObject): void {
    const text = parseListObject(object);
    if (text === null) {
      this.#log.warn("plan_list_unreadable", { name: object.name });
      return;
    }
    this.offer(text);
  }

  #pause(duration: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.#clock.after(duration, resolve);
      this.#owned.add(timer);
    });
  }
}
