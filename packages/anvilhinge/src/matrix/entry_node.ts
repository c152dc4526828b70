/**
 * Entry of the fault matrix: the real session, runner and claim store with a
 * simulated network, agents and object store.
 */
import * as random from "@anvilhinge/coordination/random";
import type * as agentClient from "../entry/session/agent_client.ts";
import * as descriptionCache from "../entry/session/description_cache.ts";
import * as claimStore from "../entry/session/claim_store.ts";
import * as outcomeLookup from "../entry/session/outcome_lookup.ts";
import * as runner from "../entry/session/runner.ts";
import * as session from "../entry/session/session.ts";
import type * as objectStore from "../ports/object_store.ts";
import type * as scheduler from "../ports/scheduler.ts";
import type * as agentNode from "./agent_node.ts";
import type * as network from "./network.ts";
import type * as faultPlan from "./fault_plan.ts";

/**
 * Wraps parts of an entry, to observe them or to replace them by faulty parts
 * that the checks must detect.
 */
export interface Variant {
  readonly wrapClient?: (
    client: agentClient.AgentClient,
  ) => agentClient.AgentClient;
  readonly wrapClaims?: (
    claims: claimStore.ClaimStore,
  ) => claimStore.ClaimStore;
  readonly wrapSession?: (session: session.Session) => session.Session;
}

export interface EntryNodeOptions {
  readonly id: string;
  readonly scheduler: scheduler.Scheduler;
  readonly send: network.SendMessage;
  readonly plan: faultPlan.FaultPlan;
  readonly onFault: (fault: faultPlan.Fault) => void;
  readonly agents: readonly agentNode.AgentNode[];
  readonly store: objectStore.ObjectStore;
  readonly chooseUpstream: session.SessionOptions["chooseUpstream"];
  readonly createAttemptId: () => string;
  readonly variant: Variant;
}

export interface RunCallOptions {
  readonly sink: runner.AnswerSink;
  readonly resumePoint?: session.ResumePoint;
  readonly signal: AbortSignal;
}

/** An entry process that can pause and die. */
export interface EntryNode {
  readonly id: string;
  isUp(): boolean;
  runCall(request: session.Request, options: RunCallOptions): void;
  readonly findOutcome: outcomeLookup.FindOutcome;
  pause(durationMs: number): void;
  kill(): void;
  /** Adds a listener that is called when the process dies. */
  onExit(listener: () => void): void;
}

/** Seed of the claim store. */
const seed = 7;
/** Timeout of calls to agents. */
const callTimeoutMs = 1_000;
/** One-way latency of calls to the object store. */
const storeLatencyMs = 3;

/** Creates an entry that is up. */
export function createEntryNode(options: EntryNodeOptions): EntryNode {
  const timers = options.scheduler;
  let isUp = true;
  let pausedUntilMs = 0;
  const exitListeners: (() => void)[] = [];

  /**
   * Runs a callback in the process: dropped after the process died, deferred
   * while it is paused.
   */
  function execute(callback: () => void): void {
    if (!isUp) return;
    const remainingMs = pausedUntilMs - timers.now();
    if (remainingMs <= 0) return callback();
    timers.schedule(() => execute(callback), { delayMs: remainingMs });
  }

  const processScheduler: scheduler.Scheduler = {
    now: timers.now,
    schedule(callback, { delayMs, signal }) {
      timers.schedule(() => {
        execute(() => {
          if (!signal?.aborted) callback();
        });
      }, { delayMs, signal });
    },
  };

  function findAgent(address: string): agentNode.AgentNode | undefined {
    return options.agents.find((agent) => agent.upstream.address === address);
  }

  /** Calls an agent; resolves to `unreachable` after a timeout. */
  function requestAgent<Answer>(
    name: string,
    address: string,
    handle: (agent: agentNode.AgentNode) => Answer,
  ): Promise<Answer | "unreachable"> {
    return new Promise((resolve) => {
      processScheduler.schedule(() => resolve("unreachable"), {
        delayMs: callTimeoutMs,
      });
      options.send(name, () => {
        const agent = findAgent(address);
        if (agent === undefined || !agent.isUp()) {
          return execute(() => resolve("unreachable"));
        }
        const answer = handle(agent);
        options.send(`${name}_answer`, () => execute(() => resolve(answer)));
      });
    });
  }

  /** Opens a stream, which receives nothing if the message is lost. */
  function openStream(
    name: string,
    stream: agentClient.StreamOptions,
    start: (
      agent: agentNode.AgentNode,
      receiver: agentNode.FrameReceiver,
    ) => void,
  ): void {
    const receiver: agentNode.FrameReceiver = {
      signal: stream.signal,
      onFrame: (frame) => execute(() => stream.onFrame(frame)),
      onEnd: (end) => execute(() => stream.onEnd(end)),
    };
    options.send(name, () => {
      const agent = findAgent(stream.address);
      if (agent !== undefined && agent.isUp()) return start(agent, receiver);
      receiver.onEnd({ kind: "broken", sent: false, message: "refused" });
    });
  }

  const networkClient: agentClient.AgentClient = {
    describe: (address) =>
      requestAgent("describe", address, (agent) => agent.describe()),
    run: (attempt, stream) =>
      openStream(
        "run",
        stream,
        (agent, receiver) => agent.run(attempt, receiver),
      ),
    resume: (request, stream) =>
      openStream(
        "resume",
        stream,
        (agent, receiver) => agent.resume(request, receiver),
      ),
    seal: (request, address) =>
      requestAgent("seal", address, (agent) => agent.seal(request)),
    cancel({ attemptId }, address) {
      options.send("cancel", () => {
        const agent = findAgent(address);
        if (agent?.isUp()) agent.cancel(attemptId);
      });
    },
  };

  /** Calls the object store; the faults of the step apply to this call. */
  function requestStore<Outcome>(
    name: string,
    call: () => Promise<Outcome>,
  ): Promise<Outcome> {
    for (const fault of options.plan.recordStep(name)) options.onFault(fault);
    return new Promise((resolve) =>
      timers.schedule(() =>
        void call().then((outcome) => {
          timers.schedule(() => execute(() => resolve(outcome)), {
            delayMs: storeLatencyMs,
          });
        }), { delayMs: storeLatencyMs })
    );
  }

  const { store, variant } = options;
  const entryStore: objectStore.ObjectStore = {
    ...store,
    read: (key) => requestStore("store_read", () => store.read(key)),
    write: (key, value, condition) =>
      requestStore("store_write", () => store.write(key, value, condition)),
  };
  const client = variant.wrapClient?.(networkClient) ?? networkClient;
  const baseClaims = claimStore.createClaimStore({
    store: entryStore,
    scheduler: processScheduler,
    random: random.createRandomSource(seed),
    readWallMs: timers.now,
    half: "association",
  });
  const claims = variant.wrapClaims?.(baseClaims) ?? baseClaims;
  const descriptions = descriptionCache.createDescriptionCache({
    clock: timers,
    client,
  });

  function runCall(
    request: session.Request,
    { sink, resumePoint, signal }: RunCallOptions,
  ): void {
    const baseSession = session.createSession(request, {
      clock: timers,
      readWallMs: timers.now,
      createAttemptId: options.createAttemptId,
      chooseUpstream: options.chooseUpstream,
      takeRetry: () => true,
      resumePoint,
    });
    void runner.runSession({
      request,
      session: variant.wrapSession?.(baseSession) ?? baseSession,
      client,
      agents: { descriptions, claims },
      scheduler: processScheduler,
      sink,
      callerSignal: signal,
      headers: {},
      onDispatch: () => {},
      onObserve: () => {},
    });
  }

  return {
    id: options.id,
    isUp: () => isUp,
    runCall: (request, call) => execute(() => runCall(request, call)),
    findOutcome: outcomeLookup.createOutcomeLookup({
      claims,
      client,
      scheduler: processScheduler,
      readWallMs: timers.now,
    }),
    pause(durationMs) {
      pausedUntilMs = timers.now() + durationMs;
    },
    kill() {
      if (!isUp) return;
      isUp = false;
      for (const listener of exitListeners) listener();
    },
    onExit: (listener) => void exitListeners.push(listener),
  };
}
