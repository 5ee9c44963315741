/**
 * Which targets this daemon sent a prefix to lately. It stands in for the
 * engines' cache events, which come late and with gaps: an entry that is wrong
 * costs the time to read a prompt, never correctness. Bounded, since prefixes
 * are made by callers.
 */

/** Prefixes remembered; about 200 bytes each. */
const MAXIMUM_PREFIXES = 4_096;

/** Targets remembered for one prefix. */
const MAXIMUM_HOLDERS = 4;

const NONE: readonly string[] = [];

/** Prefixes and their last targets, the least recently used forgotten first. */
export class PrefixAffinity {
  readonly #holders = new Map<string, string[]>();

  /** Targets the prefix was sent to, the latest first. */
  targetsOf(prefix: string): readonly string[] {
    return this.#holders.get(prefix) ?? NONE;
  }

  /** Notes that work with the prefix was sent to the target. */
  recordSent(prefix: string, target: string): void {
    if (prefix === "") {
      return;
    }
    const before = this.#holders.get(prefix) ?? [];
    const others = before.filter((holder) => holder !== target);
    const holders = [target, ...others].slice(0, MAXIMUM_HOLDERS);
    this.#holders.delete(prefix);
    this.#holders.set(prefix, holders);
    if (this.#holders.size > MAXIMUM_PREFIXES) {
      const [oldest] = this.#holders.keys();
      this.#holders.delete(oldest ?? "");
    }
  }
}
