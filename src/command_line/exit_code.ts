/** Exit codes of the command-line tool; documented in docs/OPERATORS.md. */
export enum ExitCode {
  Success = 0,
  /** The input has findings. */
  Findings = 2,
  /** Another operator made a change first; nothing was changed. */
  Conflict = 3,
  /** The platform refused or was unreachable; nothing was changed. */
  Unreachable = 4,
  /** It is unknown whether the change took effect. */
  Unknown = 5,
  /** Took effect, but is not in force everywhere within the timeout. */
  NotInForce = 6,
  /** Took effect, but another operator has replaced it since. */
  Replaced = 7,
  /** The requested item is not in the input. */
  NotFound = 8,
}
