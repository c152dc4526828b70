import * as clock from "@anvilhinge/coordination/clock";
import * as elapsedClock from "./elapsed_clock.ts";

function createClocks() {
  const monotonic = clock.createManualClock(1_000);
  const wall = { ms: 1_700_000_000_000 };
  const elapsed = elapsedClock.createElapsedClock({
    clock: monotonic,
    readWallMs: () => wall.ms,
  });
  function advance(monotonicMs: number, wallMs: number): number {
    monotonic.advance(monotonicMs);
    wall.ms += wallMs;
    return elapsed.now();
  }
  return { advance };
}

test("advances with the monotonic clock", () => {
  const { advance } = createClocks();
  expect(advance(500, 500)).toBe(1_500);
  expect(advance(500, 510)).toBe(2_000);
});

test("counts time during which the machine was suspended", () => {
  const { advance } = createClocks();
  expect(advance(10, 6_010)).toBe(7_010);
  expect(advance(10, 10)).toBe(7_020);
});

test("does not go back when the wall clock is set back", () => {
  const { advance } = createClocks();
  expect(advance(100, -2_000)).toBe(1_100);
  // Setting the wall clock forward again can't be told from a suspension.
  expect(advance(100, 2_000)).toBeGreaterThanOrEqual(1_200);
});

test("never counts drift below the threshold, even over a long time", () => {
  const { advance } = createClocks();
  let now = 0;
  for (let tick = 0; tick < 100; tick += 1) now = advance(1_000, 1_050);
  expect(now).toBe(101_000);
});
