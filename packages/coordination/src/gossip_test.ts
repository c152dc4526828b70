import * as gossip from "./gossip.ts";
import type * as membership from "./membership.ts";
import * as random from "./random.ts";

const prefix = "settings/";
const value = "{}";

function createPeer(id: string, failureDomain: string): membership.Peer {
  return {
    id,
    address: `${id}:1`,
    controlAddress: `${id}:2`,
    failureDomain,
    weight: 1,
  };
}

/**
 * Creates a cluster with immediate delivery, except to and from members in
 * `cutOff`. `domainsById` maps the ids of the members to their failure domains.
 */
function createCluster(domainsById: Readonly<Record<string, string>>) {
  const cutOff = new Set<string>();
  const ready = new Set<string>();
  const watching = new Set<string>();
  const listing = new Set<string>();
  let nowMs = 0;
  const peers = Object.entries(domainsById)
    .map(([id, domain]) => createPeer(id, domain));
  const members = new Map<string, gossip.GossipMember>();
  const queue: (() => void)[] = [];

  function start(id: string): void {
    const self = peers.find((peer) => peer.id === id)!;
    members.set(
      id,
      gossip.createGossipMember({
        self,
        incarnation: nowMs + 1,
        random: random.createRandomSource(3),
        prefixes: [prefix],
      }),
    );
    ready.delete(id);
  }

  function deliver(id: string, event: gossip.GossipEvent): void {
    for (const effect of members.get(id)!.handle(event, nowMs)) {
      queue.push(() => execute(id, effect));
    }
  }

  function send(id: string, effect: gossip.GossipSend): void {
    const { to, request } = effect;
    if (cutOff.has(to.id) || cutOff.has(id)) {
      return deliver(id, { kind: "silent", send: effect });
    }
    const event = { kind: "request", request } as const;
    for (const result of members.get(to.id)!.handle(event, nowMs)) {
      if (result.kind !== "answer") {
        queue.push(() => execute(to.id, result));
        continue;
      }
      const { reply } = result;
      queue.push(() => deliver(id, { kind: "reply", send: effect, reply }));
    }
  }

  function execute(id: string, effect: gossip.GossipEffect): void {
    switch (effect.kind) {
      case "send":
        return send(id, effect);
      case "schedule_push":
        return void queue.push(() => deliver(id, { kind: "push_due" }));
      case "ready":
        return void ready.add(id);
      case "list_store":
        return void listing.add(id);
      case "set_watching":
        if (effect.isWatching) watching.add(id);
        else watching.delete(id);
        return;
      case "answer":
      case "apply":
      case "members_changed":
        return;
    }
  }

  function runAll(): void {
    let action = queue.shift();
    while (action !== undefined) {
      action();
      action = queue.shift();
    }
  }

  function listInstances(id: string): void {
    const listed = peers.map((peer) => ({ ...peer, state: "live" } as const));
    deliver(id, { kind: "instances_listed", peers: listed });
  }

  return {
    cutOff,
    ready,
    watching,
    listing,
    members,
    start,
    listInstances,
    emit(id: string, event: gossip.GossipEvent) {
      deliver(id, event);
      runAll();
    },
    startAll() {
      for (const { id } of peers) start(id);
      for (const { id } of peers) listInstances(id);
    },
    tick(count = 1) {
      for (let index = 0; index < count; index += 1) {
        nowMs += gossip.tickMs;
        for (const { id } of peers) {
          if (members.has(id)) deliver(id, { kind: "tick" });
          runAll();
        }
      }
    },
  };
}

function listStore(version: number, keys: readonly string[]) {
  return {
    kind: "store_listed",
    list: {
      prefix,
      version,
      objects: keys.map((key) =>
        ({ kind: "present", key, version, value }) as const
      ),
    },
  } as const;
}

const failureDomains = { a: "d1", b: "d1", c: "d1", d: "d2", e: "d2", f: "d3" };
const ids = Object.keys(failureDomains);

test("two members of each failure domain watch the store", () => {
  const cluster = createCluster(failureDomains);
  cluster.startAll();
  cluster.tick();
  const domains = [...cluster.watching].map((id) =>
    failureDomains[id as keyof typeof failureDomains]
  );
  expect(domains.sort()).toEqual(["d1", "d1", "d2", "d2", "d3"]);
});

test("a change that one watcher receives reaches all members", () => {
  const cluster = createCluster(failureDomains);
  cluster.startAll();
  cluster.emit("a", listStore(1, []));
  const key = "settings/x";
  const object = { kind: "present", key, version: 2, value } as const;
  cluster.emit("a", { kind: "store_changed", objects: [object] });
  cluster.tick(6);
  for (const id of ids) {
    expect(cluster.members.get(id)!.replica.get(key)?.version).toBe(2);
  }
});

describe("a member that starts while the object store is unavailable", () => {
  /** Lists the store on all but the unready members, then restarts member a. */
  function startWithRestart(unready: readonly string[] = []) {
    const cluster = createCluster(failureDomains);
    cluster.startAll();
    for (const id of ids) {
      if (!unready.includes(id)) {
        cluster.emit(id, listStore(5, ["settings/x"]));
      }
    }
    cluster.start("a");
    cluster.listInstances("a");
    return cluster;
  }

  test("is ready after peers in two failure domains confirm its replica", () => {
    const cluster = startWithRestart();
    cluster.tick(3);
    expect(cluster.ready.has("a")).toBe(false);
    cluster.emit("a", { kind: "store_unavailable" });
    cluster.tick(4);
    expect(cluster.ready.has("a")).toBe(true);
    const { replica } = cluster.members.get("a")!;
    expect(replica.get("settings/x")?.version).toBe(5);
  });

  test("is not ready after peers in only one failure domain confirm its replica", () => {
    const cluster = startWithRestart();
    for (const id of ["d", "e", "f"]) cluster.cutOff.add(id);
    cluster.emit("a", { kind: "store_unavailable" });
    cluster.tick(20);
    expect(cluster.ready.has("a")).toBe(false);
    cluster.emit("a", listStore(6, ["settings/x"]));
    expect(cluster.ready.has("a")).toBe(true);
  });

  test("is not ready if the confirming peers are not ready", () => {
    const cluster = startWithRestart(ids);
    cluster.emit("a", { kind: "store_unavailable" });
    cluster.tick(20);
    expect(cluster.ready.has("a")).toBe(false);
  });
});

test("all members remove an unreachable member and add it again on its return", () => {
  const cluster = createCluster(failureDomains);
  cluster.startAll();
  cluster.tick(3);
  cluster.cutOff.add("f");
  cluster.tick(20);
  for (const id of ids.filter((id) => id !== "f")) {
    const memberIds = cluster.members.get(id)!.listMembers().map(({ id }) =>
      id
    );
    expect(memberIds).not.toContain("f");
  }
  cluster.cutOff.clear();
  cluster.tick(30);
  for (const id of ids) {
    expect(cluster.members.get(id)!.listMembers()).toHaveLength(ids.length);
  }
});

test("a member lists the store if peers have dropped tombstones that it missed", () => {
  const cluster = createCluster({ a: "d1", b: "d2" });
  cluster.startAll();
  for (const id of ["a", "b"]) cluster.emit(id, listStore(5, []));
  cluster.cutOff.add("a");
  // More removals than the 4096 tombstones that a replica keeps by default.
  const removals = Array.from({ length: 5_000 }, (_, index) => ({
    kind: "removed",
    key: `settings/${index}`,
    version: 10 + index,
  } as const));
  cluster.emit("b", { kind: "store_changed", objects: removals });
  cluster.cutOff.clear();
  expect(cluster.listing.has("a")).toBe(false);
  cluster.tick(1);
  expect(cluster.listing.has("a")).toBe(true);
});
