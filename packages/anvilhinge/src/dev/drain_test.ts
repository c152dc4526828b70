import * as nodeCrypto from "node:crypto";
import * as undici from "undici";
import * as caller from "./caller.ts";
import * as playgroundSystem from "../testing/playground_system.ts";

const token = "token-of-drafting";
const workspace = "drafting/milan";

async function sendDrain(
  address: string,
  { instance, bearer }: { readonly instance: string; readonly bearer: string },
) {
  const response = await undici.request(`http://${address}/drains`, {
    method: "POST",
    headers: { authorization: `Bearer ${bearer}` },
    body: JSON.stringify({ instance }),
  });
  const body = await response.body.json() as {
    readonly error?: { readonly code: string; readonly message: string };
  };
  return { status: response.statusCode, body };
}

test("a drained entry is omitted from address answers and still serves requests", async () => {
  const abort = new AbortController();
  const running = await playgroundSystem.startPlaygroundSystem({
    half: "association",
    signal: abort.signal,
    operators: [{
      name: "ada",
      tokenSha256: nodeCrypto.createHash("sha256").update(token).digest("hex"),
      subtrees: ["/association/drafting"],
    }],
  });
  const [drained, other] = running.entries;
  const listAddresses = () => caller.fetchAddresses(other!.address, workspace);

  async function waitFor(
    isExpected: (addresses: readonly string[]) => boolean,
  ) {
    for (let poll = 0; poll < 200; poll += 1) {
      if (isExpected(await listAddresses())) return true;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    return false;
  }

  const isListed = (addresses: readonly string[]) =>
    addresses.includes(drained!.address);
  expect(await waitFor(isListed)).toBe(true);

  const drainRequest = { instance: drained!.id, bearer: "wrong" };
  expect((await sendDrain(drained!.address, drainRequest)).status).toBe(403);
  const misdirected = await sendDrain(other!.address, {
    ...drainRequest,
    bearer: token,
  });
  expect(misdirected.status).toBe(404);
  expect(misdirected.body.error?.message).toContain(drained!.address);
  expect(isListed(await listAddresses())).toBe(true);

  const accepted = await sendDrain(drained!.address, {
    ...drainRequest,
    bearer: token,
  });
  expect(accepted.status).toBe(200);
  expect(await waitFor((addresses) => !isListed(addresses))).toBe(true);
  const outcome = await caller.sendChat({
    address: drained!.address,
    workspace,
    body: {
      model: "drafting",
      messages: [{ role: "user", content: "with an old answer" }],
    },
  });
  expect(outcome.kind).toBe("complete");
  await running.stop();
  abort.abort();
});
