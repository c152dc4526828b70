"use strict";
/**
 * Requester that reports how its channel ended, which HTTP clients hide for
 * answers without a length or chunks.
 */
const net = require("node:net");

/** Removes the chunks of a body; `isWhole` if the last chunk has arrived. */
function joinChunks(bytes) {
  const parts = [];
  let rest = bytes;
  while (true) {
    const lineEnd = rest.indexOf("\r\n");
    if (lineEnd < 0) break;
    const size = parseInt(rest.subarray(0, lineEnd).toString("latin1"), 16);
    if (!(size >= 0)) break;
    if (size === 0) return { content: Buffer.concat(parts), isWhole: true };
    const start = lineEnd + 2;
    parts.push(rest.subarray(start, start + size));
    if (rest.length < start + size + 2) break;
    rest = rest.subarray(start + size + 2);
  }
  return { content: Buffer.concat(parts), isWhole: false };
}

/** Reads what has arrived by the rules of HTTP/1.1 (RFC 9112, section 6.3). */
function readAnswer(bytes, end) {
  const split = bytes.indexOf("\r\n\r\n");
  const head = bytes.subarray(0, Math.max(0, split)).toString("latin1");
  const body = split < 0 ? Buffer.alloc(0) : bytes.subarray(split + 4);
  const length = /^content-length: *(\d+)/im.exec(head)?.[1];
  const isChunked = /^transfer-encoding: *chunked/im.test(head);
  const status = Number(/^HTTP\/1.1 (\d+)/.exec(head)?.[1] ?? 0);
  const isSigned = /^x-response-signature: /im.test(head);
  if (isChunked) {
    const { content, isWhole } = joinChunks(body);
    return {
      status,
      isSigned,
      content: content.toString(),
      framing: "chunks",
      isComplete: isWhole,
    };
  }
  return {
    status,
    isSigned,
    content: body.toString(),
    framing: length === undefined ? "end of channel" : "length",
    // Without a length, the orderly end of the channel ends the body.
    isComplete: length === undefined
      ? status !== 0 && end === "end of channel"
      : body.length === Number(length),
  };
}

/** Sends a request on a channel of its own; resolves when the channel closed. */
function sendRaw({ host, port }, { method, target, headers, body }) {
  return new Promise((resolve) => {
    const sentAtMs = Date.now();
    const socket = net.connect(port, host);
    const received = [];
    let end = "closed without an end";
    const lines = Object.entries({
      ...headers,
      "Connection": "close",
      "Content-Length": String(body.length),
    }).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(
      `${method} ${target} HTTP/1.1\r\n${lines.join("")}\r\n${body}`,
    );
    socket.on("data", (data) => received.push(data));
    socket.on("end", () => (end = "end of channel"));
    socket.on("error", (error) => (end = error.code));
    socket.on("close", () =>
      resolve({
        sentAtMs,
        endedAtMs: Date.now(),
        end,
        ...readAnswer(Buffer.concat(received), end),
      }));
  });
}

module.exports = { sendRaw };
