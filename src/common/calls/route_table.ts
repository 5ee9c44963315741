/** Finds the route, the service and the account of a call. */
import type { IAccount, IConfiguration, IRoute } from "./types.ts";

/** The routes of one configuration, indexed by host. */
export class RouteTable {
  readonly configuration: IConfiguration;
  readonly #byHost = new Map<string, IRoute[]>();

  constructor(configuration: IConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const routes = this.#byHost.get(route.host) ?? [];
      routes.push(route);
      this.#byHost.set(route.host, routes);
    }
    for (const routes of this.#byHost.values()) {
      routes.sort(longestFirst);
    }
  }

  /** The route with the longest prefix of a path; null if none matches. */
  find(host: string, path: string): IRoute | null {
    const routes = this.#byHost.get(host.toLowerCase()) ?? [];
    return routes.find(({ pathPrefix }) => path.startsWith(pathPrefix)) ?? null;
  }

  /** The account with a key; null if no account has it. */
  findAccount(key: string | null): IAccount | null {
    const accounts = this.configuration.accountsByKey;
    return key === null ? null : (accounts?.get(key) ?? null);
  }

  /** Whether callers of a route must send a key. */
  needsKey(route: IRoute): boolean {
    return this.configuration.accountsByKey !== null && !route.isPublic;
  }
}

/**
 * Picks one of a route's services by their weights.
 *
 * @param chance - random number in [0, 1)
 */
export function chooseService(route: IRoute, chance: number): string | null {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  let left = chance * total;
  for (const { service, weight } of route.shares) {
    left -= weight;
    if (left < 0) {
      return service;
    }
  }
  return route.shares.at(-1)?.service ?? null;
}

function longestFirst(one: IRoute, other: IRoute): number {
  return other.pathPrefix.length - one.pathPrefix.length;
}
