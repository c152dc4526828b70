import * as fc from "fast-check";
import * as conditionalWrite from "./conditional_write.ts";
import * as simulation from "./testing/simulation.ts";
import type * as versionedStore from "./versioned_store.ts";

const key = "assignments/drafting-1";

function createWorld() {
  const time = simulation.createSimulation();
  const fake = simulation.createSimulatedStore(time);
  const store: versionedStore.VersionedStore = {
    read: (name) => new Promise((resolve) => fake.read(name, resolve)),
    write: (name, value, { ifVersion }) =>
      new Promise((resolve) =>
        fake.write({ key: name, value, ifVersion }, resolve)
      ),
  };
  const write = (value: string, ifVersion: number) =>
    conditionalWrite.writeUntilSettled({
      key,
      value,
      ifVersion,
      isOwn: (stored) => stored === value,
      store,
      schedule: time.schedule,
    });
  async function advance(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 1) {
      time.advance(1);
      for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
    }
  }
  return { time, fake, write, advance };
}

const fault = fc.oneof(
  fc.constant<simulation.StoreFault>({ kind: "none" }),
  fc.constant<simulation.StoreFault>({ kind: "down" }),
  fc.constant<simulation.StoreFault>({ kind: "answer_lost" }),
  fc.record({ kind: fc.constant("late" as const), delayMs: fc.nat(1_500) }),
);

test("an outcome that is told is true, also after all late writes", async () => {
  const property = fc.asyncProperty(
    fc.array(fault, { maxLength: 6 }),
    fc.array(fault, { maxLength: 6 }),
    async (first, second) => {
      const world = createWorld();
      world.fake.addFaults(
        ...first.flatMap((one, at) => [one, second[at] ?? one]),
      );
      const pending = [world.write("a", 0), world.write("b", 0)];
      await world.advance(4_000);
      const [a, b] = await Promise.all(pending);
      const winner = world.fake.getObject(key)?.value;
      const accepted = [a, b].filter((outcome) => outcome?.kind === "accepted");
      expect(accepted.length).toBeLessThanOrEqual(1);
      if (a?.kind === "accepted") expect(winner).toBe("a");
      if (b?.kind === "accepted") expect(winner).toBe("b");
      const isRefused = (outcome?: conditionalWrite.SettledOutcome) =>
        outcome?.kind === "conflict" || outcome?.kind === "unavailable";
      if (isRefused(a)) expect(winner).not.toBe("a");
      if (isRefused(b)) expect(winner).not.toBe("b");
    },
  );
  await fc.assert(property, { seed: 3, numRuns: 60 });
});

test("a store that stays away after a lost answer leaves it unknown", async () => {
  const world = createWorld();
  world.fake.addFaults({ kind: "late", delayMs: 100_000 });
  const pending = world.write("a", 0);
  await world.advance(10);
  world.fake.setDown(true);
  await world.advance(3_000);
  expect((await pending).kind).toBe("unknown");
});
