/** Service-level burn: what is counted, and how it passes between programs. */
import type { AccountName, ServiceName, ZoneName } from "../types.ts";

/** What is measured against an objective. */
export enum BurnMeasure {
  /** The request was answered whole and within its plan's deadline. */
  WholeOnTime = "whole_on_time",
  /** The first token of a stream came within the objective's time. */
  FirstToken = "first_token",
  /** A token came within the objective's time after the one before it. */
  BetweenTokens = "between_tokens",
}

/** What a measure is held to. */
export interface IObjective {
  /** The share that must be good, above 0 and below 1. */
  readonly share: number;
  /** Milliseconds within which it is good; null where a plan says it. */
  readonly within: number | null;
}

/** The objectives of all measures. */
export type Objectives = Readonly<Record<BurnMeasure, IObjective>>;

/** How much was measured, and how much of it missed the objective. */
export interface IBurnCount {
  readonly total: number;
  readonly bad: number;
}

/** The windows that burn is told over, longest last; lengths in minutes. */
export const BURN_WINDOWS: readonly {
  readonly name: string;
  readonly minutes: number;
}[] = [
  { name: "5 min", minutes: 5 },
  { name: "1 h", minutes: 60 },
  { name: "6 h", minutes: 360 },
  { name: "24 h", minutes: 1_440 },
];

/** Minutes of one point of the series. */
export const SERIES_STEP = 15;

/** One point: counts of the {@link SERIES_STEP} minutes from a moment on. */
export interface IBurnPoint extends IBurnCount {
  /** Calendar time, milliseconds since 1970. */
  readonly from: number;
}

/** What one daemon counted of one service and client account. */
export interface IAccountBurn {
  readonly service: ServiceName;
  readonly account: AccountName;
  readonly measures: Readonly<Record<BurnMeasure, IMeasureCounts>>;
}

/** One measure of a part. */
export interface IMeasureCounts {
  /** In the order of {@link BURN_WINDOWS}. */
  readonly windows: readonly IBurnCount[];
  readonly series: readonly IBurnPoint[];
  /** Milliseconds of the last one to two hours, an encoded HDR histogram. */
  readonly histogram: string;
}

/** What one daemon counted. Nothing of it outlasts the daemon. */
export interface IDaemonBurn {
  readonly daemon: string;
  readonly zone: ZoneName;
  /** When it began to count; calendar time, milliseconds since 1970. */
  readonly since: number;
  readonly objectives: Objectives;
  readonly parts: readonly IAccountBurn[];
}
