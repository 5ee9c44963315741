/**
 * Which processes take the lease first. The holder's work grows with the number
 * of processes and engines; a process with a fraction of the processor time of
 * others falls behind with it, loses the lease again, and nothing is ordered.
 */
import type { IProcessReport } from "./exchange.ts";

/** Share of the largest processor time from which a process is as capable. */
const CAPABLE_SHARE = 0.75;

/** @param others - reports of all processes but the holder, which will be gone */
export function isSuccessor(
  { cores }: IProcessReport,
  others: readonly IProcessReport[],
): boolean {
  const largest = Math.max(0, ...others.map((report) => report.cores ?? 0));
  return cores === undefined || cores >= largest * CAPABLE_SHARE;
}
