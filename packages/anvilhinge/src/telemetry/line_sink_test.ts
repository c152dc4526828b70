import * as clock from "@anvilhinge/coordination/clock";
import fc from "fast-check";
import * as lineSink from "./line_sink.ts";

/** Creates an output whose buffer empties only when `drain` is called. */
function createOutput() {
  const lines: string[] = [];
  let bufferedLength = 0;
  return {
    lines,
    drain: () => (bufferedLength = 0),
    output: {
      write(line: string | Uint8Array) {
        lines.push(String(line));
        bufferedLength += line.length;
        return true;
      },
      get writableLength() {
        return bufferedLength;
      },
    },
  };
}

test("drops lines over the buffer limit and reports the count later", () => {
  const { output, lines, drain } = createOutput();
  const sink = lineSink.createLineSink({
    output,
    limitBytes: 12,
    createGapLine: (dropped) => `dropped ${dropped}\n`,
  });
  for (const line of ["one\n", "two\n", "three\n", "four\n"]) sink.write(line);
  expect(lines).toEqual(["one\n", "two\n"]);
  expect(sink.countDropped()).toBe(2);
  drain();
  sink.write("five\n");
  expect(lines.slice(2)).toEqual(["dropped 2\n", "five\n"]);
});

test("never buffers more than the limit, whatever is written", () => {
  fc.assert(fc.property(
    // Lines to write; `null` drains the output.
    fc.array(fc.oneof(fc.string({ maxLength: 40 }), fc.constant(null))),
    (steps) => {
      const { output, lines, drain } = createOutput();
      const sink = lineSink.createLineSink({
        output,
        limitBytes: 100,
        createGapLine: () => "gap\n",
      });
      let written = 0;
      for (const step of steps) {
        if (step === null) {
          drain();
          continue;
        }
        written += 1;
        sink.write(`${step}\n`);
        // The gap line of 4 bytes may exceed the limit.
        expect(output.writableLength).toBeLessThanOrEqual(100 + 4);
      }
      const passedCount = lines.filter((line) => line !== "gap\n").length;
      expect(passedCount + sink.countDropped()).toBe(written);
    },
  ));
});

test("the rate limiter allows a burst and then a constant rate", () => {
  const manual = clock.createManualClock();
  const takeToken = lineSink.createLineRateLimiter({
    clock: manual,
    linesPerSecond: 10,
    burst: 5,
  });
  const countAllowed = (attempts: number) =>
    Array.from({ length: attempts }, () => takeToken()).filter(Boolean).length;
  expect(countAllowed(20)).toBe(5);
  manual.advance(300);
  expect(countAllowed(20)).toBe(3);
  manual.advance(10_000);
  expect(countAllowed(20)).toBe(5);
});
