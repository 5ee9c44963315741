/** Versioned objects with conditional updates and watches, in memory. */
import type { IPlatformObject } from "../../common/services/services.ts";

/** The platform's bound on a value, in bytes. */
export const MAXIMUM_VALUE_BYTES = 1_000_000;

/** What came of a conditional write. */
export type WriteResult =
  | { readonly kind: "written"; readonly version: number }
  | { readonly kind: "conflict"; readonly version: number | null };

/** Holds objects; each write to any of them raises the version. */
export class ObjectStore {
  #version = 0;
  readonly #objects = new Map<string, IPlatformObject>();
  readonly #waiting = new Set<() => void>();

  get version(): number {
    return this.#version;
  }

  read(kind: string, name: string): IPlatformObject | null {
    return this.#objects.get(keyOf(kind, name)) ?? null;
  }

  /** Objects of a kind changed after a version, oldest change first. */
  changedAfter(kind: string, after: number): readonly IPlatformObject[] {
    return [...this.#objects.values()]
      .filter((object) => object.kind === kind && object.version > after)
      .sort((left, right) => left.version - right.version);
  }

  /** @param expected - version it must be at; null: it must not exist */
  write(
    object: Omit<IPlatformObject, "version">,
    expected: number | null,
  ): WriteResult {
    const { kind, name } = object;
    const current = this.read(kind, name)?.version ?? null;
    if (current !== expected) {
      return { kind: "conflict", version: current };
    }
    this.#version += 1;
    const version = this.#version;
    this.#objects.set(keyOf(kind, name), { ...object, version });
    this.#wake();
    return { kind: "written", version };
  }

  remove(kind: string, name: string, expected: number): WriteResult {
    const current = this.read(kind, name)?.version ?? null;
    if (current !== expected) {
      return { kind: "conflict", version: current };
    }
    this.#version += 1;
    this.#objects.delete(keyOf(kind, name));
    return { kind: "written", version: this.#version };
  }

  /** Resolves at the next write, or after a time in milliseconds. */
  waitForWrite(timeout: number): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, timeout);
      this.#waiting.add(done);
    });
  }

  #wake(): void {
    for (const done of [...this.#waiting]) {
      done();
    }
  }
}

function keyOf(kind: string, name: string): string {
  return JSON.stringify([kind, name]);
}
