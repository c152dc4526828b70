import * as childProcess from "node:child_process";
import { once } from "node:events";
import * as fs from "node:fs/promises";
import * as net from "node:net";
import * as os from "node:os";
import * as nodePath from "node:path";
import * as caller from "../packages/anvilhinge/src/dev/caller.ts";
import * as answer from "../packages/anvilhinge/src/stand_ins/answer.ts";
import * as binarySystem from "./binary_system.ts";
import * as build from "./build.ts";

const testTimeoutMs = 120_000;
const workspace = "drafting/milan";

function buildChat(content: string) {
  return {
    model: "drafting",
    messages: [{ role: "user", content }],
    max_tokens: 64,
  };
}

/** Returns a chat whose answer is long enough to be interrupted. */
function buildLongChat(label: string) {
  for (let index = 0;; index += 1) {
    const body = buildChat(`${label} ${index}`);
    if (answer.generateTokens(body).length >= 40) return body;
  }
}

describe("the binary as separate processes", () => {
  let folder: string;
  let binary: string;
  let running: binarySystem.BinarySystem | undefined;

  beforeAll(async () => {
    folder = await fs.mkdtemp(nodePath.join(os.tmpdir(), "anvilhinge-"));
    binary = await build.buildBinary();
    running = await binarySystem.startBinarySystem({
      binary,
      folder,
      stepMs: 20,
    });
    await waitForAnswers();
  }, testTimeoutMs);

  afterAll(async () => {
    await running?.close();
    await fs.rm(folder, { recursive: true });
  });

  function getLiveEntry(): binarySystem.BinaryProcess {
    const live = running!.entries.find(({ process }) =>
      process.exitCode === null && process.signalCode === null
    );
    return live!;
  }

  /**
   * Waits for 12 complete answers, so that each agent has received its
   * assignment.
   */
  async function waitForAnswers(): Promise<void> {
    for (let completed = 0; completed < 12;) {
      const { address } = getLiveEntry();
      const body = buildChat(`start ${completed}`);
      const outcome = await caller.sendChat({ address, workspace, body });
      if (outcome.kind === "complete") completed += 1;
    }
  }

  /** Sends a long chat and calls `onMiddle` once, after the fifth token. */
  function sendLongChat(
    entry: binarySystem.BinaryProcess,
    body: ReturnType<typeof buildChat>,
    onMiddle: () => void,
  ): Promise<caller.ChatOutcome> {
    let tokens = 0;
    return caller.sendChat({
      address: entry.address,
      workspace,
      body,
      onToken() {
        tokens += 1;
        if (tokens === 5) onMiddle();
      },
    });
  }

  test(
    "an answer resumes through another entry after its entry is killed",
    async () => {
      const [first, second] = running!.entries;
      const body = buildLongChat("killed entry");
      const partial = await sendLongChat(first!, body, () => {
        first!.process.kill("SIGKILL");
      });
      if (partial.kind !== "broken") throw new Error(`Chat ${partial.kind}`);
      const resumed = await caller.sendChat({
        address: second!.address,
        workspace,
        body,
        headers: { "last-event-id": partial.lastEventId },
      });
      expect(resumed.kind).toBe("complete");
      const tokens = resumed.kind === "complete" ? resumed.tokens : [];
      expect([...partial.tokens, ...tokens]).toEqual(
        answer.generateTokens(body),
      );
    },
    testTimeoutMs,
  );

  test(
    "requests are answered after an agent is killed while it sends answers",
    async () => {
      const entry = getLiveEntry();
      const killedAgent = running!.agents[0]!;
      const bodies = Array.from(
        { length: 12 },
        (_, index) => buildLongChat(`killed agent ${index}`),
      );
      let isKilled = false;
      const outcomes = await Promise.all(
        bodies.map((body) =>
          sendLongChat(entry, body, () => {
            if (!isKilled) killedAgent.process.kill("SIGKILL");
            isKilled = true;
          })
        ),
      );
      for (const [index, outcome] of outcomes.entries()) {
        const expected = answer.generateTokens(bodies[index]!);
        if (outcome.kind === "refused") throw new Error(outcome.message);
        // An interrupted answer is reported as such and is a prefix of the
        // expected answer.
        expect(expected.slice(0, outcome.tokens.length)).toEqual(
          outcome.tokens,
        );
        if (outcome.kind === "complete") {
          expect(outcome.tokens).toEqual(expected);
        }
      }
      const kinds = outcomes.map(({ kind }) => kind);
      expect(kinds).toContain("complete");
      const body = buildChat("after the kill");
      const laterOutcomes = await Promise.all(
        Array.from(
          { length: 8 },
          () => caller.sendChat({ address: entry.address, workspace, body }),
        ),
      );
      expect(laterOutcomes.map(({ kind }) => kind)).toEqual(
        laterOutcomes.map(() => "complete"),
      );
    },
    testTimeoutMs,
  );

  test(
    "an entry completes its answers on SIGTERM and exits with 0",
    async () => {
      const entry = getLiveEntry();
      const body = buildLongChat("planned stop");
      const exit = once(entry.process, "exit");
      const outcome = await sendLongChat(entry, body, () => {
        entry.process.kill("SIGTERM");
      });
      expect(outcome).toMatchObject({
        kind: "complete",
        tokens: answer.generateTokens(body),
      });
      expect((await exit)[0]).toBe(0);
    },
    testTimeoutMs,
  );

  test("an entry logs an error and exits if its port is in use", async () => {
    const blocker = net.createServer().listen(0, "127.0.0.1");
    await once(blocker, "listening");
    const { port } = blocker.address() as net.AddressInfo;
    const file = nodePath.join(folder, "port-in-use.jsonc");
    await fs.writeFile(
      file,
      JSON.stringify({
        id: "port-in-use",
        half: "association",
        address: { host: "127.0.0.1", port: 0 },
        controlAddress: { host: "127.0.0.1", port },
        failureDomain: "milan_a",
        region: "milan",
        platform: {
          objectStore: "http://127.0.0.1:1",
          instanceList: "http://127.0.0.1:1",
        },
      }),
    );
    const child = childProcess.spawn(binary, ["entry", "--settings", file], {
      stdio: ["ignore", "ignore", "pipe"],
    });
    let errors = "";
    child.stderr.setEncoding("utf8").on("data", (text) => {
      errors += text;
    });
    const [code] = await once(child, "close");
    blocker.close();
    expect(code).toBe(1);
    expect(errors).toContain("The process can't start");
  }, testTimeoutMs);
});
