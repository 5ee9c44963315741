/**
 * Tells the other processes which requests have crashed targets, directly and
 * not through the lease holder, which may be stopped or away: the next attempt
 * of such a request may reach any process within milliseconds. Each process
 * tells the peers that it knows, and these tell theirs what they did not know.
 */
import type { IDisposable } from "../disposable.ts";
import type { IClock, ILog } from "../services/services.ts";
import type { CrashingRequests } from "./crashing_requests.ts";
import type { ICrashNews, IRequestCrash } from "./types.ts";

/** Milliseconds that the other process may take to answer. */
const TELL_TIMEOUT = 250;

/** Milliseconds between two checks for a peer that knows earlier crashes. */
const CATCH_UP_PERIOD = 200;

/** Crashes in one message; the rest follows with the next ones. */
const MAXIMUM_CRASHES = 2_000;

/** Sends news to another process. */
export interface ICrashNewsLink {
  /** Resolves with the crashes that it knows, or null if it did not answer. */
  tellCrashes(
    address: string,
    news: ICrashNews,
    timeout: number,
  ): Promise<readonly IRequestCrash[] | null>;
}

/** Dependencies of {@link CrashGossip}. */
export interface ICrashGossipParts {
  readonly link: ICrashNewsLink;
  /** Addresses of the peers of this process. */
  readonly peers: () => readonly string[];
  readonly requests: CrashingRequests;
  readonly clock: IClock;
  readonly log: ILog;
}

/** The exchange of one process with its peers. */
export class CrashGossip implements IDisposable {
  readonly #parts: ICrashGossipParts;
  #timer: IDisposable | null = null;
  #isCatchingUp = false;

  constructor(parts: ICrashGossipParts) {
    this.#parts = parts;
  }

  /** Asks a peer for the crashes before the start of this process. */
  start(): void {
    this.#timer = this.#parts.clock.every(CATCH_UP_PERIOD, () => {
      void this.#catchUp();
    });
  }

  dispose(): void {
    this.#timer?.dispose();
  }

  /** Resolves once the peers have the crashes, or have not answered in time. */
  async tell(crashes: readonly IRequestCrash[]): Promise<void> {
    const news = { crashes: crashes.slice(-MAXIMUM_CRASHES), wantsAll: false };
    await Promise.all(
      this.#parts.peers().map((peer) => this.#send(peer, news)),
    );
  }

  /** Handles the news of a peer; returns the crashes that it asked for. */
  handle({ crashes, wantsAll }: ICrashNews): readonly IRequestCrash[] {
    this.#record(crashes);
    const { clock, requests } = this.#parts;
    return wantsAll ? requests.all(clock.now()).slice(-MAXIMUM_CRASHES) : [];
  }

  /** Records crashes, and passes on those that were not known. */
  #record(crashes: readonly IRequestCrash[]): void {
    const { clock, requests } = this.#parts;
    const now = clock.now();
    const unknown = crashes.filter((crash) => requests.record(crash, now));
    if (unknown.length > 0) {
      void this.tell(unknown);
    }
  }

  async #send(
    peer: string,
    news: ICrashNews,
  ): Promise<readonly IRequestCrash[] | null> {
    const { link, log } = this.#parts;
    const known = await link.tellCrashes(peer, news, TELL_TIMEOUT);
    if (known === null) {
      const crashes = news.crashes.length;
      log.info("crash_news_unanswered", { peer, crashes });
    }
    return known;
  }

  async #catchUp(): Promise<void> {
    const [peer] = this.#parts.peers();
    if (peer === undefined || this.#isCatchingUp) {
      return;
    }
    this.#isCatchingUp = true;
    const known = await this.#send(peer, { crashes: [], wantsAll: true });
    this.#isCatchingUp = false;
    if (known !== null) {
      this.#timer?.dispose();
      const { clock, requests } = this.#parts;
      known.forEach((crash) => requests.record(crash, clock.now()));
    }
  }
}
