import * as undici from "undici";
import * as answer from "../stand_ins/answer.ts";
import * as caller from "./caller.ts";
import type * as system from "./system.ts";
import * as playgroundSystem from "../testing/playground_system.ts";

function buildChat(content: string) {
  return { model: "drafting", messages: [{ role: "user", content }] };
}

describe("a system on loopback", () => {
  const abort = new AbortController();
  let running: system.RunningSystem | undefined;
  let address: string;

  beforeAll(async () => {
    running = await playgroundSystem.startPlaygroundSystem({
      signal: abort.signal,
    });
    address = running.entries.find((entry) => entry.half === "association")!
      .address;
    await expect(waitForAnswer(address)).resolves.toBe("complete");
  });

  afterAll(async () => {
    await running?.stop();
    abort.abort();
  });

  async function waitForAnswer(at: string): Promise<string> {
    for (let poll = 0; poll < 100; poll += 1) {
      const outcome = await caller.sendChat({
        address: at,
        workspace: "drafting/milan",
        body: buildChat("first"),
      });
      if (outcome.kind === "complete") return outcome.kind;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    return "no answer";
  }

  test("each caller receives the complete answer to its own request", async () => {
    const outcomes = await Promise.all(
      Array.from({ length: 20 }, (_, index) =>
        caller.sendChat({
          address,
          workspace: "drafting/milan",
          body: buildChat(`minutes ${index}`),
        })),
    );
    for (const [index, outcome] of outcomes.entries()) {
      expect(outcome).toMatchObject({
        kind: "complete",
        tokens: answer.generateTokens(buildChat(`minutes ${index}`)),
      });
    }
  });

  test("an unknown workspace and an unknown model are refused with their codes", async () => {
    const body = buildChat("agenda");
    const first = await caller.sendChat({
      address,
      workspace: "drafting/nowhere",
      body,
    });
    expect(first).toMatchObject({ status: 400, code: "unknown_workspace" });
    const second = await caller.sendChat({
      address,
      workspace: "drafting/milan",
      body: { ...body, model: "none" },
    });
    expect(second).toMatchObject({ status: 400, code: "unknown_model" });
  });

  test("a service call is executed once", async () => {
    const response = await undici.request(
      `http://${address}/services/registry/filings`,
      {
        method: "POST",
        headers: {
          "x-workspace": "drafting/milan",
          "content-type": "application/json",
        },
        body: JSON.stringify({
          businessId: "filing-1",
          recordId: "minutes-1",
          text: "resolution",
        }),
      },
    );
    expect(response.statusCode).toBe(201);
    await response.body.dump();
    const entries = running!.groups.flatMap((group) =>
      group.service?.getLedger() ?? []
    );
    expect(entries.filter((entry) => entry.filing.businessId === "filing-1"))
      .toHaveLength(1);
  });

  test("the address answer lists the live entries of the half", async () => {
    const expected = running!.entries.filter((entry) =>
      entry.half === "association"
    )
      .map((entry) => entry.address);
    let addresses: readonly string[] = [];
    for (
      let poll = 0;
      poll < 100 && addresses.length < expected.length;
      poll += 1
    ) {
      addresses = await caller.fetchAddresses(address, "drafting/milan");
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    expect([...addresses].sort()).toEqual([...expected].sort());
  });
});
