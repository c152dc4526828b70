import * as addresses from "./addresses.ts";

const workspaceCount = 690;
const workspaces = Array.from(
  { length: workspaceCount },
  (_, index) => `team-${index % 30}/workspace-${index}`,
);

function createMembers(
  count: number,
  domainCount: number,
): readonly addresses.EntryMember[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `entry-${index}`,
    address: `10.0.${Math.floor(index / 250)}.${index % 250}:7000`,
    failureDomain: `domain-${index % domainCount}`,
    state: "live",
  }));
}

const options = {
  workspace: "drafting/milan",
  ownAddress: "10.9.9.9:7000",
  nearDomain: "domain-1",
  random: () => 0.5,
  ttlMs: 1_000,
};

function selectAll(
  members: readonly addresses.EntryMember[],
): readonly (readonly string[])[] {
  return workspaces.map((workspace) =>
    addresses.selectEntries(members, { workspace, count: 3 })
      .map(({ id }) => id)
  );
}

describe.each([
  { count: 21, domainCount: 3 },
  { count: 430, domainCount: 10 },
])("churn with $count entries", ({ count, domainCount }) => {
  const members = createMembers(count, domainCount);
  const before = selectAll(members);

  // The places of all entries sum up to all places, so the mean share that
  // moves is the ideal 1/n when exactly the places of the one that left move.
  test.each([0, 7, count - 1])(
    "exactly the places of entry %i move when it leaves",
    (gone) => {
      const after = selectAll(members.filter((_, index) => index !== gone));
      const moved = before.flatMap((ids, index) =>
        ids.filter((id) => !after[index]!.includes(id))
      );
      const held = before.flat().filter((id) => id === members[gone]!.id);
      expect(moved).toEqual(held);
      expect(held.length).toBeGreaterThan(0);
    },
  );
});

test("an answer has entries of different domains, the near one first", () => {
  const members = createMembers(21, 3);
  const { addresses: found } = addresses.buildAddressAnswer(members, options);
  const domains = found.map((address) =>
    members.find((member) => member.address === address)!.failureDomain
  );
  expect(domains[0]).toBe("domain-1");
  expect(new Set(domains).size).toBe(3);
});

test("leaving, removed, suspected and unready entries are left out", () => {
  const members = createMembers(5, 3);
  const [live, ...others] = members;
  const changed = [
    live!,
    { ...others[0]!, state: "leaving" as const },
    { ...others[1]!, state: "removed" as const },
    { ...others[2]!, state: "suspect" as const },
    { ...others[3]!, weight: 0 },
  ];
  expect(addresses.buildAddressAnswer(changed, options).addresses)
    .toEqual([live!.address]);
  expect(addresses.buildAddressAnswer(changed.slice(1), options).addresses)
    .toEqual([others[2]!.address]);
});

test("an entry that knows nobody answers with itself", () => {
  expect(addresses.buildAddressAnswer([], options).addresses)
    .toEqual([options.ownAddress]);
});

test("an entry of half the weight gets about half the workspaces", () => {
  const members = createMembers(10, 1).map((member, index) => ({
    ...member,
    weight: index === 0 ? 0.5 : 1,
  }));
  const first = workspaces.filter((workspace) =>
    addresses.selectEntries(members, { workspace, count: 1 })[0]!.id ===
      "entry-0"
  );
  const ideal = workspaceCount * 0.5 / 9.5;
  expect(first.length).toBeGreaterThan(0.5 * ideal);
  expect(first.length).toBeLessThan(1.5 * ideal);
});

test("the time to live is spread below its limit", () => {
  const ttls = [0, 0.5, 0.999].map((drawn) =>
    addresses.buildAddressAnswer([], { ...options, random: () => drawn }).ttlMs
  );
  expect(ttls).toEqual([1_000, 875, 750]);
});
