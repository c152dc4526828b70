/** Dependencies shared by the modules of one entry; composed in `mod.ts`. */
import type * as random from "@anvilhinge/coordination/random";
import type * as objectStore from "../ports/object_store.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as process from "../settings/process.ts";
import type * as logger from "../telemetry/logger.ts";
import type * as metrics from "../telemetry/metrics.ts";
import type * as tracing from "../telemetry/tracing.ts";
import type * as addresses from "./choice/addresses.ts";
import type * as agentClient from "./session/agent_client.ts";
import type * as descriptionCache from "./session/description_cache.ts";
import type * as catalog from "./choice/catalog.ts";
import type * as claimStore from "./session/claim_store.ts";
import type * as upstreams from "./choice/upstreams.ts";
import type * as dispatchPolicy from "./choice/dispatch_policy.ts";

/**
 * Whether the entry accepts requests, and how many are in progress. `isReady`,
 * `isLeaving` and `isClosed` are changed only by its life cycle: start, drain and
 * stop.
 */
export interface EntryState {
  /** False until the replica of settings and assignments is confirmed. */
  isReady: boolean;
  /** True once a graceful stop or a drain began; address answers omit the entry. */
  isLeaving: boolean;
  /** True once the entry refuses new requests. */
  isClosed: boolean;
  /** Number of requests in progress. */
  openRequests: number;
}

export interface EntryContext {
  readonly settings: process.EntrySettings;
  readonly store: objectStore.ObjectStore;
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  /** Returns an id that is unique across all instances. */
  readonly createId: () => string;
  readonly catalog: catalog.Catalog;
  readonly upstreams: upstreams.UpstreamTable;
  readonly policy: dispatchPolicy.DispatchPolicy;
  readonly client: agentClient.AgentClient;
  readonly descriptions: descriptionCache.DescriptionCache;
  readonly claims: claimStore.ClaimStore;
  /** Wall-clock time in milliseconds since 1970. */
  readonly readWallMs: () => number;
  readonly logger: logger.Logger;
  readonly metrics: metrics.Metrics;
  readonly tracing: tracing.Tracing;
  readonly state: EntryState;
  /** Returns the entries of this entry's half, as received by gossip. */
  readonly listMembers: () => readonly addresses.EntryMember[];
}
