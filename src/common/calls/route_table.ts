/** Finds the route, the service and the account of a call. */
import type { IAccount, IConfiguration, IRoute } from "./types.ts";

/** The routes of one configuration, arranged for look-ups. */
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

  /** The route with the longest prefix of a path; null when none fits. */
  find(host: string, path: string): IRoute | null {
    const routes = this.#byHost.get(host.toLowerCase()) ?? [];
    return routes.find(({ pathPrefix }) => path.startsWith(pathPrefix)) ?? null;
  }

  /** The account that holds a key; null for a key that nobody holds. */
  findAccount(key: string | null): IAccount | null {
    const accounts = this.configuration.accountsByKey;
    return key === null ? null : (accounts?.get(key) ?? null);
  }

  /** Whether callers of a route must show a key. */
  needsKey(route: IRoute): boolean {
    return this.configuration.accountsByKey !== null && !route.isPublic;
  }
}

/**
 * The service a call goes to where a route is split between several.
 *
 * @param chance - in [0, 1)
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
