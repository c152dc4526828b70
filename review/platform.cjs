"use strict";
/**
 * Stand-in for the platform's metadata store, as PROTOCOL.md describes it:
 * objects by kind and name, one revision counter, lists and long-poll watches.
 * It can go silent and come back from an older copy (letter 5).
 */
const http = require("node:http");

const historyLimit = 5_000;

/** Starts a store on `host`. */
async function startStore(host) {
  let era = 1;
  let revision = 100;
  /** Objects by `kind/name`. */
  let objects = new Map();
  let history = [];
  /** Revision below which the history is gone. */
  let historyStart = revision;
  let isAway = false;
  const waiters = new Set();

  function wake() {
    for (const waiter of [...waiters]) waiter();
  }

  function record(kind, object, tombstone) {
    history.push({ revision, kind, object, tombstone });
    if (history.length > historyLimit) {
      historyStart = history[history.length - historyLimit].revision;
      history = history.slice(-historyLimit);
    }
    wake();
  }

  function put(kind, name, specification) {
    const key = `${kind}/${name}`;
    const previous = objects.get(key);
    revision += 1;
    const object = {
      metadata: {
        name,
        revision,
        created: previous?.metadata.created ?? revision,
        finalizers: [],
        deleting: false,
      },
      specification,
      status: null,
    };
    objects.set(key, object);
    record(kind, object, false);
    return revision;
  }

  function remove(kind, name) {
    const key = `${kind}/${name}`;
    const previous = objects.get(key);
    if (previous === undefined) return;
    objects.delete(key);
    revision += 1;
    const object = {
      ...previous,
      metadata: { ...previous.metadata, revision },
    };
    record(kind, object, true);
  }

  function listKind(kind) {
    return [...objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
  }

  function answer(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(text),
      "Store-Era": String(era),
    });
    response.end(text);
  }

  function watch(request, response, kind, since, waitMs) {
    if (since < historyStart || since > revision) {
      return answer(response, 410, { error: "This history is gone" });
    }
    let timer;
    const finish = () => {
      clearTimeout(timer);
      waiters.delete(check);
    };
    const reply = (events) => {
      finish();
      answer(response, 200, { events, at: revision });
    };
    function check() {
      const events = history
        .filter((entry) => entry.kind === kind && entry.revision > since)
        .map(({ object, tombstone }) => ({ object, tombstone }));
      if (events.length > 0) reply(events);
      return events.length > 0;
    }
    if (check()) return;
    waiters.add(check);
    timer = setTimeout(() => reply([]), waitMs);
    response.on("close", finish);
  }

  const server = http.createServer((request, response) => {
    request.resume();
    request.on("end", () => {
      // A store that is away answers nothing.
      if (isAway) return;
      const url = new URL(request.url, "http://store");
      const [, root, kind, name] = url.pathname.split("/");
      if (root !== "objects" || request.method !== "GET") {
        return answer(response, 404, {});
      }
      if (name !== undefined) {
        const object = objects.get(`${kind}/${decodeURIComponent(name)}`);
        return answer(response, object ? 200 : 404, object ?? {});
      }
      const since = url.searchParams.get("watch");
      if (since !== null) {
        const waitMs = Math.min(
          30_000,
          Number(url.searchParams.get("wait_ms") ?? 0),
        );
        return watch(request, response, kind, Number(since), waitMs);
      }
      answer(response, 200, {
        items: listKind(kind),
        has_more: false,
        at: revision,
      });
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, host, resolve));

  return {
    address: `${host}:${server.address().port}`,
    put,
    remove,
    getRevision: () => revision,
    get: (kind, name) => objects.get(`${kind}/${name}`),
    /** Copies the state, to come back from it later. */
    copy: () => ({ revision, objects: new Map(objects) }),
    /** Stops answering; waiting watches get no answer. */
    goAway() {
      isAway = true;
      waiters.clear();
      server.closeAllConnections();
    },
    /** Comes back from a copy: later revisions are given out again. */
    comeBack(copy) {
      era += 1;
      revision = copy.revision;
      objects = new Map(copy.objects);
      history = [];
      historyStart = revision;
      isAway = false;
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

module.exports = { startStore };
