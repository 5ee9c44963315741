/**
 * Manages the replica groups of one service: adopts existing ones, and opens,
 * closes and dissolves them. Pure: takes the current view of the engines and
 * the time, and returns orders. {@link planGroups} decides which groups to
 * form.
 *
 * Two rules prevent requests that stall in a group whose members all look
 * healthy. A member joins another group only after its old head has stopped
 * taking requests, or after it has left that group itself; otherwise that head
 * serves without one of its members, and its requests stall. A group opens only
 * when each member has its weights; otherwise it answers from a partly loaded
 * model.
 *
 * Orders may be carried out seconds after they were sent, also those of a
 * former holder. So a join names the number of orders that its engine had begun
 * when it was found free, and the engine refuses it after any other order; and a
 * head that a late order has closed is ordered to open again.
 */
import { GroupMemberState } from "../calls/types.ts";
import type { IModel } from "../calls/types.ts";
import type { InstanceId, MonotonicTime } from "../types.ts";
import { canReopen, isHeadClosed, phaseOfAdopted } from "./closed_head.ts";
import { Departures } from "./departures.ts";
import type { IEngineView } from "./engine_registry.ts";
import { GroupAdoption } from "./group_adoption.ts";
import type { IDiscoveredGroup } from "./group_adoption.ts";
import { findHeadRelease, hasStopped } from "./head_release.ts";
import {
  GroupPhase,
  GroupTrouble,
  hasRequests,
  isReady,
  membershipIn,
  troubleOf,
} from "./replica_group.ts";
import type { IManagedGroup } from "./replica_group.ts";
import { ReleasedGroups } from "./released_groups.ts";
import { OrderAnswers } from "./order_answers.ts";
import type { IJoinConflict } from "./order_answers.ts";
import { OrderKind } from "./types.ts";
import type { EngineOrder, IGroupPlan } from "./types.ts";

/** Maximum time for a closing head to finish its requests, milliseconds. */
const MAX_CLOSING_TIME = 2_500;

/**
 * A group that is incomplete after this multiple of the load time is abandoned.
 * Loads beyond the store's rate take longer than the load time.
 */
const FORMING_FACTOR = 2.5;

/**
 * Time beyond the platform's stall time that a new holder waits for a head that
 * is not listed, milliseconds. One that is cut off from its members is broken
 * by then.
 */
const STALL_MARGIN = 1_000;

/** Timing of the platform's engines, milliseconds. */
export interface IGroupTiming {
  /** A head without one of its members breaks after this time. */
  readonly stallTime: number;
  /** How far reports lag behind; read on every pass. */
  readonly reportLag: () => number;
  /** From the order to open until the head takes requests. */
  readonly openTime: () => number;
}

/** Tolerance for reports older than their usual lag, milliseconds. */
export const REPORT_LAG_MARGIN = 100;

/** Engines by id. */
export type EngineViews = ReadonlyMap<InstanceId, IEngineView>;

/** Prefix of single-engine groups that only hold a model and never open. */
const WARM_PREFIX = "warm-";

/** Returns the name of a group that is never opened. */
export function warmGroupName(epoch: number): string {
  return `${WARM_PREFIX}${epoch}`;
}

function isWarmGroup(name: string): boolean {
  return name.startsWith(WARM_PREFIX);
}

/** An order and the engine that receives it. */
export interface IAddressedOrder {
  readonly engine: InstanceId;
  readonly order: EngineOrder;
}

/** A phase change of a group, for the log. */
export interface IGroupChange {
  readonly group: IManagedGroup;
  readonly from: GroupPhase | null;
  /** Null once the group is removed. */
  readonly to: GroupPhase | null;
}

/** Controls the replica groups of one service. */
export class GroupController {
  readonly #groups = new Map<string, IManagedGroup>();
  readonly #adoption: GroupAdoption;
  readonly #times: IGroupTiming;
  readonly #findModel: (name: string) => IModel | null;
  #changes: IGroupChange[] = [];
  readonly #released = new ReleasedGroups();
  readonly #departures = new Departures();
  readonly #answers = new OrderAnswers();

  constructor(times: IGroupTiming, findModel: (name: string) => IModel | null) {
    this.#times = times;
    this.#findModel = findModel;
    this.#adoption = new GroupAdoption(findModel, {
      isKnown: (view) => this.#isKnown(view),
      isReleased: (name) => this.#released.has(name),
    });
  }

  get groups(): readonly IManagedGroup[] {
    return [...this.#groups.values()];
  }

  /**
   * Groups that will not serve again. An incomplete adopted group may serve
   * again until its members are released, since others may still report.
   */
  abandonedGroups(now: MonotonicTime): readonly string[] {
    const dissolving = this.groups.filter(
      (group) =>
        group.phase === GroupPhase.Dissolving &&
        (group.trouble !== GroupTrouble.Incomplete ||
          group.release !== null ||
          this.#hasHeadLeft(group)),
    );
    return [
      ...dissolving.map(({ plan }) => plan.group),
      ...this.#released.recent(now),
    ];
  }

  /** Returns the changes since the last call. */
  takeChanges(): readonly IGroupChange[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  /** Discards all state, since another holder may have acted. */
  clear(): void {
    this.#groups.clear();
    this.#released.clear();
    this.#departures.clear();
    this.#answers.clear();
    this.#adoption.clear();
  }

  /** Adds a group; the next pass orders its members to join. */
  form(plan: IGroupPlan, views: EngineViews, now: MonotonicTime): void {
    this.#add(
      this.#createGroup(plan, views, { phase: GroupPhase.Forming, now }),
    );
  }

  /** Handles a member's acceptance of the order to join. */
  handleJoined(name: string, member: InstanceId, now: MonotonicTime): void {
    this.#groups.get(name)?.joined.set(member, now);
  }

  /** Handles an engine's answer to any order. */
  handleAnswered(engine: InstanceId, now: MonotonicTime): void {
    this.#answers.record(engine, now);
  }

  /** Handles a join that did not fit the state of the engine. */
  handleConflict(
    engine: InstanceId,
    conflict: IJoinConflict,
    now: MonotonicTime,
  ): void {
    this.#answers.recordConflict(engine, conflict, now);
  }

  /** Whether an engine's report shows all orders that it has answered. */
  isCurrent(view: IEngineView): boolean {
    return this.#answers.areShown(view, this.#maxReportLag);
  }

  /**
   * Closes a serving group so that its members can serve another model: it
   * finishes its running requests.
   */
  close(name: string, now: MonotonicTime): void {
    const group = this.#groups.get(name);
    if (group?.phase === GroupPhase.Serving) {
      group.trouble = GroupTrouble.Reassigned;
      this.#setPhase(group, GroupPhase.Closing, now);
    }
  }

  /** Abandons a serving group at once so that a better one can be formed. */
  abandon(name: string, trouble: GroupTrouble, now: MonotonicTime): void {
    const group = this.#groups.get(name);
    if (group?.phase === GroupPhase.Serving) {
      this.#dissolve(group, trouble, now);
    }
  }

  /**
   * Handles the head's acceptance of the order to open; it serves after the
   * open time.
   */
  handleOpened(name: string, now: MonotonicTime): void {
    const group = this.#groups.get(name);
    if (group !== undefined) {
      group.openedAt ??= now;
    }
  }

  /** Handles a member's acceptance of an order to leave, which acts at once. */
  handleLeft(name: string, member: InstanceId, now: MonotonicTime): void {
    this.#departures.record(member, name, now);
  }

  /** Handles a refused order: the group cannot become complete. */
  handleRefused(name: string, now: MonotonicTime): void {
    const group = this.#groups.get(name);
    if (group?.phase === GroupPhase.Forming) {
      this.#dissolve(group, GroupTrouble.OrderRefused, now);
    }
  }

  /** Updates all groups and returns the orders that are due. */
  reconcile(
    views: EngineViews,
    now: MonotonicTime,
  ): readonly IAddressedOrder[] {
    this.#departures.retainOnly(views);
    this.#answers.retainOnly(views);
    this.#released.updateHeads(views);
    this.#adopt(views, now);
    const orders: IAddressedOrder[] = [];
    for (const group of this.#groups.values()) {
      this.#updatePhase(group, views, now);
      orders.push(...this.#ordersFor(group, views));
    }
    return orders;
  }

  /** Returns engines that are in no group and may join one. */
  freeEngines(views: EngineViews): readonly IEngineView[] {
    const taken = new Set<InstanceId>();
    for (const { plan } of this.#groups.values()) {
      plan.members.forEach((member) => taken.add(member));
    }
    return [...views.values()].filter(
      (view) =>
        isJoinable(view) &&
        view.isConfirmed &&
        !view.isDraining &&
        view.state !== null &&
        !taken.has(view.target.id) &&
        this.#isUnassigned(view),
    );
  }

  /** Whether the engine's own report ties it to no group that may be open. */
  #isUnassigned(view: IEngineView): boolean {
    const membership = view.state?.membership ?? null;
    if (membership === null) {
      return true;
    }
    const isManaged = this.#groups.has(membership.group);
    return !isManaged && this.#isKnown(view);
  }

  #updatePhase(
    group: IManagedGroup,
    views: EngineViews,
    now: MonotonicTime,
  ): void {
    if (group.phase === GroupPhase.Dissolving) {
      this.#updateDissolving(group, views, now);
      return;
    }
    const trouble = this.#troubleOf(group, views);
    if (trouble === GroupTrouble.MemberDraining && hasRequests(group.phase)) {
      group.trouble = trouble;
      this.#setPhase(group, GroupPhase.Closing, now);
      this.#updateClosing(group, views, now);
    } else if (trouble !== null) {
      this.#dissolve(group, trouble, now);
    } else if (group.phase === GroupPhase.Closing) {
      this.#updateClosing(group, views, now);
    } else if (group.phase === GroupPhase.Forming) {
      this.#updateForming(group, views, now);
    } else if (group.phase === GroupPhase.Serving) {
      this.#updateServing(group, views, now);
    } else {
      this.#updateOpening(group, views, now);
    }
  }

  #updateServing(
    group: IManagedGroup,
    views: EngineViews,
    now: MonotonicTime,
  ): void {
    const head = views.get(group.head ?? "");
    if (isHeadClosed(group, head, this.#maxReportLag)) {
      group.openedAt = null;
      this.#setPhase(group, GroupPhase.Reopening, now);
    }
  }

  #updateOpening(
    group: IManagedGroup,
    views: EngineViews,
    now: MonotonicTime,
  ): void {
    const head = views.get(group.head ?? "");
    const isOpen = membershipIn(group, head)?.state === GroupMemberState.Open;
    // Reports show the open state later, by their lag and period.
    const openTime = this.#times.openTime();
    const isDue = group.openedAt !== null && now - group.openedAt >= openTime;
    if (isOpen || isDue) {
      this.#setPhase(group, GroupPhase.Serving, now);
    }
  }

  #updateForming(
    group: IManagedGroup,
    views: EngineViews,
    now: MonotonicTime,
  ): void {
    const { members, model } = group.plan;
    this.#recordReportedJoins(group, views);
    const trouble = this.#joinTroubleOf(group, views);
    if (trouble !== null) {
      this.#dissolve(group, trouble, now);
      return;
    }
    if (members.every((member) => isReady(group, member, views.get(member)))) {
      this.#setPhase(group, GroupPhase.Opening, now);
      return;
    }
    const loadTime = this.#findModel(model)?.loadTime ?? 0;
    if (now - group.phaseSince > loadTime * FORMING_FACTOR) {
      this.#dissolve(group, GroupTrouble.TooSlow, now);
    }
  }

  /** An unanswered join may have been carried out. */
  #recordReportedJoins(group: IManagedGroup, views: EngineViews): void {
    for (const member of unjoinedMembers(group)) {
      const view = views.get(member);
      if (view?.isConfirmed && membershipIn(group, view) !== null) {
        group.joined.set(member, view.askedAt);
      }
    }
  }

  /** Returns why a member cannot be ordered to join; null if nothing is wrong. */
  #joinTroubleOf(
    group: IManagedGroup,
    views: EngineViews,
  ): GroupTrouble | null {
    for (const member of unjoinedMembers(group)) {
      const view = views.get(member);
      if (view === undefined || !this.isCurrent(view)) {
        continue;
      }
      if (!this.#isUnassigned(view)) {
        return GroupTrouble.MemberElsewhere;
      }
      if (this.#answers.isConflictUnexplained(view, group.plan.group)) {
        return GroupTrouble.OrderRefused;
      }
    }
    return null;
  }

  #updateClosing(
    group: IManagedGroup,
    views: EngineViews,
    now: MonotonicTime,
  ): void {
    const state = membershipIn(group, views.get(group.head ?? ""))?.state;
    const isIdle = state === GroupMemberState.Ready;
    if (isIdle || now - group.phaseSince > MAX_CLOSING_TIME) {
      const trouble = group.trouble ?? GroupTrouble.MemberDraining;
      this.#dissolve(group, trouble, now);
    }
  }

  #troubleOf(group: IManagedGroup, views: EngineViews): GroupTrouble | null {
    let draining: GroupTrouble | null = null;
    for (const member of group.plan.members) {
      const view = views.get(member);
      const trouble = troubleOf(group, member, {
        view,
        reportLag: this.#maxReportLag,
      });
      if (trouble === GroupTrouble.MemberDraining) {
        draining = trouble;
      } else if (trouble !== null) {
        return trouble;
      }
    }
    return draining;
  }

  #updateDissolving(
    group: IManagedGroup,
    views: EngineViews,
    now: MonotonicTime,
  ): void {
    const name = group.plan.group;
    const isReleasedBefore = this.#released.has(name);
    const head = views.get(group.head ?? "") ?? null;
    group.release = findHeadRelease(group, {
      head,
      hasLeft: this.#hasHeadLeft(group),
      now,
      timing: {
        returnTime: isReleasedBefore ? 0 : this.#times.stallTime + STALL_MARGIN,
        reportLag: this.#maxReportLag,
      },
    });
    if (group.release === null) {
      return;
    }
    const hasHeadStopped = hasStopped(group, head);
    const members = group.plan.members.map((member) => views.get(member));
    if (
      hasHeadStopped ||
      members.every((member) => this.#isOut(group, member))
    ) {
      this.#groups.delete(name);
      const stoppedHead = hasHeadStopped ? head : null;
      this.#released.add(name, { at: now, stoppedHead });
      this.#changes.push({ group, from: group.phase, to: null });
    }
  }

  #hasHeadLeft({ head, plan }: IManagedGroup): boolean {
    return head !== null && this.#departures.hasLeft(head, plan.group);
  }

  /** Whether a member has left a group, or cannot be joined to another. */
  #isOut(group: IManagedGroup, member: IEngineView | undefined): boolean {
    if (member === undefined || !isJoinable(member)) {
      return true;
    }
    const hasReported = member.askedAt > group.phaseSince + this.#maxReportLag;
    return (
      this.#departures.hasLeft(member.target.id, group.plan.group) ||
      (hasReported && membershipIn(group, member) === null)
    );
  }

  #ordersFor(
    group: IManagedGroup,
    views: EngineViews,
  ): readonly IAddressedOrder[] {
    const { plan, head } = group;
    const { group: name, epoch } = plan;
    switch (group.phase) {
      case GroupPhase.Forming:
        return this.#joinOrders(group, views);
      case GroupPhase.Opening:
        return addressed(head, { kind: OrderKind.Open, group: name, epoch });
      case GroupPhase.Reopening:
        return canReopen(group, views)
          ? addressed(head, { kind: OrderKind.Open, group: name, epoch })
          : [];
      case GroupPhase.Closing:
        return membershipIn(group, views.get(head ?? ""))?.state ===
          GroupMemberState.Open
          ? addressed(head, { kind: OrderKind.Close, group: name, epoch })
          : [];
      case GroupPhase.Dissolving:
        return this.#leavingMembers(group, views).map((engine) => ({
          engine,
          order: { kind: OrderKind.Leave, group: name, epoch },
        }));
      default:
        return [];
    }
  }

  #joinOrders(
    group: IManagedGroup,
    views: EngineViews,
  ): readonly IAddressedOrder[] {
    const { plan } = group;
    return unjoinedMembers(group).flatMap((engine) => {
      const view = views.get(engine);
      const isDue =
        view?.isConfirmed === true &&
        this.isCurrent(view) &&
        this.#isUnassigned(view);
      if (!isDue) {
        return [];
      }
      const expectedOrderCount = view.orderCount;
      const order = { kind: OrderKind.Join as const, plan, expectedOrderCount };
      return [{ engine, order }];
    });
  }

  /** The members to order to leave: the head, or all where it may serve on. */
  #leavingMembers(
    group: IManagedGroup,
    views: EngineViews,
  ): readonly InstanceId[] {
    const { plan, head, release } = group;
    if (release === null) {
      return head === null ? [] : [head];
    }
    if (hasStopped(group, views.get(head ?? "") ?? null)) {
      return [];
    }
    return plan.members.filter((member) => {
      const view = views.get(member);
      const hasLeft = this.#departures.hasLeft(member, plan.group);
      return view !== undefined && isJoinable(view) && !hasLeft;
    });
  }

  /** Adopts groups that engines report and this process does not know. */
  #adopt(views: EngineViews, now: MonotonicTime): void {
    this.#removeOutgrown(views);
    for (const found of this.#adoption.findAdoptable(views, now)) {
      this.#adoptGroup(found, views, now);
    }
  }

  /**
   * Removes an incomplete adopted group when another member reports, so that
   * the group is adopted again with it: that member may be its open head.
   */
  #removeOutgrown(views: EngineViews): void {
    for (const view of views.values()) {
      const group = this.#groups.get(view.state?.membership?.group ?? "");
      const isOutgrown =
        group !== undefined &&
        group.trouble === GroupTrouble.Incomplete &&
        view.isConfirmed &&
        !this.#hasHeadLeft(group) &&
        !group.plan.members.includes(view.target.id) &&
        !this.#hasNoEffect(view);
      if (isOutgrown) {
        this.#groups.delete(group.plan.group);
      }
    }
  }

  get #maxReportLag(): number {
    return this.#times.reportLag() + REPORT_LAG_MARGIN;
  }

  /** Whether the membership that an engine reports needs no action. */
  #isKnown(view: IEngineView): boolean {
    const group = view.state?.membership?.group ?? "";
    return this.#groups.has(group) || this.#hasNoEffect(view);
  }

  /**
   * Whether the membership that an engine reports can have no effect. A delayed
   * order may reopen a released group; a report from before the release says
   * nothing about that.
   */
  #hasNoEffect(view: IEngineView): boolean {
    const membership = view.state?.membership ?? null;
    if (
      membership === null ||
      this.#departures.isOutdated(view, this.#maxReportLag)
    ) {
      return true;
    }
    const { group, state } = membership;
    const isOpen =
      state === GroupMemberState.Open || state === GroupMemberState.Closing;
    const releasedAt = this.#released.releasedAt(group);
    const hasHeadStopped =
      releasedAt === null
        ? isWarmGroup(group)
        : this.#released.hasHeadStopped(group);
    const isOld =
      releasedAt !== null && view.askedAt <= releasedAt + this.#maxReportLag;
    return (
      (hasHeadStopped && !isOpen) ||
      (isOld && (hasHeadStopped || !isJoinable(view)))
    );
  }

  #adoptGroup(
    found: IDiscoveredGroup,
    views: EngineViews,
    now: MonotonicTime,
  ): void {
    const { plan, members, isComplete, hasHead } = found;
    const phase = phaseOfAdopted(found);
    const group = this.#createGroup(plan, views, { phase, now });
    for (const view of members) {
      group.joined.set(view.target.id, view.askedAt);
    }
    this.#departures.forget(plan.members);
    group.trouble = isComplete ? null : GroupTrouble.Incomplete;
    this.#add(hasHead ? group : { ...group, head: null });
  }

  #createGroup(
    plan: IGroupPlan,
    views: EngineViews,
    state: { readonly phase: GroupPhase; readonly now: MonotonicTime },
  ): IManagedGroup {
    const starts = new Map<InstanceId, number>();
    for (const member of plan.members) {
      starts.set(member, views.get(member)?.startedAt ?? 0);
    }
    const [head] = plan.members;
    return {
      plan,
      domain: views.get(head ?? "")?.state?.domain ?? "",
      starts,
      phase: state.phase,
      phaseSince: state.now,
      joined: new Map(),
      trouble: null,
      head: head ?? null,
      openedAt: null,
      release: null,
    };
  }

  #add(group: IManagedGroup): void {
    this.#groups.set(group.plan.group, group);
    this.#changes.push({ group, from: null, to: group.phase });
  }

  #dissolve(
    group: IManagedGroup,
    trouble: GroupTrouble,
    now: MonotonicTime,
  ): void {
    group.trouble = trouble;
    this.#setPhase(group, GroupPhase.Dissolving, now);
  }

  #setPhase(group: IManagedGroup, phase: GroupPhase, now: MonotonicTime): void {
    if (group.phase !== phase) {
      this.#changes.push({ group, from: group.phase, to: phase });
      group.phase = phase;
      group.phaseSince = now;
    }
  }
}

/** Whether the engine is in reach and may be ordered to join a group. */
function isJoinable({ isListed, isSilent }: IEngineView): boolean {
  return isListed && !isSilent;
}

/** Members that are not known to have joined. */
function unjoinedMembers({
  plan,
  joined,
}: IManagedGroup): readonly InstanceId[] {
  return plan.members.filter((member) => !joined.has(member));
}

function addressed(
  engine: InstanceId | null,
  order: EngineOrder,
): readonly IAddressedOrder[] {
  return engine === null ? [] : [{ engine, order }];
}
