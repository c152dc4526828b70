import * as fc from "fast-check";
import * as conditionalWrite from "./conditional_write.ts";
import * as simulation from "./testing/simulation.ts";
import type * as versionedStore from "./versioned_store.ts";

const key = "assignments/drafting-1";

function createHarness() {
  const simulatedTime = simulation.createSimulation();
  const simulatedStore = simulation.createSimulatedStore(simulatedTime);
  const store: versionedStore.VersionedStore = {
    read: (name) =>
      new Promise((resolve) => simulatedStore.read(name, resolve)),
    write: (name, value, { ifVersion }) =>
      new Promise((resolve) =>
        simulatedStore.write({ key: name, value, ifVersion }, resolve)
      ),
  };
  const write = (value: string, ifVersion: number) =>
    conditionalWrite.writeUntilSettled({
      key,
      value,
      ifVersion,
      isOwn: (stored) => stored === value,
      store,
      schedule: simulatedTime.schedule,
    });
  async function advance(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 1) {
      simulatedTime.advance(1);
      // Runs the promise callbacks of a store answer.
      for (let tick = 0; tick < 4; tick += 1) await Promise.resolve();
    }
  }
  return { simulatedTime, simulatedStore, write, advance };
}

const fault = fc.oneof(
  fc.constant<simulation.StoreFault>({ kind: "none" }),
  fc.constant<simulation.StoreFault>({ kind: "down" }),
  fc.constant<simulation.StoreFault>({ kind: "answer_lost" }),
  fc.record({ kind: fc.constant("late" as const), delayMs: fc.nat(1_500) }),
);

test("a reported outcome still holds after delayed writes take effect", async () => {
  const property = fc.asyncProperty(
    fc.array(fault, { maxLength: 6 }),
    fc.array(fault, { maxLength: 6 }),
    async (firstFaults, secondFaults) => {
      const harness = createHarness();
      harness.simulatedStore.addFaults(
        ...firstFaults.flatMap((item, index) => [
          item,
          secondFaults[index] ?? item,
        ]),
      );
      const pending = [harness.write("a", 0), harness.write("b", 0)];
      await harness.advance(4_000);
      const [a, b] = await Promise.all(pending);
      const winner = harness.simulatedStore.getObject(key)?.value;
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

test("the outcome is unknown if the store stays unavailable after a lost answer", async () => {
  const harness = createHarness();
  harness.simulatedStore.addFaults({ kind: "late", delayMs: 100_000 });
  const pending = harness.write("a", 0);
  await harness.advance(10);
  harness.simulatedStore.setDown(true);
  await harness.advance(3_000);
  expect((await pending).kind).toBe("unknown");
});
