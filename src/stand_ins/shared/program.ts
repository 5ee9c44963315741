/** Shared by the stand-ins' main modules: start line and signal handling. */

/** Writes the line for which the process that started this one waits. */
export function announceListening(
  fields: Readonly<Record<string, string>>,
): void {
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  process.stdout.write(`event=listening ${pairs.join(" ")}\n`);
}

/** Exits with status 0 on SIGTERM and SIGINT. */
export function exitOnSignal(): void {
  process.on("SIGTERM", () => process.exit(0));
  process.on("SIGINT", () => process.exit(0));
}
