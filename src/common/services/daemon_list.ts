/**
 * The platform's list of daemons: how a daemon that knows nobody finds its
 * peers. It lags and costs a call that grows with the fleet, so after the start
 * few daemons read it, seldom, and the rest learn of one another by membership.
 */
import { Backoff } from "../backoff.ts";
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import type { IFinding } from "../plans/types.ts";
import { parseDaemonEntry, readDaemonEntries } from "./daemon_status.ts";
import type {
  IClock,
  IDaemonEntry,
  IPlatform,
  IPlatformObject,
  IRandom,
} from "./services.ts";

/** The platform's kind of object by which daemons find one another. */
export const DAEMON_KIND = "daemons";

/** How long until the next reading, milliseconds. */
const READ_WHEN_ALONE_EVERY = 10_000;
const READ_BY_DELEGATE_EVERY = 60_000;
const READ_OTHERWISE_EVERY = 600_000;

/** Bounds of the pause after a failed call, milliseconds. */
const RETRY_BOUNDS = { shortest: 1_000, longest: 60_000 };

/** Readings that an entry must be missing from the zone before it goes. */
const READINGS_BEFORE_REMOVAL = 3;

/** What the rest of the daemon tells the list. */
export interface IDaemonListCallbacks {
  /** Whether no other daemon of the zone is known. */
  readonly isAlone: () => boolean;
  readonly isDelegate: () => boolean;
  /** Whether an entry of this zone is live by membership. */
  readonly isLive: (entry: IDaemonEntry) => boolean;
  readonly onEntriesRead: (entries: readonly IDaemonEntry[]) => void;
}

/** Registers this daemon, and reads who else did. */
export class DaemonList implements IDisposable {
  readonly #platform: IPlatform;
  readonly #clock: IClock;
  readonly #random: IRandom;
  readonly #self: IDaemonEntry;
  readonly #needs: IDaemonListCallbacks;
  readonly #retry: Backoff;
  readonly #owned = new DisposableStore();
  readonly #missing = new Map<string, number>();
  #findings: readonly IFinding[] = [];

  constructor(
    ports: {
      readonly platform: IPlatform;
      readonly clock: IClock;
      readonly random: IRandom;
    },
    self: IDaemonEntry,
    needs: IDaemonListCallbacks,
  ) {
    this.#platform = ports.platform;
    this.#clock = ports.clock;
    this.#random = ports.random;
    this.#self = self;
    this.#needs = needs;
    this.#retry = new Backoff(ports.random, RETRY_BOUNDS);
  }

  /** Entries of the last reading that are not those of a daemon. */
  get findings(): readonly IFinding[] {
    return this.#findings;
  }

  /** Resolves after the first reading, whether or not it succeeded. */
  async start(): Promise<void> {
    await this.#turn();
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Takes this daemon off the list. */
  async leave(): Promise<void> {
    this.dispose();
    const found = await this.#platform.read(DAEMON_KIND, this.#self.daemon);
    if (found.isOk() && found.value.isSome()) {
      const { version } = found.value.value;
      await this.#platform.remove(DAEMON_KIND, this.#self.daemon, version);
    }
  }

  async #turn(): Promise<void> {
    const isRead = await this.#read();
    if (isRead) {
      this.#retry.reset();
    }
    const pause = isRead ? this.#pause() : this.#retry.next();
    this.#owned.add(this.#clock.after(pause, () => void this.#turn()));
  }

  async #read(): Promise<boolean> {
    const listed = await this.#platform.list(DAEMON_KIND);
    if (listed.isErr()) {
      return false;
    }
    const { objects } = listed.value;
    const { entries, findings } = readDaemonEntries(objects);
    this.#findings = findings;
    const { daemon } = this.#self;
    this.#needs.onEntriesRead(
      entries.filter((entry) => entry.daemon !== daemon),
    );
    if (!entries.some((entry) => entry.daemon === daemon)) {
      return this.#register();
    }
    if (this.#needs.isDelegate()) {
      await this.#removeGone(objects);
    }
    return true;
  }

  async #register(): Promise<boolean> {
    const written = await this.#platform.write({
      kind: DAEMON_KIND,
      name: this.#self.daemon,
      value: this.#self,
      expectedVersion: null,
    });
    return written.isOk();
  }

  /**
   * A daemon that dies leaves its entry behind; without this the list would
   * grow by each failure and each new daemon would try to reach the dead.
   */
  async #removeGone(objects: readonly IPlatformObject[]): Promise<void> {
    for (const object of objects) {
      const entry = parseDaemonEntry(object).unwrapOr(null);
      const isGone =
        entry?.zone === this.#self.zone &&
        entry.daemon !== this.#self.daemon &&
        !this.#needs.isLive(entry);
      const readings = isGone ? (this.#missing.get(object.name) ?? 0) + 1 : 0;
      this.#missing.set(object.name, readings);
      if (readings >= READINGS_BEFORE_REMOVAL) {
        this.#missing.delete(object.name);
        await this.#platform.remove(DAEMON_KIND, object.name, object.version);
      }
    }
  }

  /** Drawn from around the period, so that daemons do not read together. */
  #pause(): number {
    const period = this.#needs.isAlone()
      ? READ_WHEN_ALONE_EVERY
      : this.#needs.isDelegate()
        ? READ_BY_DELEGATE_EVERY
        : READ_OTHERWISE_EVERY;
    return period * (0.5 + this.#random.next());
  }
}
