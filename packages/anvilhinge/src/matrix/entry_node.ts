/** An entry of the matrix: the real session, runner and claims on fakes. */
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

/** Replaces parts of an entry by broken ones, to show what the checks find. */
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
  /** Called when the process dies. */
  onExit(listener: () => void): void;
}

const seed = 7;
const callTimeoutMs = 1_000;
const storeLatencyMs = 3;

/** Creates an entry that is up. */
export function createEntryNode(options: EntryNodeOptions): EntryNode {
  const world = options.scheduler;
  let isUp = true;
  let pausedUntilMs = 0;
  const deathListeners: (() => void)[] = [];

  /** Runs a callback in the process: not once it died, later while paused. */
  function execute(callback: () => void): void {
    if (!isUp) return;
    const leftMs = pausedUntilMs - world.now();
    if (leftMs <= 0) return callback();
    world.schedule(() => execute(callback), { delayMs: leftMs });
  }

  const own: scheduler.Scheduler = {
    now: world.now,
    schedule(callback, { delayMs, signal }) {
      world.schedule(() => {
        execute(() => {
          if (!signal?.aborted) callback();
        });
      }, { delayMs, signal });
    },
  };

  function findAgent(address: string): agentNode.AgentNode | undefined {
    return options.agents.find((agent) => agent.upstream.address === address);
  }

  /** Asks an agent and gives up after a while. */
  function requestAgent<Answer>(
    name: string,
    address: string,
    respond: (agent: agentNode.AgentNode) => Answer,
  ): Promise<Answer | "unreachable"> {
    return new Promise((resolve) => {
      own.schedule(() => resolve("unreachable"), { delayMs: callTimeoutMs });
      options.send(name, () => {
        const agent = findAgent(address);
        if (agent === undefined || !agent.isUp()) {
          return execute(() => resolve("unreachable"));
        }
        const answer = respond(agent);
        options.send(`${name}_answer`, () => execute(() => resolve(answer)));
      });
    });
  }

  /** Opens a stream; a message that is lost leaves it silent. */
  function openStream(
    name: string,
    stream: agentClient.StreamOptions,
    start: (
      agent: agentNode.AgentNode,
      target: agentNode.FrameReceiver,
    ) => void,
  ): void {
    const target: agentNode.FrameReceiver = {
      signal: stream.signal,
      onFrame: (frame) => execute(() => stream.onFrame(frame)),
      onEnd: (end) => execute(() => stream.onEnd(end)),
    };
    options.send(name, () => {
      const agent = findAgent(stream.address);
      if (agent !== undefined && agent.isUp()) return start(agent, target);
      target.onEnd({ kind: "broken", sent: false, message: "refused" });
    });
  }

  const plainClient: agentClient.AgentClient = {
    describe: (address) =>
      requestAgent("describe", address, (agent) => agent.describe()),
    run: (attempt, stream) =>
      openStream("run", stream, (agent, target) => agent.run(attempt, target)),
    resume: (request, stream) =>
      openStream(
        "resume",
        stream,
        (agent, target) => agent.resume(request, target),
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

  /** Calls the store: faults are set as the call leaves. */
  function runStore<Outcome>(
    name: string,
    call: () => Promise<Outcome>,
  ): Promise<Outcome> {
    for (const fault of options.plan.recordStep(name)) options.onFault(fault);
    return new Promise((resolve) =>
      world.schedule(() =>
        void call().then((outcome) => {
          world.schedule(() => execute(() => resolve(outcome)), {
            delayMs: storeLatencyMs,
          });
        }), { delayMs: storeLatencyMs })
    );
  }

  const { store, variant } = options;
  const ownStore: objectStore.ObjectStore = {
    ...store,
    read: (key) => runStore("store_read", () => store.read(key)),
    write: (key, value, condition) =>
      runStore("store_write", () => store.write(key, value, condition)),
  };
  const client = variant.wrapClient?.(plainClient) ?? plainClient;
  const plainClaims = claimStore.createClaimStore({
    store: ownStore,
    scheduler: own,
    random: random.createRandomSource(seed),
    readWallMs: world.now,
    half: "association",
  });
  const claims = variant.wrapClaims?.(plainClaims) ?? plainClaims;
  const clocks = descriptionCache.createDescriptionCache({
    clock: world,
    client,
  });

  function runCall(
    request: session.Request,
    { sink, resumePoint, signal }: RunCallOptions,
  ): void {
    const plain = session.createSession(request, {
      clock: world,
      readWallMs: world.now,
      createAttemptId: options.createAttemptId,
      chooseUpstream: options.chooseUpstream,
      takeRetry: () => true,
      resumePoint,
    });
    void runner.runSession({
      request,
      session: variant.wrapSession?.(plain) ?? plain,
      client,
      agents: { descriptions: clocks, claims },
      scheduler: own,
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
      scheduler: own,
      readWallMs: world.now,
    }),
    pause(durationMs) {
      pausedUntilMs = world.now() + durationMs;
    },
    kill() {
      if (!isUp) return;
      isUp = false;
      for (const listener of deathListeners) listener();
    },
    onExit: (listener) => void deathListeners.push(listener),
  };
}
