import * as manualScheduler from "../../testing/manual_scheduler.ts";
import * as rankPeers from "./rank_peers.ts";

function createStatus(
  options: Partial<rankPeers.RankStatus>,
): rankPeers.RankStatus {
  return {
    group: "g1",
    size: 3,
    rank: 0,
    epoch: 1,
    canLead: true,
    heldStep: undefined,
    step: 1,
    mapVersion: 0,
    running: 0,
    stalledMs: 0,
    pace: 1,
    engine: "10.0.0.1:1",
    ...options,
  };
}

test("agents of another group do not displace those of the own group", () => {
  const clock = manualScheduler.createManualScheduler();
  const peers = rankPeers.createRankPeers({ clock });
  peers.setOwn(createStatus({ rank: 0 }));
  for (const rank of [1, 2]) {
    peers.record(createStatus({ rank }), `10.0.1.${rank}:1`);
    peers.record(createStatus({ rank, group: "g2" }), `10.0.2.${rank}:1`);
  }
  expect(peers.listLive().map(({ address }) => address))
    .toEqual(["10.0.1.1:1", "10.0.1.2:1"]);
  expect(peers.findLastSeen(2)?.address).toBe("10.0.1.2:1");
  expect(peers.findGroup("10.0.2.1:1")).toBe("g2");
});

test("of two agents that reported one rank, the last seen counts", () => {
  const clock = manualScheduler.createManualScheduler();
  const peers = rankPeers.createRankPeers({ clock });
  peers.setOwn(createStatus({ rank: 0 }));
  peers.record(createStatus({ rank: 1 }), "10.0.1.1:1");
  clock.advance(100);
  peers.record(createStatus({ rank: 1 }), "10.0.1.9:1");
  expect(peers.listLive().map(({ address }) => address))
    .toEqual(["10.0.1.9:1"]);
});
