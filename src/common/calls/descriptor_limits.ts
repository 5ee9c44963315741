/** Divides the file descriptors of a process. */

/** Descriptors that the platform keeps for files. */
const FILES = 200;

/** Share of the sockets that the connections of callers may take. */
const CONNECTIONS_SHARE = 0.45;

/** Share of the sockets for calls, each of which may need one to a target. */
const CALLS_SHARE = 0.35;

/** Share of the sockets for calls that other processes forward. */
const FORWARDED_SHARE = 0.1;

/** What callers may take at once. */
export interface IDescriptorLimits {
  /** Connections of callers. */
  readonly connections: number;
  /** Calls that are being served. */
  readonly calls: number;
  /** Calls that are being sent for other processes. */
  readonly forwardedCalls: number;
}

/** @param descriptors - those of the process */
export function divideDescriptors(descriptors: number): IDescriptorLimits {
  const sockets = Math.max(descriptors - FILES, descriptors / 2);
  return {
    connections: Math.floor(sockets * CONNECTIONS_SHARE),
    calls: Math.floor(sockets * CALLS_SHARE),
    forwardedCalls: Math.floor(sockets * FORWARDED_SHARE),
  };
}
