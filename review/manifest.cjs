"use strict";
/** Manifest and server entries of a small deployment like the site asc-nord. */

const host = "packs.example";
const models = "drafting-models";
const registry = "pack-registry";

const engine = {
  slots: 8,
  kv_cache_tokens: 329_333,
  link_mbps: 180_000,
  stride: 6,
  step_ms: 4.84,
  per_seq_ms: 0.543,
  context_per_k: 0.0165,
  read_per_s: 74_800,
  pairs_per_m: 0.232,
  chunk: 512,
  report_lag_ms: 200,
  usual: { prompt: 835, answer: 159 },
  sets: 4,
  experts: 64,
  placements: 5,
  spare: 2,
  expert_mb: 2_500,
  expert_share: 0.85,
  form_ms: 600,
};

const routes = [
  {
    name: "agenda-summary",
    host,
    path_prefix: "/summary/",
    kind: "streaming",
    timeout_ms: 8_000,
    latency_target_ms: 401,
    gap_target_ms: 120,
    priority: 1,
    service: models,
    attempts: 2,
    public: false,
    sticky: true,
    resumable: true,
  },
  // Streams that may not be resumed are treated as unsafe (PROTOCOL.md).
  {
    name: "resolution-text",
    host,
    path_prefix: "/wording/",
    kind: "streaming",
    timeout_ms: 8_000,
    latency_target_ms: 401,
    gap_target_ms: 120,
    priority: 1,
    service: models,
    attempts: 1,
    public: false,
    sticky: true,
    resumable: false,
  },
  {
    name: "file-resolution",
    host,
    path_prefix: "/file/",
    kind: "unsafe",
    timeout_ms: 1_200,
    latency_target_ms: 150,
    priority: 2,
    service: registry,
    attempts: 1,
    public: false,
  },
  {
    name: "fetch-pack",
    host,
    path_prefix: "/fetch/",
    kind: "safe",
    timeout_ms: 1_200,
    latency_target_ms: 150,
    priority: 2,
    service: registry,
    attempts: 2,
    public: false,
  },
];

/** Builds a manifest; versions increase in uneven steps. */
function buildManifest(version, { keys, timeoutMs = 1_200 }) {
  return {
    version,
    routes: routes.map((route) =>
      route.kind === "streaming" ? route : { ...route, timeout_ms: timeoutMs }
    ),
    services: [
      { name: models, health_path: "/health", connection_limit: 732, engine },
      { name: registry, health_path: "/health", connection_limit: 208 },
    ],
    limits: {
      header_bytes: 16_384,
      body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "hule930", keys, priority: 1 }],
  };
}

/** Builds what a replica writes about itself into the store. */
function buildEntry(replica, { service, sequence, state = "ready", born }) {
  return {
    service,
    address: replica.address,
    zone: "milano-a",
    version: "v1",
    slots: service === models ? 8 : 6,
    state,
    cold_remaining_ms: 0,
    sequence,
    born,
  };
}

let attempts = 0;

/** Builds the headers of a requester's attempt. */
function buildHeaders({ key, leftMs, extra = {} }) {
  attempts += 1;
  return {
    Host: host,
    "X-Attempt-Id": `${process.pid.toString(16)}-${attempts}`,
    "X-Time-Remaining": String(leftMs),
    Authorization: `Token ${key}`,
    ...extra,
  };
}

module.exports = { buildEntry, buildHeaders, buildManifest, models, registry };
