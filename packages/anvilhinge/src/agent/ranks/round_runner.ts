/**
 * Runs switch rounds: carries out their effects by calls to the ranks, and
 * records what a round spent its time on.
 */
import * as mapVersions from "@anvilhinge/coordination/maps/map_versions";
import type * as rankOrders from "@anvilhinge/coordination/maps/rank_orders";
import * as switchRound from "@anvilhinge/coordination/maps/switch_round";
import type * as scheduler from "../../ports/scheduler.ts";
import type * as callStats from "./call_stats.ts";
import type * as mapCalls from "./map_calls.ts";
import type * as rankCallRouter from "./rank_call_router.ts";
import type * as rankPeers from "./rank_peers.ts";
import type * as rankRpc from "./rank_rpc.ts";

export interface RoundRunnerOptions
  extends Pick<switchRound.RoundOptions, "createVersion"> {
  readonly scheduler: scheduler.Scheduler;
  readonly callRank: rankCallRouter.CallRank;
  /** Returns the statistics of the calls since the previous ones. */
  readonly takeCallSummary: () => callStats.CallSummary;
  /** Returns the longest delay of the event loop since the previous call. */
  readonly takeLoopDelayMs: () => number;
  /**
   * Whether no earlier process of this rank can have led in the epoch and held
   * passes in it.
   */
  readonly isEpochNew: (epoch: number) => boolean;
}

export interface RunRoundOptions
  extends Pick<switchRound.RoundOptions, "computeLeadPasses"> {
  /** Map in use. */
  readonly baseMap: mapCalls.BaseMap;
  /** Rank expected not to answer; its first read times out early. */
  readonly silentRank?: number;
}

export interface RoundRunner {
  /** Must be called before a round in an epoch. */
  enterEpoch(status: rankPeers.RankStatus): void;
  /** Runs one round; must not be called before the last has finished. */
  run(
    status: rankPeers.RankStatus,
    event: switchRound.RoundEvent,
    options: RunRoundOptions,
  ): Promise<RoundResult>;
  /** Pass whose hold the round in progress uses. */
  getRoundStep(): number | undefined;
}

/** Result of a switch round. */
export interface RoundResult {
  readonly outcome: switchRound.RoundOutcome;
  /** Time spent in each phase, in milliseconds. */
  readonly phaseMs: Readonly<Partial<Record<switchRound.RoundPhase, number>>>;
  /** The call that took longest. */
  readonly slowest: SlowestCall | undefined;
  readonly calls: callStats.CallSummary;
  readonly loopDelayMs: number;
}

interface SlowestCall {
  readonly rank: number;
  readonly phase: switchRound.RoundPhase;
  readonly tookMs: number;
  readonly answer: string;
}

type CallEffect = Exclude<
  switchRound.RoundEffect,
  { readonly kind: "finish" }
>;

/**
 * Timeout of a read that may bypass a silent agent; long, because engines report
 * to other machines with a lag.
 */
export const urgentReadTimeoutMs = 800;
/** Timeout of the first read of a rank that is expected to be silent. */
export const stalledReadTimeoutMs = 150;
/** Timeout of the read that confirms that a machine has not stopped. */
const confirmTimeoutMs = 80;
/** Longer than an agent spends on one order (see `rank_rpc.ts`). */
const orderTimeoutMs = 2_600;

/** Creates the runner of one agent. */
export function createRoundRunner(options: RoundRunnerOptions): RoundRunner {
  const { scheduler } = options;
  /** The last round, finished or not. */
  let lastRound: switchRound.SwitchRound | undefined;
  let lastHeldStep = 0;
  let enteredEpoch: number | undefined;

  function run(
    ...[status, event, { computeLeadPasses, baseMap, silentRank }]: Parameters<
      RoundRunner["run"]
    >
  ): Promise<RoundResult> {
    const phaseMs: Partial<Record<switchRound.RoundPhase, number>> = {};
    let expectedSilentRank = silentRank;
    let phaseSinceMs = scheduler.now();
    let slowest: SlowestCall | undefined;
    /** One call for each order, so that it is encoded once for all ranks. */
    const orderCalls = new Map<rankOrders.RankOrder, rankRpc.OrderCall>();
    options.takeCallSummary();
    options.takeLoopDelayMs();
    const round = switchRound.createSwitchRound({
      ownRank: status.rank,
      rankCount: status.size,
      epoch: status.epoch,
      computeLeadPasses,
      lastHeldStep,
      createVersion: options.createVersion,
      getLeaderRank: mapVersions.getLeaderRank,
    });
    lastRound = round;
    return new Promise((resolve) => {
      function feed(next: switchRound.RoundEvent): void {
        const phase = round.getPhase();
        const effects = round.handle(next);
        if (round.getPhase() !== phase) {
          const nowMs = scheduler.now();
          const spentMs = (phaseMs[phase] ?? 0) + nowMs - phaseSinceMs;
          phaseMs[phase] = Math.round(spentMs);
          phaseSinceMs = nowMs;
        }
        lastHeldStep = Math.max(lastHeldStep, round.getHeldStep());
        for (const effect of effects) void execute(effect);
      }

      function getCall(effect: CallEffect): rankRpc.RankCall {
        if (effect.kind === "read") {
          return { kind: "report", isDecisive: true };
        }
        const { order } = effect;
        const call = orderCalls.get(order) ??
          { kind: "order" as const, order, epoch: status.epoch };
        orderCalls.set(order, call);
        return call;
      }

      async function execute(effect: switchRound.RoundEffect): Promise<void> {
        if (effect.kind === "finish") {
          return resolve({
            outcome: effect.outcome,
            phaseMs,
            slowest,
            calls: options.takeCallSummary(),
            loopDelayMs: options.takeLoopDelayMs(),
          });
        }
        const { call, rank } = effect;
        const isExpectedSilent = rank === expectedSilentRank;
        if (isExpectedSilent) expectedSilentRank = undefined;
        const startedAtMs = scheduler.now();
        const phase = round.getPhase();
        const answer = await options.callRank(
          rank,
          getCall(effect),
          { ...chooseRoute(effect, phase, isExpectedSilent), baseMap },
        );
        const tookMs = Math.round(scheduler.now() - startedAtMs);
        if (tookMs > (slowest?.tookMs ?? 0)) {
          slowest = { rank, phase, tookMs, answer: describeAnswer(answer) };
        }
        feed(convertAnswer(answer, { call, rank }));
      }

      feed(event);
    });
  }

  return {
    run,
    enterEpoch(status) {
      if (enteredEpoch === status.epoch) return;
      // Orders of an earlier epoch have no effect. After a restart within the
      // epoch, the orders that this rank gave before the restart are unknown.
      lastHeldStep = options.isEpochNew(status.epoch)
        ? 0
        : status.step + switchRound.maxAheadPasses;
      enteredEpoch = status.epoch;
    },
    getRoundStep: () => lastRound?.getActiveStep(),
  };
}

/**
 * Chooses the route to a rank: calls are urgent once a pass is held, because the
 * whole group waits for the pass.
 */
function chooseRoute(
  effect: CallEffect,
  phase: switchRound.RoundPhase,
  isExpectedSilent: boolean,
): rankCallRouter.CallOptions {
  if (phase === "preparing") {
    return { timeoutMs: orderTimeoutMs, route: "agent" };
  }
  if (phase === "confirming") {
    return { timeoutMs: confirmTimeoutMs, route: "agent" };
  }
  if (effect.kind === "read") {
    return isExpectedSilent
      ? { timeoutMs: stalledReadTimeoutMs, route: "agent" }
      : { timeoutMs: urgentReadTimeoutMs, route: "either" };
  }
  const { sender } = effect;
  return sender === undefined
    ? { timeoutMs: orderTimeoutMs, route: "either" }
    : { timeoutMs: orderTimeoutMs, route: "sender", sender };
}

function convertAnswer(
  answer: rankRpc.RankAnswer | undefined,
  { call, rank }: { readonly call: number; readonly rank: number },
): switchRound.RoundEvent {
  switch (answer?.kind) {
    case "order": {
      const { outcome, isSentElsewhere } = answer;
      return { kind: "outcome", call, rank, outcome, isSentElsewhere };
    }
    case "report":
    case "experts":
      return { kind: "state", call, state: answer.report.state };
    case "silent":
    case undefined:
      return { kind: "late", call, rank };
  }
}

function describeAnswer(answer: rankRpc.RankAnswer | undefined): string {
  if (answer === undefined) return "none";
  return answer.kind === "order" ? answer.outcome.kind : answer.kind;
}
