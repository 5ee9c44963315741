/** Alarms of this daemon: degraded conditions, and since when they exist. */
import type { IClock, ILog, IMetrics } from "./services.ts";

/** A fault that has not stopped service. */
export interface IAlarm {
  /** The kind of alarm; docs/OPERATORS.md explains each. */
  readonly alarm: AlarmName;
  readonly detail: string;
  /** Wall-clock time, milliseconds since 1970. */
  readonly since: number;
}

/** The kinds of alarm. */
export enum AlarmName {
  /** No valid version of a plan list is known: callers are refused. */
  PlanListsUnknown = "plan_lists_unknown",
  /** Reads of the plan lists from the platform fail. */
  PlanListsUnconfirmed = "plan_lists_unconfirmed",
  /** The platform holds an older plan list than the one in force. */
  PlatformBehind = "platform_behind",
  /** A newer plan list has findings and is not in force. */
  PlanListRefused = "plan_list_refused",
  /** The customers list in force names a plan that does not exist. */
  CustomerWithoutPlan = "customer_without_plan",
  /** Replica groups of the zone cannot serve: members are missing. */
  GroupsDown = "groups_down",
}

/** Tracks raised alarms; logs each when it is raised and when it is cleared. */
export class Alarms {
  readonly #clock: IClock;
  readonly #log: ILog;
  readonly #metrics: IMetrics;
  readonly #raised = new Map<AlarmName, IAlarm>();

  constructor(clock: IClock, log: ILog, options: { metrics: IMetrics }) {
    this.#clock = clock;
    this.#log = log;
    this.#metrics = options.metrics;
  }

  get raised(): readonly IAlarm[] {
    return [...this.#raised.values()];
  }

  /** Raises or clears an alarm; null clears. */
  set(alarm: AlarmName, detail: string | null): void {
    const current = this.#raised.get(alarm);
    if (detail !== null) {
      const since = current?.since ?? this.#clock.calendar();
      this.#raised.set(alarm, { alarm, detail, since });
    } else {
      this.#raised.delete(alarm);
    }
    const isRaised = detail !== null;
    if (isRaised !== (current !== undefined)) {
      this.#metrics.gauge("alarm", isRaised ? 1 : 0, { alarm });
      const event = isRaised ? "alarm_raised" : "alarm_cleared";
      this.#log.warn(event, { alarm, detail: detail ?? current?.detail });
    }
  }
}
