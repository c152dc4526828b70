import * as shutdown from "./shutdown.ts";

test("the first signal starts a graceful shutdown, the second exits and reports the interrupted work", () => {
  const written: string[] = [];
  const exitCodes: number[] = [];
  const processShutdown = shutdown.createShutdown({
    writeError: (text) => void written.push(text),
    exit: (code) => void exitCodes.push(code),
  });
  processShutdown.registerWorkDescriber(() => "3 requests");
  processShutdown.handleSignal();
  expect(processShutdown.signal.aborted).toBe(true);
  expect(exitCodes).toEqual([]);
  processShutdown.handleSignal();
  expect(exitCodes).toEqual([shutdown.forcedExitCode]);
  expect(written).toEqual(["Ends at once and cuts 3 requests\n"]);
});
