import * as clock from "./clock.ts";
import * as random from "./random.ts";
import * as roster from "./roster.ts";

interface Node {
  readonly id: string;
  readonly roster: roster.Roster<string>;
}

interface Cluster {
  readonly nodes: readonly Node[];
  readonly clock: clock.ManualClock;
  /** Number of delivered messages. */
  countMessages(): number;
  /** Runs ticks for a duration; `isCut` drops messages between two nodes. */
  run(durationMs: number, options?: RunOptions): void;
}

interface RunOptions {
  readonly isDown?: (id: string) => boolean;
  readonly isCut?: (from: string, to: string) => boolean;
  /** Probability that a message is lost. */
  readonly loss?: number;
}

function createCluster(
  count: number,
  options: {
    readonly seeds?: readonly string[];
    readonly getCapacity?: (details: string) => number;
    readonly getTier?: (details: string) => number;
  } = {},
): Cluster {
  const manualClock = clock.createManualClock();
  const nextRandom = random.createRandomSource(1);
  const nodes = Array.from({ length: count }, (_, index): Node => {
    const id = `n${index}`;
    return {
      id,
      roster: roster.createRoster({
        clock: manualClock,
        self: { id, address: id, incarnation: 100 + index, details: id },
        seeds: options.seeds ?? ["n3", "n4", "n5"],
        getCapacity: options.getCapacity,
        getTier: options.getTier,
      }),
    };
  });
  let messageCount = 0;

  function send(
    from: string,
    sends: readonly roster.RosterSend<string>[],
    run: RunOptions,
  ): void {
    for (const { to, message } of sends) {
      const isLost = run.isDown?.(to) || run.isCut?.(from, to) ||
        nextRandom() < (run.loss ?? 0);
      if (isLost) continue;
      messageCount += 1;
      const target = nodes.find(({ id }) => id === to);
      if (target === undefined) continue;
      send(to, target.roster.handle(message), run);
    }
  }

  return {
    nodes,
    clock: manualClock,
    countMessages: () => messageCount,
    run(durationMs, run = {}) {
      for (let ms = 0; ms < durationMs; ms += roster.tickMs) {
        manualClock.advance(roster.tickMs);
        for (const { id, roster: memberRoster } of nodes) {
          if (!run.isDown?.(id)) send(id, memberRoster.tick(), run);
        }
      }
    },
  };
}

function listHubs(
  cluster: Cluster,
  isDown: (id: string) => boolean = () => false,
): readonly string[] {
  const hubs = cluster.nodes.filter(({ id }) => !isDown(id))
    .map((node) => node.roster.getHub().id);
  return [...new Set(hubs)];
}

test("all members find each other and the oldest is the hub", () => {
  const cluster = createCluster(13);
  cluster.run(1_000);
  expect(listHubs(cluster)).toEqual(["n0"]);
  for (const { roster: memberRoster } of cluster.nodes) {
    expect(memberRoster.listLive()).toHaveLength(13);
  }
});

test("the message rate per member does not grow with the number of members", () => {
  const [small, large] = [createCluster(20), createCluster(60)];
  for (const cluster of [small, large]) cluster.run(2_000);
  const before = [small.countMessages(), large.countMessages()] as const;
  for (const cluster of [small, large]) cluster.run(10_000);
  const perMember = [
    (small.countMessages() - before[0]) / 20,
    (large.countMessages() - before[1]) / 60,
  ] as const;
  expect(perMember[1]).toBeLessThan(perMember[0] * 1.2);
});

test("the next oldest member takes over from a hub that is down", () => {
  const cluster = createCluster(13);
  cluster.run(1_000);
  const isDown = (id: string) => id === "n0";
  cluster.run(1_600, { isDown });
  expect(listHubs(cluster, isDown)).toEqual(["n1"]);
  for (const { id, roster: memberRoster } of cluster.nodes) {
    if (id !== "n0") expect(memberRoster.listLive()).toHaveLength(12);
  }
  cluster.run(1_000);
  expect(listHubs(cluster)).toEqual(["n0"]);
});

test("members keep each other while the hub is replaced", () => {
  const cluster = createCluster(13);
  cluster.run(1_000);
  const isDown = (id: string) => id === "n0";
  for (let elapsedMs = 0; elapsedMs < 4_000; elapsedMs += roster.tickMs) {
    cluster.run(roster.tickMs, { isDown });
    for (const { id, roster: memberRoster } of cluster.nodes) {
      if (isDown(id)) continue;
      const up = memberRoster.listLive().filter(({ id }) => !isDown(id));
      expect(up).toHaveLength(12);
    }
  }
});

test.each([600, 1_000, 1_400, 3_000])(
  "members keep each other when the hub returns after %d ms",
  (downMs) => {
    const cluster = createCluster(13);
    cluster.run(1_000);
    cluster.run(downMs, { isDown: (id) => id === "n0" });
    for (let elapsedMs = 0; elapsedMs < 3_000; elapsedMs += roster.tickMs) {
      cluster.run(roster.tickMs);
      for (const { id, roster: memberRoster } of cluster.nodes) {
        if (id === "n0") continue;
        const others = memberRoster.listLive().filter(({ id }) => id !== "n0");
        expect(others).toHaveLength(12);
      }
    }
    expect(listHubs(cluster)).toEqual(["n0"]);
  },
);

test("a member that is down stays recent for a time, the live ones always", () => {
  const cluster = createCluster(13);
  cluster.run(40_000);
  const { roster: memberRoster } = cluster.nodes[7]!;
  expect(memberRoster.listRecent(30_000)).toHaveLength(13);
  const isDown = (id: string) => id === "n2";
  cluster.run(10_000, { isDown });
  expect(memberRoster.listLive()).toHaveLength(12);
  expect(memberRoster.listRecent(30_000)).toHaveLength(13);
  cluster.run(25_000, { isDown });
  expect(memberRoster.listRecent(30_000)).toHaveLength(12);
});

test("all members drop a member that is down, despite relayed records", () => {
  const cluster = createCluster(13);
  cluster.run(1_000);
  const isDown = (id: string) => id === "n7";
  cluster.run(2_000, { isDown });
  for (const { id, roster: memberRoster } of cluster.nodes) {
    if (id !== "n7") expect(memberRoster.listLive()).toHaveLength(12);
  }
});

test("each side of a partition keeps a hub, and they merge after it heals", () => {
  const cluster = createCluster(13);
  cluster.run(1_000);
  const isLow = (id: string) => Number(id.slice(1)) < 4;
  const isCut = (from: string, to: string) => isLow(from) !== isLow(to);
  cluster.run(2_000, { isCut });
  const listSideHubs = (isLowSide: boolean) =>
    new Set(
      cluster.nodes.filter(({ id }) => isLow(id) === isLowSide)
        .map((node) => node.roster.getHub().id),
    );
  expect(listSideHubs(true)).toEqual(new Set(["n0"]));
  expect(listSideHubs(false)).toEqual(new Set(["n4"]));
  cluster.run(3_000);
  expect(listHubs(cluster)).toEqual(["n0"]);
});

test("members find each other again when the hub and all seeds are gone", () => {
  const cluster = createCluster(13);
  cluster.run(1_000);
  const isDown = (id: string) => ["n0", "n3", "n4", "n5"].includes(id);
  cluster.run(6_000, { isDown });
  expect(listHubs(cluster, isDown)).toEqual(["n1"]);
  for (const { id, roster: memberRoster } of cluster.nodes) {
    if (!isDown(id)) expect(memberRoster.listLive()).toHaveLength(9);
  }
});

test("the parts of a partition merge again when all seeds are gone", () => {
  const cluster = createCluster(13);
  cluster.run(1_000);
  const isDown = (id: string) => ["n3", "n4", "n5"].includes(id);
  const isLow = (id: string) => Number(id.slice(1)) < 7;
  const isCut = (from: string, to: string) => isLow(from) !== isLow(to);
  cluster.run(5_000, { isDown, isCut });
  cluster.run(10_000, { isDown });
  expect(listHubs(cluster, isDown)).toEqual(["n0"]);
});

test("all members keep one hub when a tenth of the messages is lost", () => {
  const cluster = createCluster(21);
  cluster.run(2_000, { loss: 0.1 });
  for (let round = 0; round < 50; round += 1) {
    cluster.run(200, { loss: 0.1 });
    expect(listHubs(cluster)).toEqual(["n0"]);
  }
});

test("one live seed is enough to find all members", () => {
  const cluster = createCluster(6, { seeds: ["absent1", "absent2", "n5"] });
  cluster.run(1_500);
  expect(listHubs(cluster)).toEqual(["n0"]);
});

test("a change of the details reaches all members before the next tick", () => {
  const cluster = createCluster(3, { seeds: ["n0"] });
  cluster.run(1_000);
  const leaving = cluster.nodes[2]!;
  const sends = leaving.roster.setDetails("leaving");
  expect(sends.map(({ to }) => to)).toEqual(["n0"]);
  const [hub, other] = cluster.nodes.map((node) => node.roster);
  for (const { message } of sends) {
    for (const { to, message: relayed } of hub!.handle(message)) {
      if (to === "n1") other!.handle(relayed);
    }
  }
  for (const receiver of [hub!, other!]) {
    expect(receiver.listLive().map(({ details }) => details))
      .toEqual(["n0", "n1", "leaving"]);
  }
});

test("the oldest of the members with the most capacity is the hub", () => {
  const capacities: Readonly<Record<string, number>> = {
    n4: 2,
    n6: 2,
    n7: 1,
    "n4 leaves": 0,
  };
  const getCapacity = (details: string) => capacities[details] ?? 0;
  const cluster = createCluster(9, { getCapacity });
  cluster.run(3_000);
  expect(listHubs(cluster)).toEqual(["n4"]);
  cluster.nodes[4]!.roster.setDetails("n4 leaves");
  cluster.run(1_000);
  expect(listHubs(cluster)).toEqual(["n6"]);
  const isDown = (id: string) => id === "n6";
  cluster.run(3_000, { isDown });
  expect(listHubs(cluster, isDown)).toEqual(["n7"]);
});

test("a member of a lower tier is the hub only if there is no other", () => {
  const getCapacity = (details: string) => details.startsWith("n2") ? 2 : 1;
  const getTier = (details: string) => details.includes("outdated") ? 0 : 1;
  const cluster = createCluster(4, { getCapacity, getTier });
  cluster.run(3_000);
  expect(listHubs(cluster)).toEqual(["n2"]);
  cluster.nodes[2]!.roster.setDetails("n2 outdated");
  cluster.run(1_000);
  expect(listHubs(cluster)).toEqual(["n0"]);
  for (const index of [0, 1, 3]) {
    cluster.nodes[index]!.roster.setDetails(`n${index} outdated`);
  }
  cluster.run(1_000);
  expect(listHubs(cluster)).toEqual(["n2"]);
});

test("the hub receives the status of each member with its hello", () => {
  const manualClock = clock.createManualClock();
  const received: string[] = [];
  const [hub, member] = ["n0", "n1"].map((id, index) =>
    roster.createRoster<string, string>({
      clock: manualClock,
      self: { id, address: id, incarnation: index, details: id },
      seeds: ["n0"],
      readStatus: () => `status of ${id}`,
      onMemberStatus: (status) => void received.push(status),
    })
  );
  for (const { message } of member!.tick()) hub!.handle(message);
  expect(received).toContain("status of n1");
});
