/**
 * Finds the route and workspace of a request in one version of the settings.
 */
import type * as random from "@anvilhinge/coordination/random";
import type * as routing from "../../settings/routing.ts";

/** One version of the settings, indexed by the fields of requests. */
export interface RouteTable {
  readonly settings: routing.RoutingSettings;
  /** Finds the route of the host with the longest matching path prefix. */
  findRoute(host: string, path: string): routing.Route | undefined;
  findWorkspace(key: string): routing.WorkspaceKeys | undefined;
  findService(name: string): routing.ServiceSpec | undefined;
}

/** Removes the port of a `Host` header and converts it to lower case. */
export function normalizeHost(host: string): string {
  return host.replace(/:\d*$/, "").toLowerCase();
}

function groupByHost(
  routes: readonly routing.Route[],
): ReadonlyMap<string, readonly routing.Route[]> {
  const byHost = new Map<string, routing.Route[]>();
  for (const route of routes) {
    const hostRoutes = byHost.get(route.host);
    if (hostRoutes === undefined) byHost.set(route.host, [route]);
    else hostRoutes.push(route);
  }
  for (const hostRoutes of byHost.values()) {
    hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return byHost;
}

/** Indexes one version of the settings. */
export function createRouteTable(
  settings: routing.RoutingSettings,
): RouteTable {
  const byHost = groupByHost(settings.routes);
  const byKey = new Map(
    settings.workspaces.flatMap((workspace) =>
      workspace.keys.map((key) => [key, workspace] as const)
    ),
  );
  const services = new Map(
    settings.services.map((service) => [service.name, service]),
  );
  return {
    settings,
    findRoute: (host, path) =>
      byHost.get(normalizeHost(host))
        ?.find((route) => path.startsWith(route.pathPrefix)),
    findWorkspace: (key) => byKey.get(key),
    findService: (name) => services.get(name),
  };
}

/** Picks one of the route's services at random, according to the weights. */
export function pickService(
  route: routing.Route,
  randomSource: random.RandomSource,
): string | undefined {
  const totalWeight = route.targets.reduce(
    (sum, { weight }) => sum + weight,
    0,
  );
  let remaining = randomSource() * totalWeight;
  for (const { service, weight } of route.targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.targets.at(-1)?.service;
}
