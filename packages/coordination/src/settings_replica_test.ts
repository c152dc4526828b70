import fc from "fast-check";
import * as settingsReplica from "./settings_replica.ts";

type Objects = readonly settingsReplica.ReplicatedObject[];

const arbitraryObjects = fc.uniqueArray(
  fc.record({
    key: fc.constantFrom("a", "b", "c", "d"),
    version: fc.integer({ min: 1, max: 40 }),
    isRemoved: fc.boolean(),
  }),
  { selector: ({ version }) => version, maxLength: 30 },
).map((entries): Objects =>
  entries.map(({ key, version, isRemoved }) =>
    isRemoved
      ? { kind: "removed", key, version }
      : { kind: "present", key, version, value: `${key}${version}` }
  )
);

function createObject(key: string, version: number) {
  return { kind: "present", key, version, value: `${key}${version}` } as const;
}

test("a key never reverts to an older version", () => {
  fc.assert(
    fc.property(arbitraryObjects, (objects) => {
      const replica = settingsReplica.createSettingsReplica();
      for (const object of objects) {
        const before = replica.get(object.key)?.version ?? 0;
        replica.merge([object]);
        const after = replica.get(object.key)!.version;
        expect(after).toBe(Math.max(before, object.version));
      }
    }),
    { seed: 5 },
  );
});

test("replicas that merged equal objects in any order have equal digests", () => {
  const shuffled = arbitraryObjects.chain((objects) =>
    fc.tuple(
      fc.constant(objects),
      fc.shuffledSubarray([...objects], { minLength: objects.length }),
    )
  );
  fc.assert(
    fc.property(shuffled, ([objects, other]) => {
      const left = settingsReplica.createSettingsReplica();
      const right = settingsReplica.createSettingsReplica();
      left.merge(objects);
      right.merge(other);
      expect(right.getDigest()).toEqual(left.getDigest());
    }),
    { seed: 6 },
  );
});

test("exchanging their difference makes two replicas equal", () => {
  fc.assert(
    fc.property(arbitraryObjects, arbitraryObjects, (mine, theirs) => {
      const left = settingsReplica.createSettingsReplica();
      const right = settingsReplica.createSettingsReplica();
      left.merge(mine);
      // Versions are unique across the store, so the replicas share none.
      right.merge(theirs.map((object) => ({
        ...object,
        version: object.version + 100,
      })));
      const ranges = right.compare(left.getDigest());
      const difference = left.computeDifference(right.summarize(ranges, 1_000));
      right.merge(difference.offered);
      left.merge(difference.wanted.flatMap((key) => right.get(key) ?? []));
      expect(left.getDigest()).toEqual(right.getDigest());
    }),
    { seed: 7 },
  );
});

test("a complete listing turns absent keys into tombstones", () => {
  const replica = settingsReplica.createSettingsReplica();
  replica.merge([
    createObject("s/a", 1),
    createObject("s/b", 2),
    createObject("s/new", 9),
  ]);
  replica.merge([createObject("other", 3)]);
  const changed = replica.mergeList({
    prefix: "s/",
    objects: [createObject("s/a", 1)],
    version: 8,
  });
  expect(changed).toEqual([{ kind: "removed", key: "s/b", version: 8 }]);
  expect(replica.list().map(({ key }) => key).sort())
    .toEqual(["other", "s/a", "s/new"]);
});

test("removed objects do not return after their tombstones were dropped", () => {
  const replica = settingsReplica.createSettingsReplica({ tombstoneLimit: 4 });
  for (let version = 10; version < 30; version += 1) {
    replica.merge([{ kind: "removed", key: `key-${version}`, version }]);
    expect(replica.count()).toBeLessThanOrEqual(4);
  }
  expect(replica.merge([createObject("key-10", 9)])).toEqual([]);
  expect(replica.merge([createObject("key-10", 40)])).toHaveLength(1);
});

test("summaries are limited in size but cover at least one whole range", () => {
  const replica = settingsReplica.createSettingsReplica();
  const count = 2_000;
  replica.merge(
    Array.from(
      { length: count },
      (_, index) => createObject(`key-${index}`, 1),
    ),
  );
  const empty = settingsReplica.createSettingsReplica();
  const ranges = replica.compare(empty.getDigest());
  expect(ranges).toHaveLength(settingsReplica.rangeCount);
  const summaries = replica.summarize(ranges, 100);
  expect(summaries.objects.length).toBeLessThanOrEqual(100);
  expect(replica.summarize(ranges, 1).ranges).toHaveLength(1);
});
