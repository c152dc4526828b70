import * as undici from "undici";
import type * as faults from "../stand_ins/faults.ts";
import * as caller from "./caller.ts";
import type * as system from "./system.ts";
import * as playgroundSystem from "../testing/playground_system.ts";

const workspace = "drafting/milan";
/** Limited to 8 requests per second and 16 concurrent requests. */
const limitedWorkspace = "drafting/brescia";
const testTimeoutMs = 60_000;

describe("upstreams with faults", () => {
  const abort = new AbortController();
  let running: system.RunningSystem | undefined;
  let address: string;

  beforeAll(async () => {
    running = await playgroundSystem.startPlaygroundSystem({
      signal: abort.signal,
      entriesPerHalf: 1,
    });
    address = running.entries.find((entry) => entry.half === "association")!
      .address;
    for (let poll = 0; poll < 100; poll += 1) {
      if ((await sendChat(`wait ${poll}`)).kind === "complete") return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error("System answered no chat within 100 polls");
  }, testTimeoutMs);

  afterAll(async () => {
    await running?.stop();
    abort.abort();
  }, testTimeoutMs);

  function sendChat(content: string): Promise<caller.ChatOutcome> {
    const body = { model: "drafting", messages: [{ role: "user", content }] };
    return caller.sendChat({ address, workspace, body });
  }

  function listSwitches(): readonly faults.FaultSwitch[] {
    return running!.groups
      .filter((group) => group.name.startsWith("drafting-"))
      .flatMap((group) => group.faults);
  }

  async function readMetric(name: string): Promise<number> {
    const response = await undici.request(`http://${address}/metrics`);
    const text = await response.body.text();
    const line = text.split("\n").find((row) => row.startsWith(`${name} `));
    return Number(line?.slice(name.length) ?? 0);
  }

  test("no answer is truncated while a third of the ranks crash", async () => {
    const crashed = listSwitches().filter((_, index) => index % 3 === 0);
    for (const faultSwitch of crashed) faultSwitch.set({ kind: "crash" });
    // Until the crashed ranks are ejected, all four attempts of a request may
    // reach crashed ranks. The request is then refused, and its answer is never
    // truncated. A rank that broke the connection after the request was sent may
    // have started it, so an attempt counts as not run only if it reached no
    // engine.
    for (let request = 0; request < 40; request += 1) {
      const outcome = await sendChat(`first ${request}`);
      if (outcome.kind === "complete") continue;
      expect(outcome.kind).toBe("refused");
      if (outcome.kind !== "refused") continue;
      expect(["not_run no", "failed unknown", "failed yes"])
        .toContain(`${outcome.code} ${outcome.ran}`);
    }
    for (let request = 0; request < 40; request += 1) {
      const outcome = await sendChat(`crash ${request}`);
      // Compares the message, so that a failure of this test shows the cause.
      expect(outcome.kind === "complete" ? "" : outcome.message).toBe("");
      expect(outcome.kind).toBe("complete");
    }
    expect(await readMetric("anvilhinge_ejected_upstreams"))
      .toBeGreaterThan(0);
    expect(await readMetric("anvilhinge_ejected_upstreams"))
      .toBeLessThanOrEqual(crashed.length);
    for (const faultSwitch of crashed) faultSwitch.set({ kind: "none" });
  }, testTimeoutMs);

  test(
    "requests over the limit of a workspace are refused with a retry time",
    async () => {
      const responses = await Promise.all(
        Array.from(
          { length: 400 },
          () =>
            undici.request(`http://${address}/v1/chat/completions`, {
              method: "POST",
              headers: {
                "x-workspace": limitedWorkspace,
                "content-type": "application/json",
              },
              body: JSON.stringify({
                model: "drafting",
                messages: [{ role: "user", content: "over the limit" }],
              }),
            }),
        ),
      );
      const answers = await Promise.all(responses.map(async (response) => ({
        status: response.statusCode,
        retryAfter: Number(response.headers["retry-after"]),
        text: await response.body.text(),
      })));
      const refused = answers.filter(({ status }) => status === 429);
      expect(refused.length).toBeGreaterThan(0);
      for (const { retryAfter, text } of refused) {
        expect(retryAfter).toBeGreaterThanOrEqual(1);
        expect(JSON.parse(text).error).toMatchObject({
          code: "not_run",
          ran: "no",
        });
      }
      const complete = answers.filter(({ status }) => status === 200);
      expect(complete.length).toBeGreaterThan(0);
      expect(complete.length + refused.length).toBe(400);
    },
    testTimeoutMs,
  );

  test("a rank that stalls with open connections is ejected", async () => {
    const stalls =
      'anvilhinge_health_changes_total{kind="ejected",cause="stall"}';
    expect(await readMetric(stalls)).toBe(0);
    const [stalled] = listSwitches().slice(1);
    stalled!.set({ kind: "stall" });
    // The load determines how soon a request reaches the stalled rank; all
    // requests must be answered completely nevertheless.
    for (
      let batch = 0;
      batch < 20 && await readMetric(stalls) === 0;
      batch += 1
    ) {
      const outcomes = await Promise.all(
        Array.from(
          { length: 60 },
          (_, index) => sendChat(`stall ${batch} ${index}`),
        ),
      );
      expect(outcomes.every(({ kind }) => kind === "complete")).toBe(true);
    }
    expect(await readMetric(stalls)).toBeGreaterThan(0);
    stalled!.set({ kind: "none" });
  }, testTimeoutMs);
});
