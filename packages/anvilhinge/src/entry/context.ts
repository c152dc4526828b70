/** What the parts of one entry share; composed once in `mod.ts`. */
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

/** Whether the entry takes work; changed only by its life cycle. */
export interface EntryState {
  /** False until the view of settings and assignments is confirmed. */
  isReady: boolean;
  /** True once a planned stop began: no longer handed out. */
  isLeaving: boolean;
  /** True once new requests are refused. */
  isClosed: boolean;
  /** Requests in progress. */
  openRequests: number;
}

export interface EntryContext {
  readonly settings: process.EntrySettings;
  readonly store: objectStore.ObjectStore;
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  /** Returns an id that no other call on any instance returns. */
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
  /** Entries of the own half as far as they are known. */
  readonly listMembers: () => readonly addresses.EntryMember[];
}
