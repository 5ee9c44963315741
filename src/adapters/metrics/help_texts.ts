/** What each metric says, by its name without the prefix. */
export const HELP_TEXTS: Readonly<Record<string, string>> = {
  alarm: "1 while the alarm is raised",
  engine_attempts_failed: "tries on a replica group that brought no answer",
  group_downtime_seconds: "time in which replica groups could not serve",
  groups_down: "replica groups that cannot serve now",
  live_daemons: "daemons of the zone believed live",
  peer_calls: "calls to other daemons",
  plan_list_version: "version in force of a plan list",
  plan_lists_age_milliseconds:
    "time since the platform confirmed the plan lists",
  plan_lists_refused: "newer plan lists with findings, not put in force",
  refusals: "requests answered finally without running",
  request_duration: "time from arrival to the final answer",
  requests: "requests answered, by outcome",
  run_records_unsettled: "run records whose state is in doubt",
  stranded_instances: "live engines that serve in no complete replica group",
  target_polls: "reports asked of targets",
  waiting: "requests admitted that wait for a target",
};
