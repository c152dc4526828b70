/**
 * What an entry decides about requests of routed services besides the course
 * of one request: at which upstream there is a place, and whether another try
 * is within the budget.
 */
import * as health from "@anvilhinge/coordination/health";
import type * as random from "@anvilhinge/coordination/random";
import * as retryBudget from "@anvilhinge/coordination/retry_budget";
import type * as callerDialect from "../../ports/caller_dialect.ts";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as routing from "../../settings/routing.ts";
import type * as logger from "../../telemetry/logger.ts";
import type * as session from "../session/session.ts";

/** A request that needs an upstream. */
export interface RoutedWork {
  readonly requestId: string;
  readonly service: string;
  readonly route: routing.Route;
  readonly workspace: string;
  readonly priority: number;
  readonly size: callerDialect.RequestSize | undefined;
  readonly deadlineAtMs: number;
}

/** Called when a request that waits is decided. */
export type DecideWaiting = (
  event: Extract<session.SessionEvent, { kind: "granted" | "denied" }>,
) => void;

/** Follows one request from its arrival to its end. */
export interface RequestPlaces {
  chooseUpstream(tried: ReadonlySet<string>): session.Choice;
  takeRetry(): boolean;
  recordDispatch(upstream: session.Upstream): void;
  recordOutcome(
    observation: Extract<session.SessionEffect, { kind: "observe" }>,
  ): void;
  /** Must be called once, when the request is done. */
  end(): void;
}

export interface RoutedPolicy {
  setUpstreams(upstreams: readonly routing.ListedUpstream[]): void;
  startRequest(work: RoutedWork, decide: DecideWaiting): RequestPlaces;
}

export interface RoutedPolicyOptions {
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  readonly logger: logger.Logger;
}

interface Known {
  readonly listed: routing.ListedUpstream;
  readonly upstream: session.Upstream;
  open: number;
}

const noUpstreamRetryMs = 1_000;
const maxEjectedShare = 0.5;

/** Creates a policy that knows no upstreams. */
export function createRoutedPolicy(
  options: RoutedPolicyOptions,
): RoutedPolicy {
  const { scheduler: clock } = options;
  const known = new Map<string, Known>();
  const checked = health.createHealth({
    clock,
    random: options.random,
    onChange: (change) => options.logger.info("Upstream health", { change }),
  });
  const budget = retryBudget.createRetryBudget({ clock });

  function listUsable(service: string): readonly Known[] {
    return [...known.values()].filter(({ listed }) =>
      listed.service === service && listed.state === "serving"
    );
  }

  function startRequest(work: RoutedWork): RequestPlaces {
    budget.recordRequest();
    let open: Known | undefined;

    function release(): void {
      if (open !== undefined) open.open -= 1;
      open = undefined;
    }

    return {
      chooseUpstream(tried) {
        const usable = listUsable(work.service).filter(({ listed }) =>
          !tried.has(listed.id)
        );
        const healthy = usable.filter(({ listed }) =>
          checked.isAvailable(listed.id)
        );
        const candidates = healthy.length > 0 ? healthy : usable;
        const least = Math.min(...candidates.map((one) => one.open));
        const best = candidates.filter((one) => one.open === least);
        const chosen = best[Math.floor(options.random() * best.length)];
        if (chosen === undefined) {
          const reason = `No upstream of service ${work.service} is left`;
          return { kind: "none", reason, retryAfterMs: noUpstreamRetryMs };
        }
        return { kind: "chosen", upstream: chosen.upstream };
      },
      takeRetry: budget.take,
      recordDispatch(upstream) {
        release();
        open = known.get(upstream.id);
        if (open !== undefined) open.open += 1;
        checked.recordSent(upstream.id);
      },
      recordOutcome({ upstream, outcome }) {
        release();
        checked.recordOutcome(upstream.id, outcome);
      },
      end: release,
    };
  }

  return {
    setUpstreams(upstreams) {
      const listedIds = new Set(upstreams.map(({ id }) => id));
      for (const id of [...known.keys()]) {
        if (!listedIds.has(id)) known.delete(id);
      }
      const pools = new Map<string, string[]>();
      for (const listed of upstreams) {
        const { id, service, address } = listed;
        pools.set(service, [...(pools.get(service) ?? []), id]);
        const upstream = {
          id,
          group: service,
          rank: 0,
          address,
          half: "",
          epoch: 0,
        };
        known.set(id, { listed, upstream, open: known.get(id)?.open ?? 0 });
      }
      for (const [service, members] of pools) {
        checked.setPool(service, { members, maxEjectedShare });
      }
    },
    startRequest,
  };
}
