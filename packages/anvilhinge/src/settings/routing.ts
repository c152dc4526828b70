/**
 * Routing settings: which service serves a path, how its requests may be
 * repeated, and which keys belong to which workspace. One value holds all
 * routes of a deployment and has one version.
 */

/** What may be repeated of the requests of a route. */
export type RouteKind =
  /** May run more than once. */
  | "safe"
  /** May run at most once. */
  | "unsafe"
  /** Answered with a series of events. */
  | "stream";

/** Part of a route's requests that goes to one service. */
export interface RouteTarget {
  readonly service: string;
  /** Share relative to the other targets. */
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
  /** Most upstreams that one request may be sent to. */
  readonly maxUpstreams: number;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, or to its first event, that callers aim at. */
  readonly latencyTargetMs: number;
  /** Longest pause between events that callers aim at; streams only. */
  readonly gapTargetMs: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** True when no key is needed. */
  readonly isPublic: boolean;
  /** True when a stream may go on at another upstream. */
  readonly isResumable: boolean;
}

/** What is known of a service's engines; plain services have none. */
export interface EngineSpec {
  /** Requests that one rank works on at once. */
  readonly slots: number;
  /** Tokens that fit into one rank's memory. */
  readonly memoryTokens: number;
  /** Token steps of one pass. */
  readonly stepsPerPass: number;
  readonly stepMs: number;
  /** Time that each writing request adds to a step. */
  readonly perSequenceMs: number;
  /** Time that 1,000 tokens of context add to a step. */
  readonly contextMsPerKilotoken: number;
  readonly prefillTokensPerMs: number;
  /** Prompt tokens that one step reads at most. */
  readonly prefillChunkTokens: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  /** Age that reports have that are read from another machine. */
  readonly reportLagMs: number;
  /** Undefined where the ranks don't share experts. */
  readonly experts: ExpertSpec | undefined;
}

/** How the experts of a group are spread over its ranks. */
export interface ExpertSpec {
  /** Sets of layers; each has experts of its own. */
  readonly sets: number;
  readonly expertsPerSet: number;
  /** Experts of one set that a rank can hold. */
  readonly slotsPerRank: number;
  /** Experts of one set that a rank can take over in one change. */
  readonly maxNewPerRank: number;
  readonly expertMegabytes: number;
  readonly linkMegabitsPerSecond: number;
  /** Share of the work for tokens that experts do, from 0 to 1. */
  readonly workShare: number;
}

export interface ServiceSpec {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one upstream accepts from all callers together. */
  readonly maxConnections: number;
  readonly engine: EngineSpec | undefined;
}

/** Bounds of what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface WorkspaceKeys {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the priority of the route. */
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

/** An upstream of a service as the platform lists it. */
export interface ListedUpstream {
  readonly id: string;
  readonly service: string;
  /** Address as `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly state: "serving" | "leaving";
  /** Wall-clock instant of its start; another one is another incarnation. */
  readonly startedAtMs: number | undefined;
}
