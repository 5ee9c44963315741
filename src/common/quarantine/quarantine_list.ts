/** The causes of crashes whose calls are refused, by their parts. */
import type { ServiceName } from "../types.ts";
import { partKey } from "./types.ts";
import type { ICrashCause, IQuarantineEntry, PartKey } from "./types.ts";

/** Number of entries; beyond it the oldest is released. */
const MAXIMUM_ENTRIES = 1_000;

/** What a list lost when it was replaced. */
export type ReleasedEntries = readonly IQuarantineEntry[];

/** A bounded list of entries, indexed by part. */
export class QuarantineList {
  #entries: readonly IQuarantineEntry[] = [];
  #byPart: ReadonlyMap<PartKey, readonly IQuarantineEntry[]> = new Map();
  /** Causes that were released here and that the store may still have. */
  #unsavedReleases: readonly ICrashCause[] = [];

  get entries(): readonly IQuarantineEntry[] {
    return this.#entries;
  }

  /** Entries that the store may not have. */
  get unsaved(): readonly IQuarantineEntry[] {
    return this.#entries.filter(({ isSaved }) => !isSaved);
  }

  /** Whether the store may have entries that were released here. */
  get hasUnsavedReleases(): boolean {
    return this.#unsavedReleases.length > 0;
  }

  /** Drops an entry here, and from the store with the next write. */
  release(entry: IQuarantineEntry): void {
    this.#unsavedReleases = [...this.#unsavedReleases, entry];
    this.#set(this.#entries.filter((one) => one !== entry));
  }

  /** Drops entries that the lease holder has released. */
  remove(causes: readonly ICrashCause[]): ReleasedEntries {
    const removed = this.#entries.filter((entry) =>
      causes.some((cause) => isSameCause(cause, entry)),
    );
    if (removed.length > 0) {
      this.#set(this.#entries.filter((entry) => !removed.includes(entry)));
    }
    return removed;
  }

  /** The store has been written without the releases. */
  handleReleasesSaved(): void {
    this.#unsavedReleases = [];
  }

  /** Returns the entry that a call with these parts meets, or null. */
  find(
    service: ServiceName,
    parts: readonly string[],
  ): IQuarantineEntry | null {
    if (this.#entries.length === 0) {
      return null;
    }
    for (const part of parts) {
      const entries = this.#byPart.get(partKey(service, part)) ?? [];
      const met = entries.find((one) =>
        one.parts.every((needed) => parts.includes(needed)),
      );
      if (met !== undefined) {
        return met;
      }
    }
    return null;
  }

  /** Adds entries whose causes are not listed; returns whether any was. */
  add(entries: readonly IQuarantineEntry[]): boolean {
    const added = entries.filter(
      (entry) => !this.#entries.some((one) => isSameCause(one, entry)),
    );
    if (added.length > 0) {
      this.#set([...this.#entries, ...added].slice(-MAXIMUM_ENTRIES));
    }
    return added.length > 0;
  }

  /** Replaces the saved entries; returns those that are no longer listed. */
  replaceSaved(saved: readonly IQuarantineEntry[]): ReleasedEntries {
    const isListed = (entry: IQuarantineEntry) =>
      saved.some((one) => isSameCause(one, entry));
    const released = this.#entries.filter(
      (entry) => entry.isSaved && !isListed(entry),
    );
    const unsaved = this.unsaved.filter((entry) => !isListed(entry));
    const kept = saved.filter(
      (entry) =>
        !this.#unsavedReleases.some((cause) => isSameCause(cause, entry)),
    );
    this.#set([...kept, ...unsaved].slice(-MAXIMUM_ENTRIES));
    return released;
  }

  /** @param now - calendar milliseconds */
  removeExpired(now: number): ReleasedEntries {
    const expired = this.#entries.filter(({ until }) => now >= until);
    if (expired.length > 0) {
      this.#set(this.#entries.filter(({ until }) => now < until));
    }
    return expired;
  }

  #set(entries: readonly IQuarantineEntry[]): void {
    this.#entries = entries;
    const byPart = new Map<PartKey, IQuarantineEntry[]>();
    for (const entry of entries) {
      const key = partKey(entry.service, entry.parts[0] ?? "");
      byPart.set(key, [...(byPart.get(key) ?? []), entry]);
    }
    this.#byPart = byPart;
  }
}

/** Whether two causes are the same; their parts are sorted. */
export function isSameCause(one: ICrashCause, other: ICrashCause): boolean {
  return (
    one.service === other.service &&
    one.parts.join(",") === other.parts.join(",")
  );
}
