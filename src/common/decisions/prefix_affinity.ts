/**
 * Records which targets this daemon recently sent a prefix to. It is used
 * instead of the engines' cache events, which arrive late and with gaps. A
 * wrong entry costs the time of a prefill, never correctness. Bounded, since
 * prefixes are made by callers.
 */

/** Prefixes remembered; each takes about 200 bytes. */
const MAXIMUM_PREFIXES = 4_096;

/** Targets remembered for one prefix. */
const MAXIMUM_TARGETS = 4;

const NONE: readonly string[] = [];

/**
 * Maps prefixes to their last targets; evicts the least recently used prefix.
 */
export class PrefixAffinity {
  readonly #targets = new Map<string, string[]>();

  /** Targets the prefix was sent to, the latest first. */
  targetsOf(prefix: string): readonly string[] {
    return this.#targets.get(prefix) ?? NONE;
  }

  /** Records that work with the prefix was sent to the target. */
  recordSent(prefix: string, target: string): void {
    if (prefix === "") {
      return;
    }
    const before = this.#targets.get(prefix) ?? [];
    const others = before.filter((other) => other !== target);
    const targets = [target, ...others].slice(0, MAXIMUM_TARGETS);
    this.#targets.delete(prefix);
    this.#targets.set(prefix, targets);
    if (this.#targets.size > MAXIMUM_PREFIXES) {
      const [oldest] = this.#targets.keys();
      this.#targets.delete(oldest ?? "");
    }
  }
}
