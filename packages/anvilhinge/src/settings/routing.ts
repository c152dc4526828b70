/**
 * Routing settings: which service serves a path, whether its requests may be
 * retried, and which keys belong to which workspace. A single versioned value
 * contains all routes of a deployment.
 */

/** Whether the requests of a route may be retried. */
export type RouteKind =
  /** A request may run more than once. */
  | "safe"
  /** A request may run at most once. */
  | "unsafe"
  /** A request is answered with a stream of events. */
  | "stream";

/** Service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Size of the share relative to the other targets. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of upstreams that one request may be dispatched to. */
  readonly maxUpstreams: number;
  /** Maximum time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency target for the answer or, of a stream, for its first event. */
  readonly latencyTargetMs: number;
  /** Target for the longest gap between events; streams only. */
  readonly gapTargetMs: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** True when requests need no key. */
  readonly isPublic: boolean;
  /** True when another upstream can continue an interrupted stream. */
  readonly isResumable: boolean;
}

/** Capacity and speed of a service's engines; plain services have none. */
export interface EngineSpec {
  /** Requests that one rank processes concurrently. */
  readonly slots: number;
  /** Tokens that fit into one rank's KV cache. */
  readonly memoryTokens: number;
  /** Token steps of one forward pass. */
  readonly stepsPerPass: number;
  readonly stepMs: number;
  /** Time that each decoding request adds to a step. */
  readonly perSequenceMs: number;
  /** Time that 1,000 tokens of context add to a step. */
  readonly contextMsPerKilotoken: number;
  readonly prefillTokensPerMs: number;
  /** Maximum number of prompt tokens processed in one step. */
  readonly prefillChunkTokens: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  /** Age of an engine's reports when read from another machine. */
  readonly reportLagMs: number;
  /** Undefined when the ranks don't share experts. */
  readonly experts: ExpertSpec | undefined;
}

/** How the experts of a group are distributed over its ranks. */
export interface ExpertSpec {
  /** Sets of layers; each set has its own experts. */
  readonly sets: number;
  readonly expertsPerSet: number;
  /** Experts of one set that a rank can hold. */
  readonly slotsPerRank: number;
  /** Experts of one set that a rank can newly load in one map change. */
  readonly maxNewPerRank: number;
  readonly expertMegabytes: number;
  readonly linkMegabitsPerSecond: number;
  /** Fraction of the work for a token that experts do, from 0 to 1. */
  readonly workShare: number;
}

export interface ServiceSpec {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one upstream accepts from all its clients together. */
  readonly maxConnections: number;
  readonly engine: EngineSpec | undefined;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface WorkspaceKeys {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route. */
  readonly priority: number | undefined;
}

export interface RoutingSettings {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: CallerLimits;
  /** Empty when requests need no keys. */
  readonly workspaces: readonly WorkspaceKeys[];
}

/** Upstream of a service, as listed by the platform. */
export interface ListedUpstream {
  readonly id: string;
  readonly service: string;
  /** Address as `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that the upstream processes concurrently. */
  readonly slots: number;
  readonly state: "serving" | "leaving";
  /** Wall-clock time of the start; another time means another incarnation. */
  readonly startedAtMs: number | undefined;
}
