/** Maintains one fabric domain's lease, plans its groups and sends orders. */
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import { DomainLease } from "../groups/domain_lease.ts";
import {
  checkDomainRecord,
  DOMAIN_KIND,
} from "../groups/domain_record_schema.ts";
import { LeaseState } from "../groups/lease_machine.ts";
import { planGroupChange } from "../groups/formation.ts";
import type {
  IFormationPolicy,
  IFormationView,
  IWantedGroups,
} from "../groups/formation.ts";
import { MemberMonitor } from "../groups/member_monitor.ts";
import type { IMemberMonitorPolicy } from "../groups/member_monitor.ts";
import { isRecordStale, planOrders } from "../groups/orders.ts";
import { LeaseActionKind } from "../groups/types.ts";
import type {
  IDomainRecord,
  ILeaseTiming,
  IVersionedRecord,
  LeaseAction,
} from "../groups/types.ts";
import { formatFinding } from "../plans/findings.ts";
import type { DaemonId, DomainName } from "../types.ts";
import { OrderSender } from "./order_sender.ts";
import { WriteFailureKind } from "./services.ts";
import type {
  IClock,
  ILiveDaemons,
  ILog,
  IPlatform,
  IPlatformObject,
  ITargets,
} from "./services.ts";
import type { TargetDirectory } from "./target_directory.ts";

/** How often lease, members and groups are checked, milliseconds. */
const TICK_INTERVAL = 100;

/**
 * Daemons of a zone that read a domain's record often. Three, so that two can
 * take over from a holder that dies. If all did, the 37 daemons of a zone at
 * the target size would use up the platform's read rate: see docs/DESIGN.md.
 */
const OBSERVERS = 3;

/** How many times less often the other daemons read it. */
const NON_OBSERVER_FACTOR = 10;

/** Dependencies of {@link DomainController}. */
export interface IDomainPorts {
  readonly platform: IPlatform;
  readonly targets: ITargets;
  readonly clock: IClock;
  readonly log: ILog;
  readonly directory: TargetDirectory;
  readonly live: ILiveDaemons;
}

/** Settings of a {@link DomainController}. */
export interface IDomainOptions {
  readonly daemon: DaemonId;
  readonly domain: DomainName;
  readonly lease: ILeaseTiming;
  readonly formation: IFormationPolicy;
  readonly memberMonitor: IMemberMonitorPolicy;
  /** How often an observer reads the record, milliseconds. */
  readonly observeEvery: number;
  /** Groups that the domain should have. */
  readonly wanted: () => readonly IWantedGroups[];
}

/** Observes one fabric domain; manages its groups while holding its lease. */
export class DomainController implements IDisposable {
  readonly #ports: IDomainPorts;
  readonly #options: IDomainOptions;
  readonly #lease: DomainLease;
  readonly #owned = new DisposableStore();
  readonly #memberMonitor: MemberMonitor;
  readonly #orders: OrderSender;
  #lastReadAt = Number.NEGATIVE_INFINITY;
  #isReading = false;
  #isClosing = false;

  constructor(ports: IDomainPorts, options: IDomainOptions) {
    this.#ports = ports;
    this.#options = options;
    this.#lease = new DomainLease(
      options.daemon,
      options.domain,
      options.lease,
    );
    this.#memberMonitor = new MemberMonitor(options.memberMonitor);
    this.#orders = new OrderSender(ports, () =>
      this.#lease.mayOrder(ports.clock.now()),
    );
  }

  get domain(): DomainName {
    return this.#options.domain;
  }

  get isHolding(): boolean {
    return this.#lease.state === LeaseState.Holding;
  }

  /** The newest record seen, or null. */
  get record(): IDomainRecord | null {
    return this.#lease.lastSeen?.record ?? null;
  }

  start(): void {
    void this.#read();
    this.#owned.add(this.#ports.clock.every(TICK_INTERVAL, () => this.#tick()));
  }

  /**
   * Releases the lease by a write, and stops. The next holder need not wait for
   * the lease to expire, so all orders must have been settled first: one that
   * arrived after the next holder's order would override it at an engine that
   * ignores fencing tokens.
   */
  async close(): Promise<void> {
    this.#isClosing = true;
    await this.#orders.drain();
    this.#owned.dispose();
    const actions = this.#lease.release(this.#ports.clock.now());
    await Promise.all(actions.map((action) => this.#perform(action)));
  }

  dispose(): void {
    this.#owned.dispose();
  }

  #tick(): void {
    const now = this.#ports.clock.now();
    this.#performAll(this.#lease.tick(now));
    const view = this.#formationView(now);
    this.#memberMonitor.update(view.instances, view.reports, now);
    if (this.#isReadDue(view)) {
      void this.#read();
    }
    if (!this.#isClosing && this.#lease.mayOrder(now)) {
      this.#reconcileGroups(now);
    }
  }

  #isReadDue(view: IFormationView): boolean {
    const { observeEvery } = this.#options;
    const elapsed = view.now - this.#lastReadAt;
    if (elapsed < observeEvery) {
      return false;
    }
    const duty = `observe ${this.domain}`;
    return (
      elapsed >= observeEvery * NON_OBSERVER_FACTOR ||
      this.record === null ||
      isRecordStale(this.record, view) ||
      this.#ports.live.isChosen(duty, OBSERVERS)
    );
  }

  #reconcileGroups(now: number): void {
    const record = this.record;
    if (record === null) {
      return;
    }
    const view = this.#formationView(now);
    const policy = this.#options.formation;
    const wanted = this.#options.wanted();
    const next = planGroupChange(record, wanted, view, policy);
    if (next !== null) {
      this.#performAll(this.#lease.changeGroups(next, now));
      return;
    }
    for (const order of planOrders(record, view, policy)) {
      this.#orders.send(order);
    }
  }

  #formationView(now: number): IFormationView {
    const { instances, reports } = this.#ports.directory;
    const domainInstances = [...instances.values()].filter(
      (instance) => instance.domain === this.domain && instance.service === "",
    );
    const { orderedAt } = this.#orders;
    return {
      instances: domainInstances,
      reports,
      now,
      orderedAt,
      monitor: this.#memberMonitor,
    };
  }

  #performAll(actions: readonly LeaseAction[]): void {
    for (const action of actions) {
      void this.#perform(action);
    }
  }

  async #perform(action: LeaseAction): Promise<void> {
    const { log } = this.#ports;
    const domain = this.domain;
    switch (action.kind) {
      case LeaseActionKind.Write:
        return this.#write(action.record, action.expectedVersion);
      case LeaseActionKind.Read:
        return this.#read();
      case LeaseActionKind.Acquired:
        log.info("lease_acquired", { domain, epoch: this.record?.epoch });
        return;
      case LeaseActionKind.Lost:
        log.info("lease_lost", { domain });
        return;
    }
  }

  async #write(
    record: IDomainRecord,
    expectedVersion: number | null,
  ): Promise<void> {
    const written = await this.#ports.platform.write({
      kind: DOMAIN_KIND,
      name: this.domain,
      value: record,
      expectedVersion,
    });
    if (written.isOk()) {
      this.#performAll(
        this.#lease.handleWriteSucceeded(record.attempt, written.value),
      );
      return;
    }
    const actions = this.#handleWriteFailure(
      written.error.kind,
      record.attempt,
    );
    if (!this.#isClosing) {
      this.#performAll(actions);
    }
  }

  #handleWriteFailure(
    failure: WriteFailureKind,
    attempt: string,
  ): readonly LeaseAction[] {
    switch (failure) {
      case WriteFailureKind.Conflict:
        return this.#lease.handleWriteConflict(attempt);
      case WriteFailureKind.NotApplied:
        return this.#lease.handleWriteFailed(attempt);
      case WriteFailureKind.Unknown:
        return this.#lease.handleWriteUnknown(attempt);
    }
  }

  async #read(): Promise<void> {
    if (this.#isReading) {
      return;
    }
    this.#isReading = true;
    this.#lastReadAt = this.#ports.clock.now();
    const found = await this.#ports.platform.read(DOMAIN_KIND, this.domain);
    this.#isReading = false;
    if (found.isErr()) {
      return;
    }
    const object = found.value.isSome() ? found.value.value : null;
    const seen = object === null ? null : this.#parseRecord(object);
    if (object !== null && seen === null) {
      return;
    }
    const now = this.#ports.clock.now();
    this.#performAll(this.#lease.observe(seen, now));
  }

  #parseRecord(object: IPlatformObject): IVersionedRecord | null {
    const checked = checkDomainRecord(object.name, object.value);
    if (checked.isOk()) {
      return { version: object.version, record: checked.value };
    }
    for (const finding of checked.error) {
      const detail = formatFinding(finding);
      this.#ports.log.error("domain_record_bad", { finding: detail });
    }
    return null;
  }
}
