/**
 * Finds the parts of prompts that crash engines from the crashes that processes
 * report. Otherwise each call with such a part ends one more engine, and with
 * it the answers to all other calls there, until no engine is left.
 *
 * Only calls that an engine had hardly begun to answer are suspects of its
 * crash. A part is the cause once {@link FEWEST_CRASHES} crashes had it among
 * their suspects and no answer on it has gone on since. Many engines that crash
 * together without a likely cause among their calls count less.
 * Parts that have only been seen together are one cause together: calls with
 * some of them go on and show which one it is.
 */
import type { MonotonicTime, ServiceName } from "../types.ts";
import {
  COMMON_SETTLING_TIME,
  EXPLAINED_SETTLING_TIME,
  explains,
  FEWEST_CRASHES,
  hasSettled,
  isProbablySound,
  repeatedCrashes,
  weigh,
} from "./crash_candidates.ts";
import type { ICandidate, ICounts, ICrash } from "./crash_candidates.ts";
import { partKey } from "./types.ts";
import type {
  ICrashCause,
  ICrashReport,
  IFoundCause,
  PartKey,
} from "./types.ts";

/** Number of calls that show a cause: one of them may be retried many times. */
const FEWEST_CALLS = 3;

/**
 * Milliseconds from the first report of a crash until it counts: by then the
 * other processes have reported their suspects, and the answers that went on,
 * which takes two exchanges with the lease holder.
 */
export const SETTLING_TIME = 600;

/** Milliseconds after the last report in which all causes have been found. */
const QUIET_TIME = EXPLAINED_SETTLING_TIME + COMMON_SETTLING_TIME;

/** Milliseconds after which a crash is forgotten. */
const CRASH_LIFETIME = 600_000;

/** Number of crashes remembered; beyond it the oldest is forgotten. */
const MAXIMUM_CRASHES = 100;

/** Number of parts on which answers are asked for. */
const MAXIMUM_SUSPECTS = 50;

/**
 * Share of the evidence for the best cause from which others are as likely. Of
 * these, parts that are probably sound come last, since a common part is among
 * the suspects of any crash.
 */
const LIKELY_SHARE = 0.7;

/**
 * Number of causes of one service that one evaluation finds: the next one finds
 * more, and the lease holder has other work meanwhile.
 */
const MAXIMUM_CAUSES = 4;

/** The crashes that are known, and what speaks for parts. */
export class CrashEvidence {
  /** By target and start. */
  readonly #crashes = new Map<string, ICrash>();
  /** When an answer on a part last proved it harmless. */
  readonly #provedAt = new Map<PartKey, MonotonicTime>();
  #recordedAt: MonotonicTime = Number.NEGATIVE_INFINITY;

  /** Whether nothing was reported lately that could show another cause. */
  isQuiet(now: MonotonicTime): boolean {
    return now - this.#recordedAt > QUIET_TIME;
  }

  /** Adds what one process saw of a crash. */
  record(report: ICrashReport, now: MonotonicTime): void {
    this.#recordedAt = now;
    const key = `${report.target} ${report.startedAt}`;
    const at = now - report.age;
    const crash = this.#crashes.get(key) ?? {
      service: report.service,
      receivedAt: now,
      at,
      suspects: new Map<string, ICounts>(),
      requests: new Set<string>(),
    };
    this.#crashes.set(key, crash);
    crash.at = Math.min(crash.at, at);
    for (const [part, { calls, newCalls }] of Object.entries(report.suspects)) {
      const counts = crash.suspects.get(part) ?? { calls: 0, newCalls: 0 };
      counts.calls += calls;
      counts.newCalls += newCalls;
      crash.suspects.set(part, counts);
    }
    report.requests?.forEach((request) => crash.requests.add(request));
    this.#expire(now);
  }

  /** Records that an answer on a part has proved it harmless. */
  recordProof(key: PartKey, at: MonotonicTime): void {
    this.#provedAt.set(key, Math.max(at, this.#provedAt.get(key) ?? at));
  }

  /** Forgets the crashes that a cause explains, as it is released. */
  forgetExplained(cause: ICrashCause): void {
    for (const [key, crash] of this.#crashes) {
      if (crash.service === cause.service && explains(cause, crash)) {
        this.#crashes.delete(key);
      }
    }
  }

  /** The parts on which answers are of interest, the most suspect first. */
  suspects(now: MonotonicTime): readonly PartKey[] {
    this.#expire(now);
    return this.#services
      .flatMap((service) =>
        this.#candidates(service, [], now).map(({ part, crashes }) => {
          return { key: partKey(service, part), crashes: crashes.length };
        }),
      )
      .sort((one, other) => other.crashes - one.crashes)
      .slice(0, MAXIMUM_SUSPECTS)
      .map(({ key }) => key);
  }

  /**
   * Returns the causes that the evidence shows beyond the known ones.
   *
   * @param known - causes that were found before; they explain crashes
   */
  findCauses(
    known: readonly ICrashCause[],
    now: MonotonicTime,
  ): readonly IFoundCause[] {
    this.#expire(now);
    const found: IFoundCause[] = [];
    for (const service of this.#services) {
      for (let count = 0; count < MAXIMUM_CAUSES; count += 1) {
        const causes = [...known, ...found].filter(
          (one) => one.service === service,
        );
        const cause = this.#findCause(service, causes, now);
        if (cause === null) {
          break;
        }
        found.push(cause);
      }
    }
    return found;
  }

  get #services(): readonly ServiceName[] {
    const services = [...this.#crashes.values()].map(({ service }) => service);
    return [...new Set(services)];
  }

  #findCause(
    service: ServiceName,
    known: readonly ICrashCause[],
    now: MonotonicTime,
  ): IFoundCause | null {
    const settled = now - SETTLING_TIME;
    const all = [...this.#crashes.values()].filter(
      (crash) => crash.service === service && crash.receivedAt <= settled,
    );
    const isKnown = (crash: ICrash) =>
      known.some((one) => explains(one, crash));
    const repeated = repeatedCrashes(all);
    const unknown = new Set(all.filter((crash) => !isKnown(crash)));
    const likely = this.#candidates(service, known, settled).filter(
      (candidate) =>
        candidate.crashes.length >= FEWEST_CRASHES &&
        candidate.newCalls >= FEWEST_CALLS &&
        hasSettled(candidate, repeated, now) &&
        candidate.crashes.some((crash) => unknown.has(crash)),
    );
    const likelyParts = likely
      .filter((candidate) => !isProbablySound(candidate))
      .map(({ part }) => part);
    const explained = withAnyPart(all, new Set(likelyParts));
    all.filter(isKnown).forEach((crash) => explained.add(crash));
    const shown = likely
      .map((candidate) => {
        const evidence = weigh(candidate, all, explained);
        return { ...candidate, evidence };
      })
      .filter(({ evidence }) => evidence >= FEWEST_CRASHES);
    const most = Math.max(...shown.map(({ evidence }) => evidence));
    const [best, ...others] = shown
      .filter(({ evidence }) => evidence >= most * LIKELY_SHARE)
      .sort(
        (one, other) =>
          Number(isProbablySound(one)) - Number(isProbablySound(other)) ||
          other.evidence - one.evidence ||
          one.calls - other.calls,
      );
    if (best === undefined) {
      return null;
    }
    const together = others.filter(
      ({ calls, crashes }) =>
        calls === best.calls &&
        crashes.length === best.crashes.length &&
        crashes.every((crash) => best.crashes.includes(crash)),
    );
    return {
      service,
      parts: [best, ...together].map(({ part }) => part).sort(),
      crashes: best.crashes.length,
      calls: best.calls,
      isInDoubt: isProbablySound(best),
    };
  }

  /**
   * The parts that crashes speak against.
   *
   * @param known - causes; a crash that one explains says nothing about others
   * @param until - later reports do not count
   */
  #candidates(
    service: ServiceName,
    known: readonly ICrashCause[],
    until: MonotonicTime,
  ): readonly ICandidate[] {
    const crashes = [...this.#crashes.values()].filter(
      (crash) => crash.service === service && crash.receivedAt <= until,
    );
    const candidates = new Map<string, ICandidate>();
    for (const crash of crashes) {
      const causes = known.filter((one) => explains(one, crash));
      for (const [part, counts] of crash.suspects) {
        const provedAt = this.#provedAt.get(partKey(service, part)) ?? null;
        const isExplained = causes.some(({ parts }) => !parts.includes(part));
        const isProved = provedAt !== null && provedAt > crash.at;
        if (isProved || isExplained) {
          continue;
        }
        const candidate = candidates.get(part) ?? {
          ...{ part, crashes: [], calls: 0, newCalls: 0 },
          wasProved: provedAt !== null,
        };
        candidate.crashes.push(crash);
        candidate.calls += counts.calls;
        candidate.newCalls += counts.newCalls;
        candidates.set(part, candidate);
      }
    }
    return [...candidates.values()];
  }

  #expire(now: MonotonicTime): void {
    for (const [key, { receivedAt }] of this.#crashes) {
      const isOld = now - receivedAt > CRASH_LIFETIME;
      if (isOld || this.#crashes.size > MAXIMUM_CRASHES) {
        this.#crashes.delete(key);
      }
    }
    for (const [key, provedAt] of this.#provedAt) {
      if (now - provedAt > CRASH_LIFETIME) {
        this.#provedAt.delete(key);
      }
    }
  }
}

/** The crashes that have one of some parts among their suspects. */
function withAnyPart(
  crashes: readonly ICrash[],
  parts: ReadonlySet<string>,
): Set<ICrash> {
  const found = crashes.filter(({ suspects }) =>
    [...suspects.keys()].some((part) => parts.has(part)),
  );
  return new Set(found);
}
