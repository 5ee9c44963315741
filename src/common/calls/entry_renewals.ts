/**
 * When the entries of targets were last written, at the latest moment that is
 * certain: an answer shows what was written since the one before it.
 */
import type { InstanceId, MonotonicTime } from "../types.ts";
import type { IObjectChanges } from "./object_follower.ts";

interface IRenewal {
  readonly version: number;
  readonly writtenAt: MonotonicTime;
}

/** Last writes of the entries that are listed. */
export class EntryRenewals {
  readonly #renewals = new Map<InstanceId, IRenewal>();
  /** All entries were written since this time, as another process has read. */
  #allSince: MonotonicTime = Number.NEGATIVE_INFINITY;

  /** Records an entry in an answer of the store. */
  record(
    id: InstanceId,
    version: number,
    { notBefore, isFullList }: IObjectChanges,
  ): void {
    const known = this.#renewals.get(id);
    const isWritten = known ? version > known.version : !isFullList;
    const before = known?.writtenAt ?? Number.NEGATIVE_INFINITY;
    const writtenAt = isWritten ? notBefore : before;
    this.#renewals.set(id, { version, writtenAt });
  }

  /** Records that all entries were written since a time. */
  recordAll(since: MonotonicTime): void {
    this.#allSince = Math.max(this.#allSince, since);
  }

  forget(id: InstanceId): void {
    this.#renewals.delete(id);
  }

  /** Since when an entry was certainly written. */
  timeOf(id: InstanceId): MonotonicTime {
    const own = this.#renewals.get(id)?.writtenAt ?? Number.NEGATIVE_INFINITY;
    return Math.max(own, this.#allSince);
  }
}
