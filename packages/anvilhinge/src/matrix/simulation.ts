/**
 * Simulation of one call: entries, agents, engines, the object store and the
 * caller on a manual scheduler. A plan determines which fault occurs at which
 * step. The result records all effects and all that the caller received.
 */
import type * as session from "../entry/session/session.ts";
import type * as outcomeLookup from "../entry/session/outcome_lookup.ts";
import * as faults from "../stand_ins/faults.ts";
import * as localObjectStore from "../stand_ins/local_object_store.ts";
import * as objectApi from "../stand_ins/object_api.ts";
import * as manualScheduler from "../testing/manual_scheduler.ts";
import * as agentNode from "./agent_node.ts";
import * as caller from "./caller.ts";
import * as entryNode from "./entry_node.ts";
import * as handover from "./handover.ts";
import * as network from "./network.ts";
import * as faultPlan from "./fault_plan.ts";

/** Kind of the simulated call; the golden files and the matrix contain it. */
export type SessionName =
  | "streamed model call"
  | "idempotent service call"
  | "filing"
  | "permit stamp during a handover";

/** All sessions in the order in which the matrix is printed. */
export const allSessions: readonly SessionName[] = [
  "streamed model call",
  "idempotent service call",
  "filing",
  "permit stamp during a handover",
];

export interface SimulationOptions {
  readonly session: SessionName;
  readonly planned: readonly faultPlan.PlannedFault[];
  readonly variant?: entryNode.Variant;
  /** Called for each message, with the time in milliseconds. */
  readonly onMessage?: (
    message: {
      readonly atMs: number;
      readonly event: "sent" | "arrived";
      readonly name: string;
    },
  ) => void;
}

/** Result of a simulation. */
export interface SimulationRecord {
  readonly session: SessionName;
  readonly isRepeatable: boolean;
  /** All steps in the order in which they were reached. */
  readonly steps: readonly string[];
  /** Starts of attempts at engines. */
  readonly starts: readonly agentNode.AttemptStart[];
  /** Starts whose service call took effect. */
  readonly effects: readonly agentNode.AttemptStart[];
  readonly submissions: readonly caller.Submission[];
  /** Outcome lookup after the run, for a call that must not run twice. */
  readonly callOutcome?: outcomeLookup.CallOutcome;
  /** Time at which the first agent applied the leaving assignment. */
  readonly leavingAtMs?: number;
}

const upstreamCount = 3;
const half = "association";
/** Longer than the 5 s within which an attempt must start. */
const pauseMs = 6_000;
/** Duration of object store faults that are not limited to one call. */
const storeFaultMs = 5_000;
const slowStoreDelayMs = 300;
const lateWriteDelayMs = 3_000;
const rankStallMs = 20_000;
/** Time within which every session settles. */
const settleMs = 75_000;
/** Time within which an outcome lookup ends. */
const lookupMs = 15_000;

/** Runs one session with the planned faults until it has settled. */
export async function runSimulation(
  options: SimulationOptions,
): Promise<SimulationRecord> {
  const timers = manualScheduler.createManualScheduler();
  const plan = faultPlan.createFaultPlan(options.planned);
  const storeFaults = faults.createFaultSwitch();
  const store = localObjectStore.createLocalObjectStore(
    objectApi.createObjectApi(),
    { faults: storeFaults, scheduler: timers },
  );
  const starts: agentNode.AttemptStart[] = [];
  const effects: agentNode.AttemptStart[] = [];
  const isModel = options.session === "streamed model call";
  const isRepeatable = isModel || options.session === "idempotent service call";
  let attemptCount = 0;

  const send = network.createNetwork({
    scheduler: timers,
    plan,
    onFault: applyFault,
    onMessage: (event, name) =>
      options.onMessage?.({ atMs: timers.now(), event, name }),
  });
  const agents = Array.from({ length: upstreamCount }, (_, index) => {
    const agent = agentNode.createAgentNode({
      scheduler: timers,
      upstream: createUpstream(index),
      send,
      onStart: (start) => void starts.push(start),
      onEffect: (start) => void effects.push(start),
    });
    agent.setAssignment({
      group: agent.upstream.group,
      half,
      epoch: 1,
      state: "serving",
    });
    return agent;
  });
  const firstAgent = agents[0] as agentNode.AgentNode;
  const entries = ["A", "B", "C"].map((id) =>
    entryNode.createEntryNode({
      id,
      scheduler: timers,
      send,
      plan,
      onFault: applyFault,
      agents,
      store,
      chooseUpstream,
      createAttemptId: () => `a${++attemptCount}`,
      variant: options.variant ?? {},
    })
  );

  function chooseUpstream(
    triedIds: ReadonlySet<string>,
  ): session.UpstreamChoice {
    const agent = agents.find(({ upstream }) => !triedIds.has(upstream.id));
    return agent === undefined
      ? {
        kind: "none",
        reason: "All upstreams were tried",
        retryAfterMs: 1_000,
      }
      : { kind: "chosen", upstream: agent.upstream };
  }

  function setStoreFault(fault: faults.Fault, callCount?: number): void {
    storeFaults.set(fault, { callCount });
    if (callCount !== undefined) return;
    timers.schedule(() => storeFaults.set({ kind: "none" }), {
      delayMs: storeFaultMs,
    });
  }

  function applyFault(fault: faultPlan.Fault): void {
    switch (fault) {
      case "agent_dies":
        return firstAgent.kill({ isPermanent: false });
      case "agent_gone":
        return firstAgent.kill({ isPermanent: true });
      case "entry_dies":
        return entries[0]?.kill();
      case "entry_pauses":
        return entries[0]?.pause(pauseMs);
      case "store_down":
        return setStoreFault({ kind: "down" });
      case "store_slow":
        return setStoreFault({ kind: "slow", delayMs: slowStoreDelayMs });
      case "store_answer_lost":
        return setStoreFault({ kind: "answer_lost" }, 1);
      case "store_write_late":
        return setStoreFault({ kind: "late", delayMs: lateWriteDelayMs }, 1);
      case "rank_stalls":
        return firstAgent.stall(rankStallMs);
      case "list_stale":
        // The entries still assume that their own half owns the group.
        return firstAgent.setAssignment({
          group: firstAgent.upstream.group,
          half: "water_board",
          epoch: 9,
          state: "serving",
        });
      case "message_lost":
      case "message_late":
      case "message_very_late":
      case "message_doubled":
      case "message_reordered":
        return;
    }
  }

  const runningCaller = caller.runCaller({
    scheduler: timers,
    entries,
    isModel,
    isRepeatable,
  });
  const handoverRun = options.session === "permit stamp during a handover"
    ? handover.startHandover({ scheduler: timers, send, agent: firstAgent })
    : undefined;
  await timers.advanceAsync(settleMs);
  storeFaults.set({ kind: "none" });
  const lookup = isRepeatable
    ? undefined
    : findCallOutcome(entries, runningCaller);
  await timers.advanceAsync(lookupMs);
  return {
    session: options.session,
    isRepeatable,
    steps: plan.listSteps(),
    starts,
    effects,
    submissions: runningCaller.listSubmissions(),
    callOutcome: await lookup,
    leavingAtMs: handoverRun?.getLeavingAtMs(),
  };
}

function createUpstream(index: number): session.Upstream {
  const group = `g${index}`;
  const address = `10.0.0.${index}:1`;
  return { id: `${group}/0`, group, rank: 0, address, half, epoch: 1 };
}

function findCallOutcome(
  entries: readonly entryNode.EntryNode[],
  runningCaller: caller.RunningCaller,
): Promise<outcomeLookup.CallOutcome> | undefined {
  const lastEntry = entries.at(-1);
  return lastEntry?.findOutcome({
    workspace: caller.workspace,
    requestId: runningCaller.callId,
  });
}
