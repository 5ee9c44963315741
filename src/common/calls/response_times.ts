/** How long the targets of each service take to answer a call. */
import type { IDisposable } from "../disposable.ts";
import type { MonotonicTime, ServiceName } from "../types.ts";
import { HighEndEstimator } from "./high_end_estimator.ts";

/** Open calls that count; further ones hardly change an estimate. */
const MAXIMUM_OPEN = 16;

interface IServiceTimes {
  readonly highEnd: HighEndEstimator;
  /** Sends without an answer, in the order in which they were sent. */
  readonly open: Set<OpenSend>;
}

/** One send that has no answer yet. */
export class OpenSend implements IDisposable {
  readonly sentAt: MonotonicTime;
  readonly #times: IServiceTimes;

  constructor(sentAt: MonotonicTime, times: IServiceTimes) {
    this.sentAt = sentAt;
    this.#times = times;
    times.open.add(this);
  }

  /** Records a complete response. */
  complete(now: MonotonicTime): void {
    if (this.#times.open.delete(this)) {
      this.#times.highEnd.addSample(now - this.sentAt);
    }
  }

  /** Ends it without an answer that tells its time. */
  dispose(): void {
    this.#times.open.delete(this);
  }
}

/** Response times by service. */
export class ResponseTimes {
  readonly #services = new Map<ServiceName, IServiceTimes>();

  /** Begins the time of a send. */
  startSend(service: ServiceName, now: MonotonicTime): OpenSend {
    return new OpenSend(now, this.#timesOf(service));
  }

  /**
   * The high end, milliseconds. Open sends that have lasted longer count as if
   * they ended now: without them, targets that became slow would look fast until
   * their first answers.
   *
   * @param unseen - the time without any complete response, milliseconds
   */
  expectedTime(
    service: ServiceName,
    { now, unseen }: { readonly now: MonotonicTime; readonly unseen: number },
  ): number {
    const { highEnd, open } = this.#timesOf(service);
    const expected = new HighEndEstimator();
    expected.addSample(highEnd.estimate ?? unseen);
    let counted = 0;
    for (const { sentAt } of open) {
      const age = now - sentAt;
      if (counted >= MAXIMUM_OPEN || age <= (expected.estimate ?? 0)) {
        break;
      }
      expected.addSample(age);
      counted += 1;
    }
    return expected.estimate ?? unseen;
  }

  #timesOf(service: ServiceName): IServiceTimes {
    const known = this.#services.get(service);
    if (known !== undefined) {
      return known;
    }
    const times = {
      highEnd: new HighEndEstimator(),
      open: new Set<OpenSend>(),
    };
    this.#services.set(service, times);
    return times;
  }
}
