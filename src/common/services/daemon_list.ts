/**
 * The platform's list of daemons, by which a daemon without peers finds them.
 * It lags, and reading it costs a call that grows with the fleet. So after the
 * start few daemons read it, rarely; the rest rely on membership.
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

/** Object kind of the daemon entries on the platform. */
export const DAEMON_KIND = "daemons";

/** Average time until the next read of the list, milliseconds. */
const READ_WHEN_ALONE_EVERY = 10_000;
const READ_BY_DELEGATE_EVERY = 60_000;
const READ_OTHERWISE_EVERY = 600_000;

/** Bounds of the pause after a failed call, milliseconds. */
const RETRY_BOUNDS = { shortest: 1_000, longest: 60_000 };

/** Consecutive reads with its daemon not live before an entry is removed. */
const READS_BEFORE_REMOVAL = 3;

/** What {@link DaemonList} asks of its owner, and reports to it. */
export interface IDaemonListCallbacks {
  /** Whether no other daemon of the zone is known. */
  readonly isAlone: () => boolean;
  readonly isDelegate: () => boolean;
  /** Whether membership considers an entry of this zone live. */
  readonly isLive: (entry: IDaemonEntry) => boolean;
  readonly onEntriesRead: (entries: readonly IDaemonEntry[]) => void;
}

/** Registers this daemon, and reads the other daemons' entries. */
export class DaemonList implements IDisposable {
  readonly #platform: IPlatform;
  readonly #clock: IClock;
  readonly #random: IRandom;
  readonly #self: IDaemonEntry;
  readonly #callbacks: IDaemonListCallbacks;
  readonly #retry: Backoff;
  readonly #owned = new DisposableStore();
  readonly #notLiveReads = new Map<string, number>();
  #findings: readonly IFinding[] = [];

  constructor(
    ports: {
      readonly platform: IPlatform;
      readonly clock: IClock;
      readonly random: IRandom;
    },
    self: IDaemonEntry,
    callbacks: IDaemonListCallbacks,
  ) {
    this.#platform = ports.platform;
    this.#clock = ports.clock;
    this.#random = ports.random;
    this.#self = self;
    this.#callbacks = callbacks;
    this.#retry = new Backoff(ports.random, RETRY_BOUNDS);
  }

  /** Invalid entries in the last read of the list. */
  get findings(): readonly IFinding[] {
    return this.#findings;
  }

  /** Resolves after the first read, whether or not it succeeded. */
  async start(): Promise<void> {
    await this.#readRepeatedly();
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Removes this daemon from the list. */
  async leave(): Promise<void> {
    this.dispose();
    const found = await this.#platform.read(DAEMON_KIND, this.#self.daemon);
    if (found.isOk() && found.value.isSome()) {
      const { version } = found.value.value;
      await this.#platform.remove(DAEMON_KIND, this.#self.daemon, version);
    }
  }

  async #readRepeatedly(): Promise<void> {
    const isRead = await this.#read();
    if (isRead) {
      this.#retry.reset();
    }
    const pause = isRead ? this.#pause() : this.#retry.nextDelay();
    this.#owned.add(
      this.#clock.after(pause, () => void this.#readRepeatedly()),
    );
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
    this.#callbacks.onEntriesRead(
      entries.filter((entry) => entry.daemon !== daemon),
    );
    if (!entries.some((entry) => entry.daemon === daemon)) {
      return this.#register();
    }
    if (this.#callbacks.isDelegate()) {
      await this.#removeDead(objects);
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
   * Removes entries of daemons that died. Otherwise the list would grow with
   * every failure, and new daemons would try to reach dead ones.
   */
  async #removeDead(objects: readonly IPlatformObject[]): Promise<void> {
    for (const object of objects) {
      const entry = parseDaemonEntry(object).unwrapOr(null);
      const isDead =
        entry?.zone === this.#self.zone &&
        entry.daemon !== this.#self.daemon &&
        !this.#callbacks.isLive(entry);
      const reads = isDead ? (this.#notLiveReads.get(object.name) ?? 0) + 1 : 0;
      this.#notLiveReads.set(object.name, reads);
      if (reads >= READS_BEFORE_REMOVAL) {
        this.#notLiveReads.delete(object.name);
        await this.#platform.remove(DAEMON_KIND, object.name, object.version);
      }
    }
  }

  /** The period with jitter, so that daemons do not read at the same time. */
  #pause(): number {
    const period = this.#callbacks.isAlone()
      ? READ_WHEN_ALONE_EVERY
      : this.#callbacks.isDelegate()
        ? READ_BY_DELEGATE_EVERY
        : READ_OTHERWISE_EVERY;
    return period * (0.5 + this.#random.next());
  }
}
