/** In-memory store of versioned objects with conditional writes and watches. */
import type { IPlatformObject } from "../../common/services/services.ts";

/** The platform's limit on the size of a value. */
export const MAXIMUM_VALUE_BYTES = 1_000_000;

/** Result of a conditional write or removal. */
export type WriteResult =
  | { readonly kind: "written"; readonly version: number }
  | { readonly kind: "conflict"; readonly version: number | null };

/** One write, or a removal where the object is null. */
interface IChange {
  readonly version: number;
  readonly key: string;
  readonly object: IPlatformObject | null;
}

/** Holds objects under one version that every change increments. */
export class ObjectStore {
  #version = 0;
  #objects = new Map<string, IPlatformObject>();
  #history: IChange[] = [];
  readonly #waiting = new Set<() => void>();

  get version(): number {
    return this.#version;
  }

  read(kind: string, name: string, asOf?: number): IPlatformObject | null {
    return this.#stateAt(asOf).get(keyOf(kind, name)) ?? null;
  }

  /**
   * Objects of a kind changed after a version, oldest change first.
   *
   * @param asOf - version at which the store is read; the latest if absent
   */
  changedAfter(
    kind: string,
    after: number,
    asOf?: number,
  ): readonly IPlatformObject[] {
    return [...this.#stateAt(asOf).values()]
      .filter((object) => object.kind === kind && object.version > after)
      .sort((left, right) => left.version - right.version);
  }

  /** @param expected - version to replace; null if it must not exist yet */
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
    this.#recordChange(keyOf(kind, name), { ...object, version });
    return { kind: "written", version };
  }

  remove(kind: string, name: string, expected: number): WriteResult {
    const current = this.read(kind, name)?.version ?? null;
    if (current !== expected) {
      return { kind: "conflict", version: current };
    }
    this.#version += 1;
    this.#recordChange(keyOf(kind, name), null);
    return { kind: "written", version: this.#version };
  }

  /** Reverts the store to a version, as restoring a backup does. */
  restore(version: number): void {
    this.#objects = new Map(this.#stateAt(version));
    this.#history = this.#history.filter((change) => change.version <= version);
    this.#version = version;
    this.#notifyWaiting();
  }

  /** An object as it was before its last change, or null. */
  stateBeforeLastChange(kind: string, name: string): IPlatformObject | null {
    const key = keyOf(kind, name);
    const changes = this.#history.filter((change) => change.key === key);
    return changes.at(-2)?.object ?? null;
  }

  /** Resolves at the next change, or after a timeout in milliseconds. */
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

  #stateAt(asOf?: number): ReadonlyMap<string, IPlatformObject> {
    if (asOf === undefined) {
      return this.#objects;
    }
    const state = new Map<string, IPlatformObject>();
    for (const { version, key, object } of this.#history) {
      if (version <= asOf && object !== null) {
        state.set(key, object);
      } else if (version <= asOf) {
        state.delete(key);
      }
    }
    return state;
  }

  #recordChange(key: string, object: IPlatformObject | null): void {
    if (object === null) {
      this.#objects.delete(key);
    } else {
      this.#objects.set(key, object);
    }
    this.#history.push({ version: this.#version, key, object });
    this.#notifyWaiting();
  }

  #notifyWaiting(): void {
    for (const done of [...this.#waiting]) {
      done();
    }
  }
}

function keyOf(kind: string, name: string): string {
  return JSON.stringify([kind, name]);
}
