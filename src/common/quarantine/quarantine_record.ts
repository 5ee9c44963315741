/**
 * The object of the platform's store with the quarantined parts, so that they
 * outlive all processes. An operator may edit it: an entry that is taken out is
 * released.
 */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import type { IObjectStore } from "../services/services.ts";
import type { IQuarantineEntry } from "./types.ts";

export const QUARANTINE_KIND = "quarantine";
export const QUARANTINE_NAME = "prompt_parts";

const recordSchema = z.object({
  entries: z.array(
    z.object({
      service: z.string().min(1),
      parts: z.array(z.string().min(1)).min(1),
      /** Calendar milliseconds. */
      since: z.number(),
      until: z.number(),
      /** Crashes that showed the cause. */
      crashes: z.number(),
    }),
  ),
});

/** Reads and writes the record conditionally. */
export class QuarantineRecord {
  readonly #store: Pick<IObjectStore, "read" | "write">;
  /** Version of the object at the last read or write; null without one. */
  #version: number | null = null;

  constructor(store: Pick<IObjectStore, "read" | "write">) {
    this.#store = store;
  }

  /** Returns the entries, or why they could not be read. */
  async read(): Promise<Result<readonly IQuarantineEntry[], string>> {
    const found = await this.#store.read(QUARANTINE_KIND, QUARANTINE_NAME);
    if (found.isErr()) {
      return Err(found.error.detail);
    }
    if (found.value.isNone()) {
      this.#version = null;
      return Ok([]);
    }
    const { version, value } = found.value.value;
    const record = recordSchema.safeParse(value);
    if (!record.success) {
      return Err(z.prettifyError(record.error));
    }
    this.#version = version;
    const { entries } = record.data;
    return Ok(
      entries.map((entry) => ({
        ...entry,
        parts: [...entry.parts].sort(),
        isSaved: true,
      })),
    );
  }

  /** Writes all entries over the version that was read; Err if it failed. */
  async write(
    entries: readonly IQuarantineEntry[],
  ): Promise<Result<void, string>> {
    const stored = entries.map(({ service, parts, since, until, crashes }) => {
      return { service, parts, since, until, crashes };
    });
    const written = await this.#store.write({
      kind: QUARANTINE_KIND,
      name: QUARANTINE_NAME,
      value: { entries: stored },
      expectedVersion: this.#version,
    });
    if (written.isErr()) {
      return Err(written.error.detail);
    }
    this.#version = written.value;
    return Ok(undefined);
  }
}
