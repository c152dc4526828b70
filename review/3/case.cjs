"use strict";
/**
 * The store comes back from a copy that is some seconds old; a key is taken
 * away afterwards. No request with that key may run later than `revocation_ms`
 * after the confirmation.
 */
const manifest = require("../manifest.cjs");
const platform = require("../platform.cjs");
const replicas = require("../replica.cjs");
const system = require("../system.cjs");

const { sleep } = system;
const heartbeatMs = 1_200;
/** Replicas that only write to the store, as the model replicas of the site. */
const otherReplicaCount = 16;
const awayMs = 1_000;
/** Age of the copy from which the store comes back. */
const copyAgeMs = 5_000;

system.runCase(__dirname, async ({ record, hasTrouble, onEnd }) => {
  const machines = await system.createSystem({ record, entryCount: 2 });
  onEnd(machines.stop);
  const store = await platform.startStore(`127.${machines.net}.2.1`);
  onEnd(store.close);
  const runs = [];
  const servers = [];
  for (let index = 1; index <= 3; index += 1) {
    const replica = await replicas.startReplica({
      id: `i-registry-${index}`,
      host: `127.${machines.net}.3.${index}`,
      onRun: (run) => runs.push(run),
      respond: (call) =>
        replicas.answerWhole(call, { workMs: 20, body: "a board pack" }),
    });
    onEnd(replica.close);
    servers.push({ replica, service: manifest.registry });
  }
  for (let index = 1; index <= otherReplicaCount; index += 1) {
    const replica = {
      id: `i-model-${index}`,
      address: `127.${machines.net}.4.${index}:8080`,
    };
    servers.push({ replica, service: manifest.models });
  }
  const born = Date.now();
  let isStoreAway = false;
  let sequence = 0;
  const writeEntry = ({ replica, service }) => {
    if (isStoreAway) return;
    sequence += 1;
    const entry = manifest.buildEntry(replica, { service, sequence, born });
    store.put("servers", replica.id, entry);
  };
  servers.forEach((server, index) => {
    writeEntry(server);
    setTimeout(() => {
      const beat = setInterval(() => writeEntry(server), heartbeatMs);
      onEnd(() => clearInterval(beat));
    }, (index * heartbeatMs) / servers.length);
  });

  let current;
  const putManifest = (version, options) => {
    current = manifest.buildManifest(version, options);
    const revision = store.put("config", "main", current);
    record(
      `operator: version ${version} with keys ${options.keys.join(", ")} ` +
        `confirmed at revision ${revision}`,
    );
    return Date.now();
  };
  putManifest(7, { keys: ["key-kept", "key-taken"] });

  const entries = [0, 1].map((index) =>
    machines.startEntry(index, { store: store.address })
  );
  for (const entry of entries) await system.waitUntilReady(entry);
  record("both entries are ready");

  let revokedAtMs = Infinity;
  const outcomes = [];
  let isSending = true;
  async function sendInTurn(key, entry) {
    while (isSending) {
      const headers = manifest.buildHeaders({ key, leftMs: 2_511 });
      const result = await system.send({
        ...entry.front,
        path: "/fetch/pack-1",
        headers,
      });
      const attemptId = headers["X-Attempt-Id"];
      outcomes.push({ key, entry: entry.name, attemptId, ...result });
      record(
        `${entry.name} ${attemptId} with ${key}: sent ${
          Number.isFinite(revokedAtMs)
            ? `${result.sentAtMs - revokedAtMs} ms after the revocation, `
            : ""
        }status ${result.status}${
          runs.some((run) => run.attemptId === attemptId) ? ", has run" : ""
        }`,
      );
      await sleep(250);
    }
  }
  const senders = entries.flatMap((entry) =>
    ["key-kept", "key-taken"].map((key) => sendInTurn(key, entry))
  );

  await sleep(4_000);
  const copy = store.copy();
  record(`the copy has revision ${copy.revision}`);
  await sleep(copyAgeMs - 500);
  putManifest(9, { keys: ["key-kept", "key-taken"], timeoutMs: 1_300 });
  await sleep(500);
  if (hasTrouble) {
    record(`drill: the store goes away at revision ${store.getRevision()}`);
    isStoreAway = true;
    store.goAway();
    await sleep(awayMs);
    store.comeBack(copy);
    isStoreAway = false;
    record(`the store is back at revision ${store.getRevision()}, next era`);
    // The operator and the replicas write again what was lost.
    for (const server of servers) writeEntry(server);
    putManifest(9, { keys: ["key-kept", "key-taken"], timeoutMs: 1_300 });
  } else {
    await sleep(awayMs);
  }
  await sleep(1_000);
  revokedAtMs = putManifest(12, { keys: ["key-kept"], timeoutMs: 1_300 });
  await sleep(20_000);
  isSending = false;
  await Promise.all(senders);

  const limitMs = system.bounds.revocation_ms;
  const late = outcomes.filter((outcome) =>
    outcome.key === "key-taken" &&
    outcome.sentAtMs > revokedAtMs + limitMs &&
    runs.some((run) => run.attemptId === outcome.attemptId)
  );
  const kept = outcomes.filter((outcome) =>
    outcome.key === "key-kept" && outcome.status === 200
  );
  if (kept.length === 0) throw new Error("No request was served");
  return {
    isBroken: late.length > 0,
    verdict: late.length > 0
      ? `BROKEN: ${late.length} requests with the key that was taken away ` +
        `were sent more than ${limitMs} ms after the confirmation and ran, ` +
        `the last one sent ${late.at(-1).sentAtMs - revokedAtMs} ms after it`
      : `HELD: no request with the key that was taken away ran more than ` +
        `${limitMs} ms after the confirmation`,
  };
});
