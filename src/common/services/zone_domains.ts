/** Runs one {@link DomainController} for each fabric domain of the zone. */
import { DisposableStore } from "../disposable.ts";
import type { IWantedGroups } from "../groups/formation.ts";
import type { DomainName } from "../types.ts";
import { ServiceKind } from "../types.ts";
import { DomainController } from "./domain_controller.ts";
import type { IDomainOptions, IDomainPorts } from "./domain_controller.ts";

/** How often the instance list is checked for new domains, milliseconds. */
const SEARCH_INTERVAL = 500;

/** Options shared by the domains of a zone. */
export interface IZoneDomainOptions extends Omit<
  IDomainOptions,
  "domain" | "wanted"
> {
  /** Groups that a domain with this many engines should have. */
  readonly wanted: (engines: number) => readonly IWantedGroups[];
}

/** Starts a controller when the instance list first names its domain. */
export class ZoneDomains {
  readonly #ports: IDomainPorts;
  readonly #options: IZoneDomainOptions;
  readonly #owned = new DisposableStore();
  readonly #domains = new Map<DomainName, DomainController>();

  constructor(ports: IDomainPorts, options: IZoneDomainOptions) {
    this.#ports = ports;
    this.#options = options;
  }

  /** All domains of the zone seen so far. */
  get all(): readonly DomainController[] {
    return [...this.#domains.values()];
  }

  start(): void {
    const findDomains = () => this.#findDomains();
    this.#owned.add(this.#ports.clock.every(SEARCH_INTERVAL, findDomains));
  }

  /** Releases all leases. */
  async close(): Promise<void> {
    this.#owned.dispose();
    await Promise.all(this.all.map((domain) => domain.close()));
  }

  #findDomains(): void {
    for (const instance of this.#ports.directory.instances.values()) {
      const isEngine = instance.kind === ServiceKind.Engine;
      if (isEngine && !this.#domains.has(instance.domain)) {
        this.#add(instance.domain);
      }
    }
  }

  #add(domain: DomainName): void {
    const controller = new DomainController(this.#ports, {
      ...this.#options,
      domain,
      wanted: () => this.#options.wanted(this.#countEngines(domain)),
    });
    this.#domains.set(domain, controller);
    controller.start();
  }

  #countEngines(domain: DomainName): number {
    const instances = [...this.#ports.directory.instances.values()];
    return instances.filter(
      (entry) => entry.domain === domain && entry.kind === ServiceKind.Engine,
    ).length;
  }
}
