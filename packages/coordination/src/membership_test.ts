import * as membership from "./membership.ts";
import * as random from "./random.ts";

function createPeer(id: string): membership.Peer {
  return {
    id,
    address: `${id}:1`,
    controlAddress: `${id}:2`,
    failureDomain: "milan-1",
    weight: 1,
  };
}

function createMembership(id = "self") {
  return membership.createMembership({
    self: createPeer(id),
    incarnation: 10,
    random: random.createRandomSource(1),
    suspicionMs: 5_000,
  });
}

function createRecord(
  id: string,
  incarnation: number,
  state: membership.MemberState,
): membership.MemberRecord {
  return { ...createPeer(id), incarnation, state };
}

test("a member that does not answer is suspected, then removed", () => {
  const members = createMembership();
  members.apply([createRecord("other", 1, "live")], 0);
  expect(members.suspect("other", 1_000)).toMatchObject([{ state: "suspect" }]);
  expect(members.expire(5_999)).toEqual([]);
  expect(members.listPeers()).toHaveLength(1);
  expect(members.expire(6_000)).toMatchObject([{ state: "removed" }]);
  expect(members.listPeers()).toEqual([]);
});

test("a suspected member refutes the suspicion by raising its incarnation", () => {
  const members = createMembership();
  const other = createMembership("other");
  members.apply([other.getSelf()], 0);
  const suspicion = members.suspect("other", 0);
  const refutation = other.apply(suspicion, 0);
  expect(refutation).toMatchObject([{ incarnation: 11, state: "live" }]);
  members.apply(refutation, 4_000);
  expect(members.expire(60_000)).toEqual([]);
  // The old suspicion no longer has an effect.
  expect(members.apply(suspicion, 4_000)).toEqual([]);
});

test("a restarted member with a low incarnation raises it above the earlier one", () => {
  const members = createMembership();
  members.apply([createRecord("self", 50, "removed")], 0);
  expect(members.getSelf()).toMatchObject({ incarnation: 51, state: "live" });
});

test("the instance list adds members but does not restore removed members", () => {
  const members = createMembership();
  const listed = { ...createPeer("other"), state: "live" } as const;
  expect(members.applyInstanceList([listed], 0)).toHaveLength(1);
  members.suspect("other", 0);
  members.expire(5_000);
  expect(members.applyInstanceList([listed], 6_000)).toEqual([]);
  expect(members.listPeers()).toEqual([]);
  expect(members.pickRemovedTarget()?.id).toBe("other");
});

test("a leaving member that does not answer is removed without suspicion", () => {
  const other = createMembership("other");
  const members = createMembership();
  members.apply([other.getSelf()], 0);
  members.apply(other.leave(), 0);
  expect(members.find("other")?.state).toBe("leaving");
  expect(members.suspect("other", 1)).toMatchObject([{ state: "removed" }]);
});

test("a paused node extends the deadlines of its suspicions", () => {
  const members = createMembership();
  members.apply([createRecord("other", 1, "live")], 0);
  members.suspect("other", 0);
  members.extendDeadlines(4_000);
  expect(members.expire(8_999)).toEqual([]);
  expect(members.expire(9_000)).toHaveLength(1);
});

test("batches are limited in size, and successive batches cover every member", () => {
  const members = createMembership();
  const records = Array.from(
    { length: 40 },
    (_, index) => createRecord(`m-${index}`, 1, "live"),
  );
  members.apply(records, 0);
  const seen = new Set<string>();
  for (let round = 0; round < 10; round += 1) {
    const batch = members.listBatch(16);
    expect(batch).toHaveLength(16);
    for (const { id } of batch) seen.add(id);
  }
  expect(seen.size).toBe(41);
});

test("nodes with equal membership have equal hashes", () => {
  const left = createMembership("left");
  const right = createMembership("right");
  left.apply([right.getSelf()], 0);
  expect(left.hash()).not.toBe(right.hash());
  right.apply([left.getSelf()], 0);
  expect(left.hash()).toBe(right.hash());
});
