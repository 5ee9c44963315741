/**
 * Names of processes: the address at which others reach one, and an identifier
 * of its run, since another run may answer at the same address.
 */
const SEPARATOR = "/";

/** @param address - `host:port` */
export function processName(address: string, run: string): string {
  return `${address}${SEPARATOR}${run}`;
}

/** The address, `host:port`, of a process. */
export function addressOf(process: string): string {
  return process.split(SEPARATOR)[0] ?? "";
}
