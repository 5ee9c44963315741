/** Faults that a plain service is told to meet, one call after another. */

/** What happens to a call, told by `PUT /fault {fault}`. */
export enum CallFault {
  None = "none",
  /** Waits before acting, until another fault is set. */
  PauseBeforeRun = "pause_before",
  /** Acts, then waits before answering, until another fault is set. */
  PauseAfterRun = "pause_after",
  /** The process dies before acting. */
  CrashBeforeRun = "die_before",
  /** The process dies after acting, before answering. */
  CrashAfterRun = "die_after",
  /** Acts, and its connection breaks in place of the answer. */
  LoseAnswer = "lose_answer",
  /** Answers with another request's id. */
  ForeignAnswer = "cross_answer",
  /** Answers as leaving, without acting and without reporting it. */
  Refuse = "refuse",
}

/** Where in a call a fault is met. */
export enum CallPoint {
  BeforeRun = "before",
  AfterRun = "after",
}

const PAUSES: Readonly<Record<CallPoint, CallFault>> = {
  [CallPoint.BeforeRun]: CallFault.PauseBeforeRun,
  [CallPoint.AfterRun]: CallFault.PauseAfterRun,
};

const CRASHES: Readonly<Record<CallPoint, CallFault>> = {
  [CallPoint.BeforeRun]: CallFault.CrashBeforeRun,
  [CallPoint.AfterRun]: CallFault.CrashAfterRun,
};

/** The fault in force, and the calls that wait in it. */
export class CallFaultInjector {
  #fault = CallFault.None;
  readonly #waiting = new Set<() => void>();

  get fault(): CallFault {
    return this.#fault;
  }

  /** Calls held at a pause. */
  get pausedCalls(): number {
    return this.#waiting.size;
  }

  /** Sets a fault by its name and lets paused calls go on. */
  set(name: unknown): void {
    this.#fault =
      Object.values(CallFault).find((fault) => fault === name) ??
      CallFault.None;
    for (const goOn of this.#waiting) {
      goOn();
    }
    this.#waiting.clear();
  }

  /** Meets the fault in force at a point of a call, if it is one for there. */
  async applyAt(point: CallPoint): Promise<void> {
    if (this.#fault === CRASHES[point]) {
      process.kill(process.pid, "SIGKILL");
    }
    if (this.#fault === PAUSES[point]) {
      await new Promise<void>((resolve) => this.#waiting.add(resolve));
    }
  }
}
