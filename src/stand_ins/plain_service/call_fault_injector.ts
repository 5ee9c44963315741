/** Injects faults into the calls of a plain service. */

/** Faults, set with `PUT /fault {fault}` and active until another is set. */
export enum CallFault {
  None = "none",
  /** Waits before running the call, until another fault is set. */
  PauseBeforeRun = "pause_before",
  /** Runs the call, then waits until another fault is set. */
  PauseAfterRun = "pause_after",
  /** Kills the process before it runs the call. */
  CrashBeforeRun = "die_before",
  /** Kills the process after it ran the call, before it answers. */
  CrashAfterRun = "die_after",
  /** Runs the call and breaks the connection instead of answering. */
  LoseAnswer = "lose_answer",
  /** Runs the call and answers with the id of another request. */
  ForeignAnswer = "cross_answer",
  /** Refuses calls as a leaving instance does, but does not report it. */
  Refuse = "refuse",
  /** Rejects calls and names a time for which it wants no more. */
  Overload = "overload",
}

/** Points in a call at which faults occur. */
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

/** Holds the active fault and the calls that it pauses. */
export class CallFaultInjector {
  #fault = CallFault.None;
  readonly #waiting = new Set<() => void>();

  get fault(): CallFault {
    return this.#fault;
  }

  /** Number of calls paused now. */
  get pausedCalls(): number {
    return this.#waiting.size;
  }

  /** Sets the fault by its name, else none, and resumes paused calls. */
  set(name: unknown): void {
    this.#fault =
      Object.values(CallFault).find((fault) => fault === name) ??
      CallFault.None;
    for (const resume of this.#waiting) {
      resume();
    }
    this.#waiting.clear();
  }

  /** Applies the active fault if it occurs at this point of a call. */
  async applyAt(point: CallPoint): Promise<void> {
    if (this.#fault === CRASHES[point]) {
      process.kill(process.pid, "SIGKILL");
    }
    if (this.#fault === PAUSES[point]) {
      await new Promise<void>((resolve) => this.#waiting.add(resolve));
    }
  }
}
