/**
 * Entries, agents, engines, the store and one caller on a manual scheduler. A
 * plan says what goes wrong at which step; the world runs to its end and keeps
 * a record of all that took effect and all that was said.
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

/** The four kinds of session. */
export type SessionName =
  | "streamed model call"
  | "idempotent service call"
  | "filing"
  | "permit stamp during a handover";

/** All sessions in the order of the table. */
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
  /** Called at each message, with the instant in milliseconds. */
  readonly onMessage?: (
    message: {
      readonly atMs: number;
      readonly event: "sent" | "arrived";
      readonly name: string;
    },
  ) => void;
}

/** What happened, once everything has come to rest. */
export interface SimulationRecord {
  readonly session: SessionName;
  readonly isRepeatable: boolean;
  readonly steps: readonly string[];
  readonly starts: readonly agentNode.WorkStart[];
  readonly effects: readonly agentNode.WorkStart[];
  readonly submissions: readonly caller.Submission[];
  /** Present when the call must not run twice. */
  readonly callOutcome?: outcomeLookup.CallOutcome;
  /** When the first upstream learnt that it leaves its half. */
  readonly leavingAtMs?: number;
}

const upstreamCount = 3;
const half = "association";
const pauseMs = 6_000;
const storeFaultMs = 5_000;
const storeSlowMs = 300;
const storeLateMs = 3_000;
const rankStallMs = 20_000;
const settleMs = 75_000;
const inquiryMs = 15_000;

/** Runs one session under the planned faults until all is at rest. */
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
  const starts: agentNode.WorkStart[] = [];
  const effects: agentNode.WorkStart[] = [];
  const isModel = options.session === "streamed model call";
  const isRepeatable = isModel || options.session === "idempotent service call";
  let attemptCount = 0;

  const send = network.createNetwork({
    scheduler: timers,
    plan,
    onFault: applyFault,
    onMessage: (what, name) =>
      options.onMessage?.({ atMs: timers.now(), event: what, name }),
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
  const first = agents[0] as agentNode.AgentNode;
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

  function chooseUpstream(tried: ReadonlySet<string>): session.UpstreamChoice {
    const agent = agents.find(({ upstream }) => !tried.has(upstream.id));
    return agent === undefined
      ? { kind: "none", reason: "All were tried", retryAfterMs: 1_000 }
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
        return first.kill({ isPermanent: false });
      case "agent_gone":
        return first.kill({ isPermanent: true });
      case "entry_dies":
        return entries[0]?.kill();
      case "entry_pauses":
        return entries[0]?.pause(pauseMs);
      case "store_down":
        return setStoreFault({ kind: "down" });
      case "store_slow":
        return setStoreFault({ kind: "slow", delayMs: storeSlowMs });
      case "store_answer_lost":
        return setStoreFault({ kind: "answer_lost" }, 1);
      case "store_write_late":
        return setStoreFault({ kind: "late", delayMs: storeLateMs }, 1);
      case "rank_stalls":
        return first.stall(rankStallMs);
      case "list_stale":
        // The entries go on believing in the ownership of before.
        return first.setAssignment({
          group: first.upstream.group,
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

  const running = caller.runCaller({
    scheduler: timers,
    entries,
    isModel,
    isRepeatable,
  });
  const handedOver = options.session === "permit stamp during a handover"
    ? handover.startHandover({ scheduler: timers, send, agent: first })
    : undefined;
  await timers.advanceAsync(settleMs);
  storeFaults.set({ kind: "none" });
  const outcome = isRepeatable ? undefined : requestOutcome(entries, running);
  await timers.advanceAsync(inquiryMs);
  return {
    session: options.session,
    isRepeatable,
    steps: plan.listSteps(),
    starts,
    effects,
    submissions: running.listSubmissions(),
    callOutcome: await outcome,
    leavingAtMs: handedOver?.getLeavingAtMs(),
  };
}

function createUpstream(index: number): session.Upstream {
  const group = `g${index}`;
  const address = `10.0.0.${index}:1`;
  return { id: `${group}/0`, group, rank: 0, address, half, epoch: 1 };
}

function requestOutcome(
  entries: readonly entryNode.EntryNode[],
  running: caller.RunningCaller,
): Promise<outcomeLookup.CallOutcome> | undefined {
  const last = entries.at(-1);
  return last?.findOutcome({
    workspace: caller.workspace,
    requestId: running.callId,
  });
}
