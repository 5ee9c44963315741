/**
 * Logs that a process comes near the memory that it may take, and what it keeps.
 * A process that runs out of memory writes nothing about it.
 */
import { getHeapStatistics } from "node:v8";
import type { IDisposable } from "../common/disposable.ts";
import type { IClock, ILog } from "../common/services/services.ts";
import type { MonotonicTime } from "../common/types.ts";

/** Share of the heap, or of the memory, from which lines are written. */
const REPORTED_SHARE = 0.7;

/** Milliseconds between two checks. */
const CHECK_PERIOD = 250;

/** Shortest time between two lines, milliseconds. */
const LINE_PERIOD = 1_000;

const BYTES_A_MEGABYTE = 1_048_576;

/** What a process keeps. */
export interface IKeptMemory {
  /** Bytes of answers. */
  readonly answers: number;
  /** Pieces in which these bytes are kept. */
  readonly answerPieces: number;
  /** Bytes of requests. */
  readonly requests: number;
}

/** Checks the memory of its process again and again. */
export class MemoryMonitor implements IDisposable {
  readonly #clock: IClock;
  readonly #log: ILog;
  readonly #memory: number;
  readonly #kept: () => IKeptMemory;
  #loggedAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  #timer: IDisposable | null = null;

  /** @param parts.memory - megabytes that the process may take */
  constructor(parts: {
    readonly clock: IClock;
    readonly log: ILog;
    readonly memory: number;
    readonly kept: () => IKeptMemory;
  }) {
    this.#clock = parts.clock;
    this.#log = parts.log;
    this.#memory = parts.memory;
    this.#kept = parts.kept;
  }

  start(): void {
    this.#timer = this.#clock.every(CHECK_PERIOD, () => this.#check());
  }

  dispose(): void {
    this.#timer?.dispose();
  }

  #check(): void {
    const heap = getHeapStatistics();
    const { rss, external } = process.memoryUsage();
    const isHigh =
      heap.used_heap_size > heap.heap_size_limit * REPORTED_SHARE ||
      rss > this.#memory * BYTES_A_MEGABYTE * REPORTED_SHARE;
    const now = this.#clock.now();
    if (!isHigh || now - this.#loggedAt < LINE_PERIOD) {
      return;
    }
    this.#loggedAt = now;
    const { answers, answerPieces, requests } = this.#kept();
    this.#log.warn("memory_high", {
      heap_mb: megabytesOf(heap.used_heap_size),
      heap_limit_mb: megabytesOf(heap.heap_size_limit),
      external_mb: megabytesOf(external),
      resident_mb: megabytesOf(rss),
      limit_mb: this.#memory,
      answer_bytes: answers,
      answer_pieces: answerPieces,
      request_bytes: requests,
    });
  }
}

function megabytesOf(bytes: number): number {
  return Math.round(bytes / BYTES_A_MEGABYTE);
}
