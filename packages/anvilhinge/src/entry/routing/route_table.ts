/** Finds the route and the workspace of a request in one version of the settings. */
import type * as random from "@anvilhinge/coordination/random";
import type * as routing from "../../settings/routing.ts";

/** Settings of one version, indexed by what requests carry. */
export interface RouteTable {
  readonly settings: routing.RoutingSettings;
  /** Finds the route with the longest prefix of the path. */
  findRoute(host: string, path: string): routing.Route | undefined;
  findWorkspace(key: string): routing.WorkspaceKeys | undefined;
  findService(name: string): routing.ServiceSpec | undefined;
}

/** Strips the port of a `Host` header and lowers its case. */
export function normalizeHost(host: string): string {
  return host.replace(/:\d*$/, "").toLowerCase();
}

function groupByHost(
  routes: readonly routing.Route[],
): ReadonlyMap<string, readonly routing.Route[]> {
  const byHost = new Map<string, routing.Route[]>();
  for (const route of routes) {
    const known = byHost.get(route.host);
    if (known === undefined) byHost.set(route.host, [route]);
    else known.push(route);
  }
  for (const known of byHost.values()) {
    known.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
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

/** Picks one of the route's services by their weights. */
export function pickService(
  route: routing.Route,
  randomSource: random.RandomSource,
): string | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = randomSource() * total;
  for (const { service, weight } of route.targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.targets.at(-1)?.service;
}
