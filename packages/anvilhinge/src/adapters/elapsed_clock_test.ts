import * as clock from "@anvilhinge/coordination/clock";
import * as elapsedClock from "./elapsed_clock.ts";

function createClocks() {
  const steady = clock.createManualClock(1_000);
  const wall = { ms: 1_700_000_000_000 };
  const elapsed = elapsedClock.createElapsedClock({
    clock: steady,
    readWallMs: () => wall.ms,
  });
  function advance(steadyMs: number, wallMs: number): number {
    steady.advance(steadyMs);
    wall.ms += wallMs;
    return elapsed.now();
  }
  return { advance };
}

test("it runs with the steady clock", () => {
  const { advance } = createClocks();
  expect(advance(500, 500)).toBe(1_500);
  expect(advance(500, 510)).toBe(2_000);
});

test("time in which the machine was suspended counts", () => {
  const { advance } = createClocks();
  expect(advance(10, 6_010)).toBe(7_010);
  expect(advance(10, 10)).toBe(7_020);
});

test("a wall clock that is set back never takes time away", () => {
  const { advance } = createClocks();
  expect(advance(100, -2_000)).toBe(1_100);
  // Its way forward again can't be told from a suspension.
  expect(advance(100, 2_000)).toBeGreaterThanOrEqual(1_200);
});

test("drift below the bound is not counted, however long it goes on", () => {
  const { advance } = createClocks();
  let now = 0;
  for (let turn = 0; turn < 100; turn += 1) now = advance(1_000, 1_050);
  expect(now).toBe(101_000);
});
