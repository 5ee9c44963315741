/** What the stand-ins' mains share: saying where they listen, and stopping. */

/** Writes the line that whoever started the program waits for. */
export function announceListening(
  fields: Readonly<Record<string, string>>,
): void {
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  process.stdout.write(`event=listening ${pairs.join(" ")}\n`);
}

/** Exits on the usual signals. */
export function exitOnSignal(): void {
  process.on("SIGTERM", () => process.exit(0));
  process.on("SIGINT", () => process.exit(0));
}
