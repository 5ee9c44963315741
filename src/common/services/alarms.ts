/** What is degraded in this daemon, and since when. */
import type { IClock, ILog, IMetrics } from "./services.ts";

/** Something that does not work as it should but has not stopped service. */
export interface IAlarm {
  /** Names the kind; docs/OPERATORS.md says what each means. */
  readonly alarm: AlarmName;
  readonly detail: string;
  /** Calendar time as milliseconds since 1970. */
  readonly since: number;
}

/** The kinds of alarm. */
export enum AlarmName {
  /** No good version of a plan list is known: callers are refused. */
  PlanListsUnknown = "plan_lists_unknown",
  /** The platform does not answer reads of the plan lists. */
  PlanListsUnconfirmed = "plan_lists_unconfirmed",
  /** The platform holds an older plan list than the one in force. */
  PlatformBehind = "platform_behind",
  /** A newer plan list has findings and is not in force. */
  PlanListRefused = "plan_list_refused",
  /** Customers in force name a plan that is not in the list. */
  CustomerWithoutPlan = "customer_without_plan",
  /** Replica groups of the zone cannot serve: members are missing. */
  GroupsDown = "groups_down",
}

/** Raised alarms; each is logged when it is raised and when it is cleared. */
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
    const known = this.#raised.get(alarm);
    if (detail !== null) {
      const since = known?.since ?? this.#clock.calendar();
      this.#raised.set(alarm, { alarm, detail, since });
    } else {
      this.#raised.delete(alarm);
    }
    const isRaised = detail !== null;
    if (isRaised !== (known !== undefined)) {
      this.#metrics.gauge("alarm", isRaised ? 1 : 0, { alarm });
      const event = isRaised ? "alarm_raised" : "alarm_cleared";
      this.#log.warn(event, { alarm, detail: detail ?? known?.detail });
    }
  }
}
