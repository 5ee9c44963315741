/**
 * The configuration in force. It never goes back to an older version, and one
 * that cannot be read leaves the last good one in force.
 */
import type { Result } from "ts-results-es";
import type { ILog } from "../services/services.ts";
import { RouteTable } from "./route_table.ts";
import type { IConfiguration, IEngineProfile, IServiceEntry } from "./types.ts";

/** Reads a configuration object; errors are findings, a line each. */
export type DecodeConfiguration = (
  value: unknown,
) => Result<IConfiguration, readonly string[]>;

/** Holds the newest good configuration. */
export class ActiveConfiguration {
  readonly #decode: DecodeConfiguration;
  readonly #log: ILog;
  #table: RouteTable | null = null;

  constructor(decode: DecodeConfiguration, log: ILog) {
    this.#decode = decode;
    this.#log = log;
  }

  get routes(): RouteTable | null {
    return this.#table;
  }

  service(name: string): IServiceEntry | null {
    return this.#table?.configuration.services.get(name) ?? null;
  }

  /** Services whose engines are arranged in groups. */
  get engineServices(): readonly (readonly [string, IEngineProfile])[] {
    const services = this.#table?.configuration.services.values() ?? [];
    return [...services].flatMap(({ name, engine }) =>
      engine !== null && engine.models.length > 0
        ? [[name, engine] as const]
        : [],
    );
  }

  /** Returns whether another version is in force now. */
  update(value: unknown): boolean {
    const decoded = this.#decode(value);
    if (decoded.isErr()) {
      for (const finding of decoded.error) {
        this.#log.error("configuration_unreadable", { finding });
      }
      return false;
    }
    const { version, routes } = decoded.value;
    const known = this.#table?.configuration.version ?? -1;
    if (version <= known) {
      return false;
    }
    this.#table = new RouteTable(decoded.value);
    this.#log.info("configuration", { version, routes: routes.length });
    return true;
  }
}
