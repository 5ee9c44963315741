/** Types of the service-level counts that daemons send to the command line. */
import type { AccountName, ServiceName, ZoneName } from "../types.ts";

/** A measure that has an objective. */
export enum BurnMeasure {
  /**
   * The request was answered completely and within the deadline of its plan.
   */
  WholeOnTime = "whole_on_time",
  /** The first token of a stream arrived within the time of the objective. */
  FirstToken = "first_token",
  /**
   * A token arrived within the time of the objective after the previous one.
   */
  BetweenTokens = "between_tokens",
}

/** The objective of a measure. */
export interface IObjective {
  /** Share of requests or tokens that must be good; above 0 and below 1. */
  readonly share: number;
  /** Time limit in milliseconds; null if the plan defines it. */
  readonly within: number | null;
}

/** The objectives of all measures. */
export type Objectives = Readonly<Record<BurnMeasure, IObjective>>;

/** Number of measurements, and how many of them missed the objective. */
export interface IBurnCount {
  readonly total: number;
  readonly bad: number;
}

/**
 * Windows over which the burn rate is reported, shortest first; lengths in
 * minutes.
 */
export const BURN_WINDOWS: readonly {
  readonly name: string;
  readonly minutes: number;
}[] = [
  { name: "5 min", minutes: 5 },
  { name: "1 h", minutes: 60 },
  { name: "6 h", minutes: 360 },
  { name: "24 h", minutes: 1_440 },
];

/** Minutes covered by one point of the series. */
export const SERIES_STEP = 15;

/** The counts of the {@link SERIES_STEP} minutes that start at one time. */
export interface IBurnPoint extends IBurnCount {
  /** Start of the point; calendar time, milliseconds since 1970. */
  readonly from: number;
}

/** The counts of one daemon for one service and client account. */
export interface IAccountBurn {
  readonly service: ServiceName;
  readonly account: AccountName;
  readonly measures: Readonly<Record<BurnMeasure, IMeasureCounts>>;
}

/** The counts of one measure. */
export interface IMeasureCounts {
  /** In the order of {@link BURN_WINDOWS}. */
  readonly windows: readonly IBurnCount[];
  readonly series: readonly IBurnPoint[];
  /** Encoded HDR histogram of milliseconds over the last one to two hours. */
  readonly histogram: string;
}

/** The counts of one daemon; they are lost when it stops. */
export interface IDaemonBurn {
  readonly daemon: string;
  readonly zone: ZoneName;
  /** Start of counting; calendar time, milliseconds since 1970. */
  readonly since: number;
  readonly objectives: Objectives;
  readonly parts: readonly IAccountBurn[];
}
