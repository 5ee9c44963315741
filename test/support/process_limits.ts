/** What a process under test gets of the machine. */

/** Limits that are left out are those of the platform's smallest instances. */
export interface IProcessLimits {
  /** Megabytes. */
  readonly memory?: number;
  /** Megabytes of the heap; unlimited by default. */
  readonly heap?: number;
  /** File descriptors. */
  readonly descriptors?: number;
}

/** Options for starting a process with these limits. */
export function optionsOf(
  { heap, descriptors }: IProcessLimits,
  environment: Readonly<Record<string, string>> = {},
): {
  readonly environment: Readonly<Record<string, string>>;
  readonly descriptors?: number;
} {
  const inherited = process.env["NODE_OPTIONS"] ?? "";
  const limited =
    heap === undefined
      ? environment
      : {
          ...environment,
          NODE_OPTIONS: `${inherited} --max-old-space-size=${heap}`,
        };
  return {
    environment: limited,
    ...(descriptors === undefined ? {} : { descriptors }),
  };
}

/** The part of a process's settings that names the limits. */
export function settingsOf({ memory, descriptors }: IProcessLimits): object {
  const limits = {
    ...(memory === undefined ? {} : { memory_mb: memory }),
    ...(descriptors === undefined ? {} : { max_descriptors: descriptors }),
  };
  return Object.keys(limits).length === 0 ? {} : { limits };
}
