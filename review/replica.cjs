"use strict";
/**
 * Stand-in for the replicas of a service, as PROTOCOL.md describes them. A
 * replica runs each request once it has read it, unless the request names
 * another instance, and echoes the id of the requester's attempt.
 */
const http = require("node:http");

/**
 * Starts a replica. `respond({ request, response, body, replica })` answers a
 * request that runs.
 */
async function startReplica({ id, host, respond, onRun }) {
  const replica = { id, isGone: false, headers: {} };
  const sockets = new Set();
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      const expected = request.headers["x-expected-instance"];
      if (request.url === "/health") {
        response.writeHead(200, { "X-Instance-Id": id });
        return response.end();
      }
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { "X-Instance-Id": id });
        return response.end();
      }
      const body = Buffer.concat(chunks).toString();
      const attemptId = request.headers["x-attempt-id"];
      onRun({ replica: id, atMs: Date.now(), attemptId, request });
      respond({ request, response, body, replica, attemptId });
    });
  });
  server.keepAliveTimeout = 5_000;
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  const { port } = server.address();
  replica.address = `${host}:${port}`;
  /** Ends as a crash does: all channels are reset and the port is closed. */
  replica.crash = () => {
    replica.isGone = true;
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
  };
  /** Listens again after a crash. */
  replica.restart = () =>
    new Promise((resolve) => {
      replica.isGone = false;
      server.listen(port, host, resolve);
    });
  replica.close = () => {
    server.close();
    server.closeAllConnections();
  };
  return replica;
}

function buildHeaders(replica, attemptId) {
  return {
    "X-Attempt-Id": attemptId,
    "X-Response-Signature": `${replica.id}.${attemptId}`,
    ...replica.headers,
  };
}

/** Answers with a whole body after `workMs`. */
function answerWhole({ response, replica, attemptId }, { workMs, body }) {
  const timer = setTimeout(() => {
    response.writeHead(200, {
      ...buildHeaders(replica, attemptId),
      "Content-Length": Buffer.byteLength(body),
    });
    response.end(body);
  }, workMs);
  response.on("close", () => clearTimeout(timer));
}

/** Answers with events that continue after `Last-Event-Id`. */
function answerStream(
  { request, response, replica, attemptId },
  { events, gapMs },
) {
  response.writeHead(200, {
    ...buildHeaders(replica, attemptId),
    "Content-Type": "text/event-stream",
  });
  let id = Number(request.headers["last-event-id"] ?? 0);
  const timer = setInterval(() => {
    id += 1;
    response.write(`id: ${id}\ndata: piece ${id} of ${events}\n\n`);
    if (id < events) return;
    clearInterval(timer);
    response.end();
  }, gapMs);
  response.on("close", () => clearInterval(timer));
}

/**
 * The same with neither a length nor chunks: the answer ends with its channel.
 */
function answerUnframedStream(
  { request, response, replica, attemptId },
  { events, gapMs },
) {
  const { socket } = response;
  const lines = Object.entries({
    ...buildHeaders(replica, attemptId),
    "Content-Type": "text/event-stream",
    "Connection": "close",
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(`HTTP/1.1 200 OK\r\n${lines.join("")}\r\n`);
  let id = Number(request.headers["last-event-id"] ?? 0);
  const timer = setInterval(() => {
    id += 1;
    socket.write(`id: ${id}\ndata: piece ${id} of ${events}\n\n`);
    if (id < events) return;
    clearInterval(timer);
    socket.end();
  }, gapMs);
  socket.on("close", () => clearInterval(timer));
}

module.exports = {
  answerStream,
  answerUnframedStream,
  answerWhole,
  startReplica,
};
