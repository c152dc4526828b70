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

  // If only the assignments of the removed entry move, the share that moves,
  // averaged over all removals, is the ideal 1/n.
  test.each([0, 7, count - 1])(
    "only the assignments of entry %i move when it leaves",
    (removedIndex) => {
      const after = selectAll(
        members.filter((_, index) => index !== removedIndex),
      );
      const moved = before.flatMap((ids, index) =>
        ids.filter((id) => !after[index]!.includes(id))
      );
      const assigned = before.flat().filter((id) =>
        id === members[removedIndex]!.id
      );
      expect(moved).toEqual(assigned);
      expect(assigned.length).toBeGreaterThan(0);
    },
  );
});

test("an answer lists entries of different domains, the near domain first", () => {
  const members = createMembers(21, 3);
  const { addresses: answered } = addresses.buildAddressAnswer(
    members,
    options,
  );
  const domains = answered.map((address) =>
    members.find((member) => member.address === address)!.failureDomain
  );
  expect(domains[0]).toBe("domain-1");
  expect(new Set(domains).size).toBe(3);
});

test("only live, ready entries are listed, or suspect entries if none is live", () => {
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

test("without members, an entry answers with its own address", () => {
  expect(addresses.buildAddressAnswer([], options).addresses)
    .toEqual([options.ownAddress]);
});

test("an entry with half the weight gets about half the workspaces", () => {
  const members = createMembers(10, 1).map((member, index) => ({
    ...member,
    weight: index === 0 ? 0.5 : 1,
  }));
  const selected = workspaces.filter((workspace) =>
    addresses.selectEntries(members, { workspace, count: 1 })[0]!.id ===
      "entry-0"
  );
  const expectedCount = workspaceCount * 0.5 / 9.5;
  expect(selected.length).toBeGreaterThan(0.5 * expectedCount);
  expect(selected.length).toBeLessThan(1.5 * expectedCount);
});

test("the time to live has jitter below its maximum", () => {
  const ttls = [0, 0.5, 0.999].map((randomValue) =>
    addresses.buildAddressAnswer([], { ...options, random: () => randomValue })
      .ttlMs
  );
  expect(ttls).toEqual([1_000, 875, 750]);
});
