"use strict";
/**
 * The process of an entry is killed while it passes on streams that have neither
 * a length nor chunks. No stream may end as complete before its last piece.
 */
const manifest = require("../manifest.cjs");
const platform = require("../platform.cjs");
const { sendRaw } = require("../raw.cjs");
const replicas = require("../replica.cjs");
const system = require("../system.cjs");

const { sleep } = system;
const events = 26;
const gapMs = 30;
const requestIntervalMs = 100;
const beforeMs = 3_000;
const afterMs = 3_000;

system.runCase(__dirname, async ({ record, hasTrouble, onEnd }) => {
  const machines = await system.createSystem({ record, entryCount: 2 });
  onEnd(machines.stop);
  const store = await platform.startStore(`127.${machines.net}.2.1`);
  onEnd(store.close);
  const runs = [];
  const born = Date.now();
  for (let index = 1; index <= 4; index += 1) {
    const replica = await replicas.startReplica({
      id: `i-model-${index}`,
      host: `127.${machines.net}.3.${index}`,
      onRun: (run) => runs.push(run),
      respond: (call) => replicas.answerUnframedStream(call, { events, gapMs }),
    });
    onEnd(replica.close);
    store.put(
      "servers",
      replica.id,
      manifest.buildEntry(replica, {
        service: manifest.models,
        sequence: 1,
        born,
      }),
    );
  }
  store.put("config", "main", manifest.buildManifest(7, { keys: ["key-1"] }));
  const entries = [0, 1].map((index) =>
    machines.startEntry(index, { store: store.address })
  );
  for (const entry of entries) await system.waitUntilReady(entry);
  await sleep(3_000);

  const [killed, other] = entries;
  let killedAtMs = Infinity;
  async function sendOne(entry) {
    const headers = manifest.buildHeaders({
      key: "key-1",
      leftMs: 8_022,
      extra: { "X-Model": "m", "X-Token-Counts": "714,156" },
    });
    const result = await sendRaw(entry.front, {
      method: "POST",
      target: "/summary/item-4",
      headers,
      body: "agenda item 4",
    });
    return { entry, attemptId: headers["X-Attempt-Id"], ...result };
  }
  const all = [];
  const endMs = Date.now() + beforeMs + afterMs;
  const killing = sleep(beforeMs).then(() => {
    if (!hasTrouble) return;
    record(`SIGKILL to ${killed.name}`);
    killedAtMs = Date.now();
    killed.process.kill("SIGKILL");
  });
  while (Date.now() < endMs) {
    // Requesters don't connect to an entry that is gone.
    const targets = Date.now() < killedAtMs ? [killed, other] : [other];
    for (const entry of targets) all.push(sendOne(entry));
    await sleep(requestIntervalMs);
  }
  await killing;
  const results = await Promise.all(all);

  const listRuns = (id) =>
    runs.filter(({ attemptId }) => attemptId === id)
      .map(({ replica }) => replica).join(", ") || "none";
  const describeTime = (atMs) =>
    killedAtMs === Infinity || atMs < killedAtMs
      ? "before the kill"
      : `${atMs - killedAtMs} ms after the kill`;
  const describe = ({ content }) => (content.match(/^id: /gm) ?? []).length;
  const successes = results.filter(({ status, isComplete }) =>
    status === 200 && isComplete
  );
  const short = successes.filter((result) => describe(result) < events);
  for (const result of results) {
    const { attemptId, status, framing, end, isSigned, isComplete } = result;
    record(
      `${attemptId} to ${result.entry.name}, run by ${
        listRuns(attemptId)
      }, ended ${describeTime(result.endedAtMs)}: status ${status}, ${
        isSigned ? "signed" : "no signature"
      }, ` +
        `framed by ${framing}, ${describe(result)} of ${events} events, the ` +
        `channel closed by ${end}: ${isComplete ? "complete" : "broken off"}`,
    );
  }
  record(
    `${results.length} requests, ${runs.length} runs, ${successes.length} ` +
      "answers that ended as complete",
  );
  if (successes.length === short.length) throw new Error("Nothing was served");
  return {
    isBroken: short.length > 0,
    verdict: short.length > 0
      ? `BROKEN: ${short.length} streams ended as complete before their last piece`
      : "HELD: every stream that ended as complete had all its pieces",
  };
});
