import type * as routing from "../../settings/routing.ts";
import * as routeTable from "./route_table.ts";

function createRoute(options: Partial<routing.Route>): routing.Route {
  return {
    name: "r",
    host: "a.example",
    pathPrefix: "/a/",
    kind: "safe",
    targets: [{ service: "s", weight: 1 }],
    maxUpstreams: 2,
    timeoutMs: 1_000,
    latencyTargetMs: 100,
    gapTargetMs: undefined,
    priority: 1,
    isPublic: false,
    isResumable: false,
    ...options,
  };
}

const settings: routing.RoutingSettings = {
  version: 1,
  routes: [
    createRoute({ name: "short" }),
    createRoute({ name: "long", pathPrefix: "/a/b/" }),
    createRoute({ name: "other", host: "b.example" }),
  ],
  services: [],
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
  workspaces: [{ name: "w", keys: ["k1", "k2"], priority: 1 }],
};

test("the route of the host with the longest path prefix is found", () => {
  const table = routeTable.createRouteTable(settings);
  expect(table.findRoute("a.example", "/a/b/c")?.name).toBe("long");
  expect(table.findRoute("A.example:8080", "/a/bc")?.name).toBe("short");
  expect(table.findRoute("b.example", "/a/b/c")?.name).toBe("other");
  expect(table.findRoute("a.example", "/a")).toBeUndefined();
  expect(table.findRoute("c.example", "/a/")).toBeUndefined();
});

test("a workspace is found by each of its keys", () => {
  const table = routeTable.createRouteTable(settings);
  expect(table.findWorkspace("k2")?.name).toBe("w");
  expect(table.findWorkspace("k3")).toBeUndefined();
});

test("targets are picked by weight; without targets, none is picked", () => {
  const route = createRoute({
    targets: [{ service: "x", weight: 90 }, { service: "y", weight: 10 }],
  });
  expect(routeTable.pickService(route, () => 0.89)).toBe("x");
  expect(routeTable.pickService(route, () => 0.91)).toBe("y");
  expect(routeTable.pickService(createRoute({ targets: [] }), () => 0))
    .toBeUndefined();
});
