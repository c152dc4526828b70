"use strict";
/**
 * A faulty replica breaks off a share of its answers: it sends the head and
 * part of a body without a length, and resets the channel. No requester may get
 * such a part as a complete success.
 */
const manifest = require("../manifest.cjs");
const platform = require("../platform.cjs");
const { sendRaw } = require("../raw.cjs");
const replicas = require("../replica.cjs");
const system = require("../system.cjs");

const { sleep } = system;
const wholeBytes = 800;
const partBytes = 300;
/** One answer in this many of the faulty replica is broken off. */
const brokenOneIn = 20;
const windowMs = 5_000;
const pauseMs = 1_000;
const windows = 4;
const requestIntervalMs = 20;
const workMs = 40;

system.runCase(__dirname, async ({ record, hasTrouble, onEnd }) => {
  const machines = await system.createSystem({ record, entryCount: 2 });
  onEnd(machines.stop);
  const store = await platform.startStore(`127.${machines.net}.2.1`);
  onEnd(store.close);
  const runs = [];
  const wholeBodies = new Map();
  const brokenOff = new Set();
  let isFaulty = false;
  let answered = 0;
  const born = Date.now();
  for (let index = 1; index <= 3; index += 1) {
    const replica = await replicas.startReplica({
      id: `i-registry-${index}`,
      host: `127.${machines.net}.3.${index}`,
      onRun: (run) => runs.push(run),
      respond({ response, replica: { id }, attemptId }) {
        const body = `${id} ${attemptId} `.padEnd(wholeBytes, "minutes ");
        wholeBodies.set(attemptId, body);
        const isBroken = isFaulty && index === 1 &&
          (answered += 1) % brokenOneIn === 0;
        if (isBroken) brokenOff.add(attemptId);
        const { socket } = response;
        setTimeout(() => {
          if (socket.destroyed) return;
          // An answer without a length, which ends with its channel.
          socket.write(
            "HTTP/1.1 200 OK\r\n" +
              `X-Attempt-Id: ${attemptId}\r\n` +
              `X-Response-Signature: ${id}.${attemptId}\r\n` +
              "Connection: close\r\n\r\n" +
              (isBroken ? body.slice(0, partBytes) : body),
          );
          if (isBroken) socket.resetAndDestroy();
          else socket.end();
        }, workMs);
      },
    });
    onEnd(replica.close);
    store.put(
      "servers",
      replica.id,
      manifest.buildEntry(replica, {
        service: manifest.registry,
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

  const results = [];
  async function sendOne(entry, isSafe) {
    const headers = manifest.buildHeaders({ key: "key-1", leftMs: 2_511 });
    const result = await sendRaw(entry.front, {
      method: isSafe ? "GET" : "POST",
      target: isSafe ? "/fetch/pack-1" : "/file/resolution-1",
      headers,
      body: isSafe ? "" : "resolution 1",
    });
    results.push({ isSafe, attemptId: headers["X-Attempt-Id"], ...result });
  }
  const all = [];
  for (let window = 1; window <= windows; window += 1) {
    isFaulty = hasTrouble;
    record(`window ${window}: requests for ${windowMs} ms`);
    const endMs = Date.now() + windowMs;
    while (Date.now() < endMs) {
      all.push(sendOne(entries[all.length % 2], all.length % 3 === 0));
      await sleep(requestIntervalMs);
    }
    isFaulty = false;
    await sleep(pauseMs);
  }
  await Promise.all(all);

  const listRuns = (id) =>
    runs.filter((run) => run.attemptId === id)
      .map(({ replica }) => replica).join(", ") || "none";
  for (const result of results) {
    const { isSafe, attemptId, status, content, end, isComplete } = result;
    record(
      `${attemptId} (${isSafe ? "safe" : "unsafe"}), run by ${
        listRuns(attemptId)
      }: ${brokenOff.has(attemptId) ? "a replica broke off; " : ""}` +
        `the requester got ${status} with ${content.length} bytes, ${end}, ` +
        `${isComplete ? "complete" : "not complete"}`,
    );
  }
  const successes = results.filter(({ status, isComplete }) =>
    status === 200 && isComplete
  );
  const wrong = successes.filter(({ isSigned, attemptId, content }) =>
    !isSigned || content !== wholeBodies.get(attemptId)
  );
  record(
    `${results.length} requests, ${runs.length} runs, ${brokenOff.size} ` +
      `answers broken off, ${successes.length} successes`,
  );
  if (successes.length === 0) throw new Error("No request was served");
  return {
    isBroken: wrong.length > 0,
    verdict: wrong.length > 0
      ? `BROKEN: ${wrong.length} requesters got part of an answer as a ` +
        "complete success"
      : "HELD: every success had the replica's whole body",
  };
});
