/**
 * The active configuration. It never reverts to an older version, and one that
 * cannot be read leaves the last valid one active.
 */
import type { Result } from "ts-results-es";
import type { ILog } from "../services/services.ts";
import { RouteTable } from "./route_table.ts";
import type { IConfiguration, IEngineProfile, IServiceEntry } from "./types.ts";

/** Decodes a configuration object; errors are findings, one line each. */
export type DecodeConfiguration = (
  value: unknown,
) => Result<IConfiguration, readonly string[]>;

/** Holds the newest valid configuration. */
export class ActiveConfiguration {
  readonly #decode: DecodeConfiguration;
  readonly #log: ILog;
  #routeTable: RouteTable | null = null;

  constructor(decode: DecodeConfiguration, log: ILog) {
    this.#decode = decode;
    this.#log = log;
  }

  get routes(): RouteTable | null {
    return this.#routeTable;
  }

  service(name: string): IServiceEntry | null {
    return this.#routeTable?.configuration.services.get(name) ?? null;
  }

  /** Services whose engines form replica groups. */
  get engineServices(): readonly (readonly [string, IEngineProfile])[] {
    const services = this.#routeTable?.configuration.services.values() ?? [];
    return [...services].flatMap(({ name, engine }) =>
      engine !== null && engine.models.length > 0
        ? [[name, engine] as const]
        : [],
    );
  }

  /** Returns whether the configuration became active. */
  update(value: unknown): boolean {
    const decoded = this.#decode(value);
    if (decoded.isErr()) {
      for (const finding of decoded.error) {
        this.#log.error("configuration_unreadable", { finding });
      }
      return false;
    }
    const { version, routes } = decoded.value;
    const activeVersion = this.#routeTable?.configuration.version ?? -1;
    if (version <= activeVersion) {
      return false;
    }
    this.#routeTable = new RouteTable(decoded.value);
    this.#log.info("configuration", { version, routes: routes.length });
    return true;
  }
}
