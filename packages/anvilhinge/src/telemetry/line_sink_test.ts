import * as clock from "@anvilhinge/coordination/clock";
import fc from "fast-check";
import * as lineSink from "./line_sink.ts";

/** Output whose reader takes only what `drain` says. */
function createOutput() {
  const lines: string[] = [];
  let held = 0;
  return {
    lines,
    drain: () => (held = 0),
    output: {
      write(line: string | Uint8Array) {
        lines.push(String(line));
        held += line.length;
        return true;
      },
      get writableLength() {
        return held;
      },
    },
  };
}

test("lines that a reader does not take are counted and told later", () => {
  const { output, lines, drain } = createOutput();
  const sink = lineSink.createLineSink({
    output,
    limitBytes: 12,
    createGapLine: (dropped) => `left out ${dropped}\n`,
  });
  for (const line of ["one\n", "two\n", "three\n", "four\n"]) sink.write(line);
  expect(lines).toEqual(["one\n", "two\n"]);
  expect(sink.countDropped()).toBe(2);
  drain();
  sink.write("five\n");
  expect(lines.slice(2)).toEqual(["left out 2\n", "five\n"]);
});

test("whatever is written, no more than the bound waits for the reader", () => {
  fc.assert(fc.property(
    fc.array(fc.oneof(fc.string({ maxLength: 40 }), fc.constant(null))),
    (steps) => {
      const { output, lines, drain } = createOutput();
      const sink = lineSink.createLineSink({
        output,
        limitBytes: 100,
        createGapLine: () => "gap\n",
      });
      let asked = 0;
      for (const step of steps) {
        if (step === null) {
          drain();
          continue;
        }
        asked += 1;
        sink.write(`${step}\n`);
        expect(output.writableLength).toBeLessThanOrEqual(100 + 4);
      }
      const shown = lines.filter((line) => line !== "gap\n").length;
      expect(shown + sink.countDropped()).toBe(asked);
    },
  ));
});

test("a budget lets a burst pass and then so many a second", () => {
  const manual = clock.createManualClock();
  const fits = lineSink.createLineRateLimiter({
    clock: manual,
    linesPerSecond: 10,
    burst: 5,
  });
  const count = (tries: number) =>
    Array.from({ length: tries }, () => fits()).filter(Boolean).length;
  expect(count(20)).toBe(5);
  manual.advance(300);
  expect(count(20)).toBe(3);
  manual.advance(10_000);
  expect(count(20)).toBe(5);
});
