"use strict";
/**
 * Planned stop of one entry. A requester that still uses its address answer
 * sends streams to the entry before the entry closes; a sound replica answers
 * each in time. No stream may end without its whole answer.
 */
const manifest = require("../manifest.cjs");
const platform = require("../platform.cjs");
const replicas = require("../replica.cjs");
const system = require("../system.cjs");

const { sleep } = system;
/** Most events of one answer of the site, at under two thirds of its pause. */
const events = 66;
const gapMs = 75;
/** Times after SIGTERM at which requesters send. */
const sendTimesMs = [-500, 500, 1_500, 2_500, 3_200, 3_400, 3_600, 3_800];
/** Some requesters keep an address answer three times as long as it says. */
const cacheFactor = 3;

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
      respond: (call) => replicas.answerStream(call, { events, gapMs }),
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
  const [stopped] = entries;
  await sleep(4_000);

  const answer = await system.send({
    ...stopped.directory,
    path: "/resolve?name=packs.example&region=milano&zone=milano-a",
  });
  const { addresses, ttl_s: ttlSeconds } = JSON.parse(answer.body);
  record(`the directory answers ${answer.body}`);
  const address = `${stopped.front.host}:${stopped.front.port}`;
  if (!addresses.includes(address)) throw new Error("No address of the entry");
  const cachedUntilMs = Date.now() +
    cacheFactor * Math.min(system.bounds.ttl_max_s, ttlSeconds) * 1_000;

  const startMs = Date.now() + 600;
  const sendAt = async (afterMs) => {
    const delayMs = startMs + afterMs - Date.now();
    await sleep(delayMs);
    if (Date.now() > cachedUntilMs) {
      record(`nothing sent at ${afterMs} ms: the address answer is too old`);
      return undefined;
    }
    const headers = manifest.buildHeaders({
      key: "key-1",
      leftMs: 8_022,
      extra: { "X-Model": "m", "X-Token-Counts": "714,396" },
    });
    const result = await system.send({
      ...stopped.front,
      method: "POST",
      path: "/summary/item-4",
      headers,
      body: "agenda item 4",
    });
    const attemptId = headers["X-Attempt-Id"];
    const isRun = runs.some((run) => run.attemptId === attemptId);
    const count = (result.body.match(/^id: /gm) ?? []).length;
    record(
      `${attemptId}: sent ${result.sentAtMs - startMs} ms after SIGTERM, ` +
        `status ${result.status}, ${isRun ? "run" : "not run"}, ` +
        `${count} of ${events} events, ${
          result.isComplete ? "complete" : `broken off (${result.error})`
        } ${result.endedAtMs - startMs} ms after SIGTERM`,
    );
    return { afterMs, isRun, ...result };
  };
  const all = Promise.all(sendTimesMs.map(sendAt));
  await sleep(startMs - Date.now());
  if (hasTrouble) {
    record("SIGTERM to front-1");
    stopped.process.kill("SIGTERM");
    // The platform ends a process that has not ended after the grace time.
    setTimeout(
      () => stopped.process.kill("SIGKILL"),
      system.bounds.grace_s * 1_000,
    );
  }
  const results = (await all).filter((result) => result !== undefined);
  // Requests sent within 3 s after SIGTERM that a replica still worked on in the
  // last sixth of the grace time are excused.
  const lost = results.filter((result) =>
    result.isRun && !result.isComplete &&
    result.sentAtMs - startMs > 3_000
  );
  if (!results.some((result) => result.status === 200 && result.isComplete)) {
    throw new Error("No stream was served");
  }
  return {
    isBroken: lost.length > 0,
    verdict: lost.length > 0
      ? `BROKEN: ${lost.length} streams that the entry had read and passed on ` +
        "ended without a complete answer"
      : "HELD: every stream that was passed on was answered completely",
  };
});
