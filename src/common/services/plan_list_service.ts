/** Maintains the plan lists in force, from the platform and from peers. */
import type { IDisposable } from "../disposable.ts";
import { DisposableStore } from "../disposable.ts";
import { Emitter } from "../emitter.ts";
import { formatFinding } from "../plans/findings.ts";
import { parsePlanListName, parseListObject } from "../plans/list_object.ts";
import { OfferResult, EffectivePlans } from "../plans/effective_plans.ts";
import { PlanListName } from "../plans/types.ts";
import type { IFinding, IListText } from "../plans/types.ts";
import type { MonotonicTime } from "../types.ts";
import { AlarmName } from "./alarms.ts";
import type { Alarms } from "./alarms.ts";
import { PlanListFollower } from "./plan_list_follower.ts";
import type { IFollowTiming } from "./plan_list_follower.ts";
import type {
  IClock,
  IListVersion,
  ILog,
  IMetrics,
  IPlatform,
  IPlatformObject,
  IRandom,
} from "./services.ts";

/** How often the gauges of the lists are updated, milliseconds. */
const GAUGE_INTERVAL = 1_000;

/** Dependencies of {@link PlanListService}. */
export interface IPlanListPorts {
  readonly platform: IPlatform;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly alarms: Alarms;
}

/** Whether this daemon watches on behalf of its zone. */
export interface IWatchDuty {
  isWatcher(): boolean;
}

/** Keeps an {@link EffectivePlans} up to date. */
export class PlanListService implements IDisposable {
  readonly #ports: IPlanListPorts;
  readonly #plans = new EffectivePlans();
  readonly #owned = new DisposableStore();
  readonly #adopted = this.#owned.add(new Emitter<IListText>());
  readonly #unknownObjects = new Map<string, readonly IFinding[]>();
  #confirmedAt: MonotonicTime | null = null;
  #hasAskedPlatform = false;
  #hasAskedPeers = false;

  /** Fires for each list that comes into force. */
  readonly onAdopted = this.#adopted.event;

  constructor(ports: IPlanListPorts) {
    this.#ports = ports;
  }

  get plans(): EffectivePlans {
    return this.#plans;
  }

  /**
   * Whether callers may be served by these lists: both are known, and platform
   * and peers have been asked. A daemon that trusted the first answer alone
   * could serve by a stale read while other daemons hold a newer list.
   */
  get isReady(): boolean {
    return (
      this.#plans.isComplete && this.#hasAskedPlatform && this.#hasAskedPeers
    );
  }

  /** Milliseconds since the platform last confirmed the lists, or null. */
  get age(): number | null {
    const confirmedAt = this.#confirmedAt;
    const now = this.#ports.clock.now();
    return confirmedAt === null ? null : Math.round(now - confirmedAt);
  }

  /** Versions in force, to be sent to peers; 0 where none is known. */
  get versions(): readonly IListVersion[] {
    return Object.values(PlanListName).map((list) => ({
      list,
      version: this.#plans.version(list) ?? 0,
    }));
  }

  /** Problems with the lists and with other objects of their kind. */
  get findings(): readonly IFinding[] {
    return [
      ...this.#plans.findings,
      ...[...this.#unknownObjects.values()].flat(),
    ];
  }

  /** Follows the platform until disposed. */
  start(duty: IWatchDuty, timing: IFollowTiming): void {
    const follower = new PlanListFollower(this.#ports, {
      timing,
      events: {
        isWatcher: () => duty.isWatcher(),
        changed: (object) => this.#handleObject(object),
        listed: (objects) => this.#handleListed(objects),
        confirmed: () => this.#handleConfirmed(),
        failed: (detail) => this.#handleFailure(detail),
      },
    });
    this.#owned.add(follower);
    this.#owned.add(
      this.#ports.clock.every(GAUGE_INTERVAL, () => this.#updateGauges()),
    );
    this.#updateUnknownAlarm();
    void follower.run();
  }

  /** Records that all reachable peers were asked, or that there are none. */
  markPeersAsked(): void {
    this.#hasAskedPeers = true;
  }

  /** Accepts a list from any source; older versions are ignored. */
  offer(text: IListText): OfferResult {
    const { list, version } = text;
    const adoption = this.#plans.offer(text);
    if (adoption === OfferResult.Adopted) {
      this.#ports.log.info("plan_list_adopted", { list, version });
      this.#updateUnknownAlarm();
      this.#updateAccountsAlarm();
      this.#adopted.fire(text);
    }
    this.#reportRefusal(list, adoption);
    return adoption;
  }

  dispose(): void {
    this.#owned.dispose();
  }

  #handleListed(objects: readonly IPlatformObject[]): void {
    this.#unknownObjects.clear();
    objects.forEach((object) => this.#handleObject(object));
    this.#updateBehindAlarm(objects);
  }

  #handleObject(object: IPlatformObject): void {
    const text = parseListObject(object);
    if (text.isOk()) {
      this.offer(text.value);
      return;
    }
    const list = parsePlanListName(object.name);
    const { version } = object;
    if (list === null) {
      this.#unknownObjects.set(object.name, text.error);
      return;
    }
    const refused = { version, findings: text.error };
    this.#reportRefusal(list, this.#plans.recordRefusal(list, refused));
  }

  #handleConfirmed(): void {
    this.#confirmedAt = this.#ports.clock.now();
    this.#hasAskedPlatform = true;
    this.#ports.alarms.set(AlarmName.PlanListsUnconfirmed, null);
  }

  #handleFailure(detail: string): void {
    this.#hasAskedPlatform = true;
    this.#ports.alarms.set(AlarmName.PlanListsUnconfirmed, detail);
  }

  /**
   * Raises an alarm while the platform does not hold the lists in force.
   * After a stale read the alarm clears by itself; after the platform was
   * restored from an older copy it stays until an operator acts.
   */
  #updateBehindAlarm(objects: readonly IPlatformObject[]): void {
    const behind = this.versions.filter(({ list, version }) => {
      const object = objects.find(({ name }) => name === list);
      const text = object ? parseListObject(object) : null;
      const inForce = this.#plans.text(list);
      return text?.isOk()
        ? text.value.version < version ||
            (text.value.version === version &&
              text.value.text !== inForce?.text)
        : object === undefined && version > 0;
    });
    const names = behind.map(({ list, version }) => `${list}=${version}`);
    const detail = `in force, not on the platform: ${names.join(" ")}`;
    this.#ports.alarms.set(
      AlarmName.PlatformBehind,
      behind.length === 0 ? null : detail,
    );
  }

  #updateUnknownAlarm(): void {
    const missing = this.versions
      .filter(({ version }) => version === 0)
      .map(({ list }) => list);
    const detail = `no good version known: ${missing.join(" ")}`;
    this.#ports.alarms.set(
      AlarmName.PlanListsUnknown,
      missing.length === 0 ? null : detail,
    );
  }

  #updateAccountsAlarm(): void {
    const [first, ...rest] = this.#plans.missingPlanFindings;
    const more = rest.length === 0 ? "" : ` and ${rest.length} more`;
    const detail = first ? `${formatFinding(first)}${more}` : null;
    this.#ports.alarms.set(AlarmName.CustomerWithoutPlan, detail);
  }

  #reportRefusal(list: PlanListName, adoption: OfferResult): void {
    const { alarms, log, metrics } = this.#ports;
    const refused = Object.values(PlanListName).flatMap((name) => {
      const entry = this.#plans.newestRefused(name);
      return entry ? [`${name}=${entry.version}`] : [];
    });
    const detail = refused.length === 0 ? null : refused.join(" ");
    alarms.set(AlarmName.PlanListRefused, detail);
    const newest = this.#plans.newestRefused(list);
    if (adoption !== OfferResult.Refused || newest === null) {
      return;
    }
    metrics.count("plan_lists_refused", { list });
    for (const finding of newest.findings) {
      const { version } = newest;
      const text = formatFinding(finding);
      log.warn("plan_list_refused", { list, version, finding: text });
    }
  }

  #updateGauges(): void {
    const { metrics } = this.#ports;
    for (const { list, version } of this.versions) {
      metrics.gauge("plan_list_version", version, { list });
    }
    if (this.age !== null) {
      metrics.gauge("plan_lists_age_milliseconds", this.age);
    }
  }
}
