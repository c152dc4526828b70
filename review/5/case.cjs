"use strict";
/**
 * One entry, which assigns the slots of the model replicas for all entries, is
 * cut off from the store. Meanwhile a replica leaves. The entries that are in
 * touch must send it nothing later than `drain_ms` after the confirmation.
 */
const manifest = require("../manifest.cjs");
const platform = require("../platform.cjs");
const replicas = require("../replica.cjs");
const system = require("../system.cjs");

const { sleep } = system;
const cutMs = 5_500;
const leaveAfterMs = 500;
/** Time for which a replica serves on after the drain time. */
const lingerMs = 1_500;
const events = 26;
const gapMs = 30;
const requestIntervalMs = 60;

system.runCase(__dirname, async ({ record, hasTrouble, onEnd }) => {
  const machines = await system.createSystem({ record, entryCount: 3 });
  onEnd(machines.stop);
  const store = await platform.startStore(`127.${machines.net}.2.1`);
  onEnd(store.close);
  const runs = [];
  const born = Date.now();
  const servers = [];
  for (let index = 1; index <= 4; index += 1) {
    const replica = await replicas.startReplica({
      id: `i-model-${index}`,
      host: `127.${machines.net}.3.${index}`,
      onRun: (run) => runs.push(run),
      respond: (call) => replicas.answerStream(call, { events, gapMs }),
    });
    onEnd(replica.close);
    servers.push(replica);
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
  // The first entry reaches the store through a proxy that can go silent.
  const proxy = await system.startProxy(
    `127.${machines.net}.2.2`,
    store.address,
  );
  onEnd(proxy.close);
  const entries = [];
  for (const index of [0, 1, 2]) {
    const address = index === 0 ? proxy.address : store.address;
    entries.push(machines.startEntry(index, { store: address }));
    await system.waitUntilReady(entries[index]);
  }
  await sleep(4_000);

  let leftAtMs = Infinity;
  let isSending = true;
  const results = [];
  async function sendOne(entry) {
    const headers = manifest.buildHeaders({
      key: "key-1",
      leftMs: 8_022,
      extra: { "X-Model": "m", "X-Token-Counts": "714,156" },
    });
    const result = await system.send({
      ...entry.front,
      method: "POST",
      path: "/wording/item-4",
      headers,
      body: "agenda item 4",
    });
    const attemptId = headers["X-Attempt-Id"];
    results.push({ entry: entry.name, attemptId, ...result });
  }
  // Requests go only to the entries that are in touch all the time.
  async function sendInTurn() {
    const all = [];
    while (isSending) {
      const entry = entries[1 + all.length % 2];
      all.push(sendOne(entry));
      await sleep(requestIntervalMs);
    }
    await Promise.all(all);
  }
  const sending = sendInTurn();
  await sleep(2_000);
  if (hasTrouble) {
    record("front-1 is cut off from the store");
    proxy.silence();
  }
  await sleep(leaveAfterMs);
  const [leaving] = servers;
  store.put(
    "servers",
    leaving.id,
    manifest.buildEntry(leaving, {
      service: manifest.models,
      sequence: 2,
      state: "draining",
      born,
    }),
  );
  leftAtMs = Date.now();
  record(`${leaving.id} is draining, confirmed by the store`);
  const exit = setTimeout(() => {
    store.remove("servers", leaving.id);
    record(`${leaving.id} exits`);
    leaving.crash();
  }, system.bounds.drain_ms + lingerMs);
  onEnd(() => clearTimeout(exit));
  await sleep(cutMs - leaveAfterMs);
  if (hasTrouble) {
    record("front-1 reaches the store again");
    proxy.pass();
  }
  await sleep(2_000);
  isSending = false;
  await sending;

  const byAttempt = new Map(results.map((item) => [item.attemptId, item]));
  const late = [];
  let lost = 0;
  for (const run of runs.filter(({ replica }) => replica === leaving.id)) {
    const { entry, sentAtMs, status, isComplete } = byAttempt.get(
      run.attemptId,
    );
    const afterMs = run.atMs - leftAtMs;
    if (afterMs < 0) continue;
    record(
      `${leaving.id} runs ${run.attemptId} of ${entry}, ${afterMs} ms after ` +
        `its leaving was confirmed; sent by the requester ${
          sentAtMs - leftAtMs
        } ms after it; the requester got ${status}, ${
          isComplete ? "whole" : "broken off"
        }`,
    );
    if (afterMs <= system.bounds.drain_ms) continue;
    late.push(afterMs);
    if (status !== 200 || !isComplete) lost += 1;
  }
  const served = results.filter(({ status, isComplete }) =>
    status === 200 && isComplete
  ).length;
  record(`${served} of ${results.length} requests were served`);
  if (served === 0) throw new Error("No request was served");
  return {
    isBroken: late.length > 0,
    verdict: late.length > 0
      ? `BROKEN: ${late.length} requests reached the leaving replica more than ` +
        `${system.bounds.drain_ms} ms after the confirmation, the last one ` +
        `${
          Math.max(...late)
        } ms after it; ${lost} of them were lost as it exited`
      : "HELD: nothing reached the leaving replica after the drain time",
  };
});
