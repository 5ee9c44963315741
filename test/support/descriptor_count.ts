/** Counts the sockets that a process has open. */
import { readdirSync, readlinkSync } from "node:fs";
import type { ProcessHandle } from "./process_handle.ts";

/** Sockets of a process, its listening ones included. */
export function countSockets({ pid }: ProcessHandle): number {
  const folder = `/proc/${pid}/fd`;
  return readdirSync(folder).filter((name) => {
    try {
      return readlinkSync(`${folder}/${name}`).startsWith("socket:");
    } catch {
      // It was closed meanwhile.
      return false;
    }
  }).length;
}
