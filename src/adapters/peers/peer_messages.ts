/** Converts between protocol messages and internal types. */
import type {
  IDigestRow,
  TargetIdentity,
} from "../../common/membership/digest_types.ts";
import type { IZoneSummary } from "../../common/membership/zone_directory.ts";
import type { IZonesRequest } from "../../common/membership/peers.ts";
import { MemberState } from "../../common/membership/types.ts";
import type {
  IMember,
  IMemberMessage,
  IMemberUpdate,
  IProbe,
} from "../../common/membership/types.ts";
import type { PlanListName } from "../../common/plans/types.ts";
import type { IListVersion } from "../../common/services/services.ts";
import type { TargetState } from "../../common/types.ts";
import type { DigestRow__Output } from "../../generated/cranberryledge/DigestRow.ts";
import type { ListVersion__Output } from "../../generated/cranberryledge/ListVersion.ts";
import type { Member__Output } from "../../generated/cranberryledge/Member.ts";
import type { MemberMessage__Output } from "../../generated/cranberryledge/MemberMessage.ts";
import type { MemberNews__Output } from "../../generated/cranberryledge/MemberNews.ts";
import type { ProbeResponse__Output } from "../../generated/cranberryledge/ProbeResponse.ts";
import type { PullZonesRequest__Output } from "../../generated/cranberryledge/PullZonesRequest.ts";
import type { TargetIdentity__Output } from "../../generated/cranberryledge/TargetIdentity.ts";
import type { ZoneSummary__Output } from "../../generated/cranberryledge/ZoneSummary.ts";

const STATE_NAMES = {
  [MemberState.Alive]: "ALIVE",
  [MemberState.Suspect]: "SUSPECT",
  [MemberState.Dead]: "DEAD",
  [MemberState.Left]: "LEFT",
} as const;

const STATES_BY_NAME = {
  ALIVE: MemberState.Alive,
  SUSPECT: MemberState.Suspect,
  DEAD: MemberState.Dead,
  LEFT: MemberState.Left,
} as const;

/** Throws if a part of a message is missing, which fails the call. */
function required<T>(value: T | null | undefined): T {
  if (value === null || value === undefined) {
    throw new Error("a peer's message lacks a part");
  }
  return value;
}

export function writeMemberUpdate(update: IMemberUpdate) {
  const { member, incarnation, state } = update;
  return { member: { ...member }, incarnation, state: STATE_NAMES[state] };
}

export function readMemberUpdate(update: MemberNews__Output): IMemberUpdate {
  return {
    member: readMember(required(update.member)),
    incarnation: update.incarnation,
    state: STATES_BY_NAME[update.state],
  };
}

export function readMember(member: Member__Output): IMember {
  const { daemon, zone, peerAddress } = member;
  return { daemon, zone, peerAddress };
}

export function writeProbe(probe: IProbe) {
  const { from, viewHash, news } = probe.message;
  return {
    message: {
      from: writeMemberUpdate(from),
      viewHash,
      news: news.map(writeMemberUpdate),
    },
    versions: writeListVersions(probe.versions),
  };
}

export function readProbe(
  probe: Pick<ProbeResponse__Output, "message" | "versions">,
): IProbe {
  return {
    message: readMessage(required(probe.message)),
    versions: readListVersions(probe.versions),
  };
}

function readMessage(message: MemberMessage__Output): IMemberMessage {
  return {
    from: readMemberUpdate(required(message.from)),
    viewHash: message.viewHash,
    news: message.news.map(readMemberUpdate),
  };
}

export function writeListVersions(versions: readonly IListVersion[]) {
  return versions.map((entry) => ({ ...entry }));
}

export function readListVersions(
  versions: readonly ListVersion__Output[],
): IListVersion[] {
  return versions.map(({ list, version }) => ({
    list: list as PlanListName,
    version,
  }));
}

export function writeDigestRow(row: IDigestRow) {
  return {
    ...row,
    identities: (row.identities ?? []).map(writeIdentity),
    loads: [...(row.loads ?? [])],
  };
}

/** An empty part was omitted by the sender and becomes null. */
export function readDigestRow(row: DigestRow__Output): IDigestRow {
  const { poller, identityVersion, loadVersion, age } = row;
  const identities =
    row.identities.length > 0 ? row.identities.map(readIdentity) : null;
  const loads = row.loads.length > 0 ? row.loads : null;
  return { poller, identityVersion, loadVersion, age, identities, loads };
}

function writeIdentity(identity: TargetIdentity) {
  const { instance, incarnation, state, membership, model } = identity;
  const isMember = membership !== null;
  return { instance, incarnation, state, model, isMember, ...membership };
}

function readIdentity(identity: TargetIdentity__Output): TargetIdentity {
  const { instance, incarnation, model } = identity;
  const { group, epoch, generation, rank } = identity;
  return {
    instance,
    incarnation,
    state: identity.state as TargetState,
    membership: identity.isMember ? { group, epoch, generation, rank } : null,
    model,
  };
}

export function writeZoneSummary(summary: IZoneSummary) {
  return {
    ...summary,
    delegates: summary.delegates.map((member) => ({ ...member })),
    loads: summary.loads.map((load) => ({ ...load })),
  };
}

export function readZoneSummary(summary: ZoneSummary__Output): IZoneSummary {
  const { zone, daemons, loads, age } = summary;
  const delegates = summary.delegates.map(readMember);
  return { zone, daemons, delegates, loads, age };
}

export function readZonesRequest(
  request: PullZonesRequest__Output,
): IZonesRequest {
  const from = readMember(required(request.from));
  return { from, versions: readListVersions(request.versions) };
}
