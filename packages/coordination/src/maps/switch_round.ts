/**
 * Switch round: switches a group to another expert map by orders to its ranks,
 * or completes a switch that another leader left unfinished. Deterministic. Any
 * number of leaders may run rounds concurrently, and any order may take effect
 * seconds after it was sent.
 *
 * `rank_orders.ts` describes the orders. Invariants that ensure that all ranks
 * use one map in each forward pass, for a switch to version V from pass S on:
 *
 * - All ranks have prepared V before S is held, and S is held before any rank
 *   is armed. No rank begins S until `go`.
 * - A version is armed for one pass only, and a leader never holds a pass
 *   twice. A late `arm`, `disarm` or `go` therefore only repeats an earlier
 *   decision.
 * - The rank of the leader that holds the pass is armed first, also when
 *   another leader completes the switch. Once a further rank is armed, the
 *   switch can therefore continue without an answer from the leader's rank:
 *   that rank stays armed unless a rank that does answer has lost V.
 * - Ranks are disarmed, and `go` is sent without a switch, only after a rank
 *   was observed to have lost V or was given a higher version. Both conditions
 *   are permanent: a lower version can't be prepared again. The leader that
 *   created V may also send `go` as long as it has armed no rank, if it never
 *   arms V afterwards.
 * - The observation that a rank has lost V counts only if the rank was read
 *   after some rank was observed to be armed with V: in an earlier read, the
 *   rank may not have prepared V yet.
 * - A hold does not expire. A leader that finds an abandoned hold ends it by
 *   the rules above. Each hold protects switches to versions of the leader that
 *   placed it, and the rank at which it is found identifies the rank of that
 *   leader. A leader does not place holds at its own rank: a stalled machine
 *   would then leave a hold that no other leader can end. For the same reason
 *   the order to hold is sent from a machine that has no rank or, if none can
 *   be reached, from that of a third rank; then no rank is armed before that
 *   machine has answered once more.
 */
import * as rankOrders from "./rank_orders.ts";

export interface RoundOptions {
  /** Rank of the leader that runs the round. */
  readonly ownRank: number;
  readonly rankCount: number;
  readonly epoch: number;
  /**
   * Returns the number of passes between the current pass and the pass of the
   * switch, given the highest number of times that one order of this round was
   * sent.
   */
  readonly computeLeadPasses: (maxSendCount: number) => number;
  /**
   * Highest pass that this leader may have held, also before a restart; the
   * round holds only passes above it. A process that has no record of earlier
   * holds uses the first pass that it observes plus `maxAheadPasses`.
   */
  readonly lastHeldStep: number;
  /**
   * Returns a version above `knownVersion` that no other leader uses for
   * another map.
   */
  readonly createVersion: (knownVersion: number) => number;
  /** Returns the rank of the leader that created a version. */
  readonly getLeaderRank: (version: number) => number;
}

export type RoundOutcome =
  | {
    readonly kind: "switched";
    readonly version: number;
    readonly step: number;
  }
  /**
   * The round completed no switch. Another leader may have completed it, and a
   * hold may remain.
   */
  | { readonly kind: "aborted"; readonly reason: string };

export type RoundEvent =
  /** Switch to a map that was planned from `states`. */
  | {
    readonly kind: "start";
    readonly layers: rankOrders.MapLayers;
    /** Map that is in use. */
    readonly currentLayers: rankOrders.MapLayers;
    readonly states: readonly rankOrders.RankState[];
  }
  /** End an abandoned hold that was found at a rank. */
  | {
    readonly kind: "clear";
    readonly heldRank: number;
    readonly heldStep: number;
    readonly currentLayers: rankOrders.MapLayers;
  }
  | {
    readonly kind: "state";
    readonly call: number;
    readonly state: rankOrders.RankState;
  }
  | {
    readonly kind: "outcome";
    readonly call: number;
    readonly rank: number;
    readonly outcome: rankOrders.OrderOutcome;
    /**
     * Whether the order was sent from a machine that has no rank; the round does
     * not depend on that machine.
     */
    readonly isSentElsewhere?: boolean;
  }
  /** A call timed out, or the engine of the rank did not answer. */
  | { readonly kind: "late"; readonly call: number; readonly rank: number };

export type RoundEffect =
  /** Send an order until its outcome is known; `outcome` or `late` follows. */
  | {
    readonly kind: "order";
    readonly call: number;
    readonly rank: number;
    readonly order: rankOrders.RankOrder;
    /**
     * Rank from whose machine the order is sent, unless it is sent from a machine
     * without a rank; by default, any.
     */
    readonly sender?: number;
  }
  /** Read a rank's state; `state` or `late` follows. */
  | { readonly kind: "read"; readonly call: number; readonly rank: number }
  | { readonly kind: "finish"; readonly outcome: RoundOutcome };

export interface SwitchRound {
  handle(event: RoundEvent): readonly RoundEffect[];
  isFinished(): boolean;
  /**
   * Highest pass that this leader may have held, including this round; 0 while
   * the round ends the hold of another leader.
   */
  getHeldStep(): number;
  /** Pass whose hold this round placed or ends; undefined before and after. */
  getActiveStep(): number | undefined;
  getPhase(): RoundPhase;
}

type Effects = readonly RoundEffect[];

export type RoundPhase =
  | "idle"
  | "preparing"
  /** Reads the current pass from the leader's own rank. */
  | "locating"
  | "holding"
  /** Reads the rank from whose machine the hold was sent. */
  | "confirming"
  /** Arms the rank of the leader that holds the pass. */
  | "opening"
  | "arming"
  /** Reads all ranks to determine how an unfinished switch can end. */
  | "looking"
  | "disarming"
  /** Prepares the current map under a higher version, which replaces V. */
  | "replacing"
  | "releasing"
  | "done";

/** Phases in which no hold belongs to the round. */
const phasesBeforeHold: readonly RoundPhase[] = [
  "idle",
  "preparing",
  "locating",
  "done",
];

/**
 * Limit on how far ahead of the current pass a leader holds a pass. With this
 * bound a restarted leader can rule out the passes that it can't have held.
 */
export const maxAheadPasses = 12;
/** Reads of all ranks after which a round gives up; a later round continues. */
const maxReads = 20;
/** Orders to hold a pass in one round, each for a pass further ahead. */
const maxHoldOrders = 3;

/**
 * Returns the rank at which a leader holds passes: its own rank only in a group
 * of one rank.
 */
export function getHoldRank(leader: number, rankCount: number): number {
  return (leader + 1) % rankCount;
}

/**
 * Returns the rank from whose machine a leader sends the order to hold a pass:
 * its own in a group of one or two ranks.
 */
export function getHoldSender(leader: number, rankCount: number): number {
  return rankCount > 2 ? (leader + 2) % rankCount : leader;
}

/** Returns the rank of the leader that places its holds at a rank. */
export function getHoldLeader(heldRank: number, rankCount: number): number {
  return (heldRank + rankCount - 1) % rankCount;
}

/** Creates a round that waits for `start` or `clear`. */
export function createSwitchRound(options: RoundOptions): SwitchRound {
  const { rankCount, ownRank } = options;
  const ranks = Array.from({ length: rankCount }, (_, rank) => rank);
  const states = new Map<number, rankOrders.RankState>();
  let phase: RoundPhase = "idle";
  let call = 0;
  let reads = 0;
  let holdOrders = 0;
  /** Whether the last order was sent from a machine that has no rank. */
  let isSentElsewhere = false;
  let maxSendCount = 0;
  let version = 0;
  /** Version that was observed as armed before the last read of all ranks. */
  let versionArmedBeforeRead: number | undefined;
  let step = options.lastHeldStep;
  /** Rank of the leader that holds the pass. */
  let leaderRank = ownRank;
  let layers: rankOrders.MapLayers = [];
  let currentLayers: rankOrders.MapLayers = [];
  let finalOutcome: RoundOutcome = {
    kind: "aborted",
    reason: "The round has not started",
  };
  /** Ranks whose call of this phase is still unanswered. */
  let pending = new Set<number>();

  function finish(outcome: RoundOutcome): Effects {
    phase = "done";
    return [{ kind: "finish", outcome }];
  }

  function abort(reason: string): Effects {
    return finish({ kind: "aborted", reason });
  }

  function sendOrders(
    nextPhase: RoundPhase,
    targets: readonly number[],
    createOrder: (rank: number) => rankOrders.RankOrder,
  ): Effects {
    phase = nextPhase;
    call += 1;
    pending = new Set(targets);
    if (targets.length === 0) return advancePhase();
    return targets.map((rank) => ({
      kind: "order",
      call,
      rank,
      order: createOrder(rank),
    }));
  }

  function readRanks(): Effects {
    reads += 1;
    if (reads > maxReads) return abort("Gave up after too many reads of ranks");
    phase = "looking";
    call += 1;
    pending = new Set(ranks);
    return ranks.map((rank) => ({ kind: "read", call, rank }));
  }

  /** Reads the current pass, so that the switch comes as soon as possible. */
  function readOwnRank(): Effects {
    phase = "locating";
    call += 1;
    pending = new Set([ownRank]);
    return [{ kind: "read", call, rank: ownRank }];
  }

  function getHighestVersion(): number {
    const versions = [...states.values()].flatMap((state) => [
      state.mapVersion,
      state.preparedVersion ?? 0,
      state.armed?.version ?? 0,
    ]);
    return Math.max(0, version, ...versions);
  }

  function start(
    event: Extract<RoundEvent, { readonly kind: "start" }>,
  ): Effects {
    for (const state of event.states) states.set(state.rank, state);
    const isFree = states.size === rankCount &&
      event.states.every((state) =>
        state.epoch === options.epoch && state.isOpen &&
        state.heldStep === undefined && state.armed === undefined
      );
    if (!isFree) return abort("A rank is unavailable or in another switch");
    layers = event.layers;
    currentLayers = event.currentLayers;
    version = options.createVersion(getHighestVersion());
    const order = { kind: "prepare", version, layers } as const;
    return sendOrders("preparing", ranks, () => order);
  }

  function holdPass(): Effects {
    holdOrders += 1;
    const latestStep = Math.max(
      ...[...states.values()].map((state) => state.step),
    );
    const leadPasses = options.computeLeadPasses(maxSendCount) * holdOrders;
    step = Math.max(latestStep + leadPasses, step + 1);
    if (step > latestStep + maxAheadPasses) return abort("Pass too far ahead");
    phase = "holding";
    call += 1;
    const rank = getHoldRank(ownRank, rankCount);
    pending = new Set([rank]);
    const order = { kind: "hold", step } as const;
    const sender = getHoldSender(ownRank, rankCount);
    return [{ kind: "order", call, rank, order, sender }];
  }

  /** Reads the rank from whose machine the hold was sent. */
  function verifySender(): Effects {
    const rank = getHoldSender(ownRank, rankCount);
    if (isSentElsewhere || rank === ownRank) return armLeader();
    phase = "confirming";
    call += 1;
    pending = new Set([rank]);
    return [{ kind: "read", call, rank }];
  }

  function armLeader(): Effects {
    const order = { kind: "arm", version, step } as const;
    return sendOrders("opening", [leaderRank], () => order);
  }

  function armOthers(): Effects {
    versionArmedBeforeRead = version;
    const otherRanks = ranks.filter((rank) => rank !== leaderRank);
    const order = { kind: "arm", version, step } as const;
    return sendOrders("arming", otherRanks, () => order);
  }

  function releaseHold(outcome: RoundOutcome): Effects {
    finalOutcome = outcome;
    const order = { kind: "go", step } as const;
    const target = getHoldRank(leaderRank, rankCount);
    return sendOrders("releasing", [target], () => order);
  }

  /** Starts the next phase after all calls of a phase have succeeded. */
  function advancePhase(): Effects {
    switch (phase) {
      case "preparing":
        return readOwnRank();
      case "locating":
        return holdPass();
      case "holding":
        return verifySender();
      case "confirming":
        return armLeader();
      case "opening":
        return armOthers();
      case "arming":
        return releaseHold({ kind: "switched", version, step });
      case "looking":
        return chooseCompletion();
      case "disarming":
        return replaceMap();
      case "replacing":
        return releaseHold({
          kind: "aborted",
          reason: "A rank lost the prepared map",
        });
      case "releasing":
        return finish(finalOutcome);
      case "idle":
      case "done":
        return [];
    }
  }

  /**
   * Returns whether a rank is armed for the switch to which the hold belongs.
   */
  function isArmedByLeader({ armed }: rankOrders.RankState): boolean {
    return armed?.step === step &&
      options.getLeaderRank(armed.version) === leaderRank;
  }

  /**
   * Chooses how the switch ends, from rank states that were read after the
   * hold. The state of the leader's own rank may be missing.
   */
  function chooseCompletion(): Effects {
    const readStates = [...states.values()];
    // Another leader ended the hold, or the group reopened: no rank is armed.
    if (readStates.some((state) => state.step >= step)) {
      return abort("The held pass has begun");
    }
    const isLeaderRead = states.has(leaderRank);
    const armed = readStates.find(isArmedByLeader)?.armed;
    // The leader's rank is armed first, so it may be the only armed rank even
    // though it does not answer.
    if (armed === undefined) return isLeaderRead ? replaceMap() : readRanks();
    version = armed.version;
    const unready = readStates.filter((state) =>
      !rankOrders.isArmedFor(state, armed) &&
      (state.armed !== undefined || state.preparedVersion !== armed.version)
    );
    if (unready.length === 0) return isLeaderRead ? armLeader() : armOthers();
    // This read may show states from before a rank prepared the version.
    if (armed.version !== versionArmedBeforeRead) {
      versionArmedBeforeRead = armed.version;
      return readRanks();
    }
    if (!isLeaderRead) return readRanks();
    const targets = readStates.filter(isArmedByLeader).map((state) =>
      state.rank
    );
    return sendOrders("disarming", targets, () => ({
      kind: "disarm",
      version,
    }));
  }

  /**
   * Prepares a higher version at the ranks that are not armed. A rank that is
   * armed for another pass or by another leader is skipped: it has lost V, and
   * another hold covers it. The last known state of a rank that was just
   * disarmed may still show it as armed.
   */
  function replaceMap(): Effects {
    const targets = [...states.values()]
      .filter((state) => state.armed === undefined || isArmedByLeader(state))
      .map(({ rank }) => rank);
    version = options.createVersion(getHighestVersion());
    const order = { kind: "prepare", version, layers: currentLayers } as const;
    return sendOrders("replacing", targets, () => order);
  }

  function handleOutcome(
    event: Extract<RoundEvent, { readonly kind: "outcome" }>,
  ): Effects {
    const { rank, outcome } = event;
    isSentElsewhere = event.isSentElsewhere ?? false;
    if (outcome.kind !== "unsettled" && outcome.state !== undefined) {
      if (outcome.state.epoch !== options.epoch) return abort("Epoch changed");
      states.set(rank, outcome.state);
    }
    if (outcome.kind === "unsettled" && phase === "holding") {
      return withdrawHold(outcome.reason);
    }
    if (outcome.kind !== "done") return handleFailure(outcome.reason);
    maxSendCount = Math.max(maxSendCount, outcome.sendings);
    pending.delete(rank);
    return pending.size === 0 ? advancePhase() : [];
  }

  function handleFailure(reason: string): Effects {
    switch (phase) {
      case "preparing":
        return abort(`Could not prepare the map: ${reason}`);
      case "locating":
        return abort(`Could not read the current pass: ${reason}`);
      case "holding":
        return holdOrders < maxHoldOrders
          ? holdPass()
          : abort(`Could not hold the pass: ${reason}`);
      case "confirming":
        return withdrawHold(reason);
      case "opening":
      case "arming":
      case "looking":
      case "disarming":
      case "replacing":
      case "releasing":
        return readRanks();
      case "idle":
      case "done":
        return [];
    }
  }

  /**
   * Ends a hold that may have been placed. One that takes effect later shows in
   * the rank's report, and a later round ends it.
   */
  function withdrawHold(reason: string): Effects {
    return releaseHold({
      kind: "aborted",
      reason: `Could not hold the pass: ${reason}`,
    });
  }

  function handleTimeout(rank: number): Effects {
    if (phase === "holding" || phase === "confirming") {
      return withdrawHold("the machine that sent the order does not answer");
    }
    const isOptional = phase === "looking" && rank === leaderRank;
    if (!isOptional) return handleFailure("a rank did not answer");
    states.delete(rank);
    pending.delete(rank);
    return pending.size === 0 ? advancePhase() : [];
  }

  function handleState(state: rankOrders.RankState): Effects {
    if (state.epoch !== options.epoch) return abort("Epoch changed");
    states.set(state.rank, state);
    pending.delete(state.rank);
    return pending.size === 0 ? advancePhase() : [];
  }

  return {
    handle(event) {
      switch (event.kind) {
        case "start":
          return phase === "idle" ? start(event) : [];
        case "clear":
          if (phase !== "idle") return [];
          leaderRank = getHoldLeader(event.heldRank, rankCount);
          step = event.heldStep;
          currentLayers = event.currentLayers;
          return readRanks();
        case "state":
          if (event.call !== call || !pending.has(event.state.rank)) return [];
          return handleState(event.state);
        case "outcome":
          if (event.call !== call || !pending.has(event.rank)) return [];
          return handleOutcome(event);
        case "late":
          if (event.call !== call || !pending.has(event.rank)) return [];
          return handleTimeout(event.rank);
      }
    },
    isFinished: () => phase === "done",
    getPhase: () => phase,
    getHeldStep: () => leaderRank === ownRank ? step : 0,
    getActiveStep: () => phasesBeforeHold.includes(phase) ? undefined : step,
  };
}
