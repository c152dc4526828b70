import * as shutdown from "./shutdown.ts";

test("the first signal asks, the second ends and says what was cut", () => {
  const written: string[] = [];
  const codes: number[] = [];
  const asked = shutdown.createShutdown({
    writeError: (text) => void written.push(text),
    exit: (code) => void codes.push(code),
  });
  asked.setWorkDescription(() => "3 requests");
  asked.handleSignal();
  expect(asked.signal.aborted).toBe(true);
  expect(codes).toEqual([]);
  asked.handleSignal();
  expect(codes).toEqual([shutdown.forcedExitCode]);
  expect(written).toEqual(["Ends at once and cuts 3 requests\n"]);
});
