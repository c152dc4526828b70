/**
 * One switch of a group's expert map by orders to its ranks, and the end of a
 * switch that somebody left unfinished. Deterministic; any number of leaders
 * may run rounds at once, and any order may be carried out seconds late.
 *
 * What carries the promise that all ranks use one map in each pass:
 *
 * - All ranks have prepared version V before the pass S is held, and S is held
 *   before any rank is armed. Nobody begins S until `go`.
 * - One version is armed for one pass only, and a leader holds no pass twice.
 *   So a late `arm`, `disarm` or `go` repeats what was decided.
 * - The leader's own rank is armed first, by whoever goes on with the switch.
 *   So once another rank is armed, the switch can go on without its answer:
 *   it stays armed unless a rank that does answer has lost V.
 * - Ranks are disarmed, and `go` is sent without a switch, only after a rank
 *   was seen to have lost V, or has been given a higher version. Both last: a
 *   lower version can't be prepared again.
 * - That a rank has lost V counts only if it was read after some rank was seen
 *   armed with V: before, it may not have prepared V yet.
 * - A hold does not expire; whoever finds one that nobody follows ends it by the
 *   same rules. Each hold stands for the versions of its own leader, whose rank
 *   follows from the rank at which it is: it must not be the leader's own, so
 *   that a machine which stands still leaves no hold that nobody can end.
 */
import * as rankOrders from "./rank_orders.ts";

export interface RoundOptions {
  /** Rank of the leader that runs the round. */
  readonly ownRank: number;
  readonly rankCount: number;
  readonly epoch: number;
  /**
   * Returns the passes between the present one and that of the switch, given
   * how often an order of this round had to be sent at most.
   */
  readonly computeLeadPasses: (mostSendings: number) => number;
  /**
   * Highest pass that this leader may have held, also before it restarted;
   * later ones must be above it. A process that does not know takes the first
   * pass that it sees, plus `maxAheadPasses`.
   */
  readonly lastHeldStep: number;
  /**
   * Returns a version above `known` that no other leader uses for another map.
   */
  readonly createVersion: (known: number) => number;
  /** Returns the rank of the leader that created a version. */
  readonly getLeaderRank: (version: number) => number;
}

export type RoundOutcome =
  | {
    readonly kind: "switched";
    readonly version: number;
    readonly step: number;
  }
  /** No rank switched; a hold may be left. */
  | { readonly kind: "aborted"; readonly reason: string };

export type RoundEvent =
  /** Switch to a map; `states` are those from which it was planned. */
  | {
    readonly kind: "start";
    readonly layers: rankOrders.MapLayers;
    /** Map in force. */
    readonly currentLayers: rankOrders.MapLayers;
    readonly states: readonly rankOrders.RankState[];
  }
  /** End a hold that was found at a rank. */
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
  }
  /** A call was not answered in time. */
  | { readonly kind: "late"; readonly call: number; readonly rank: number };

export type RoundEffect =
  /** Bring an order to an end; `outcome` or `late` follows. */
  | {
    readonly kind: "order";
    readonly call: number;
    readonly rank: number;
    readonly order: rankOrders.RankOrder;
  }
  /** Read a rank's state; `state` or `late` follows. */
  | { readonly kind: "read"; readonly call: number; readonly rank: number }
  | { readonly kind: "finish"; readonly outcome: RoundOutcome };

export interface SwitchRound {
  handle(event: RoundEvent): readonly RoundEffect[];
  isFinished(): boolean;
  /** Highest pass that this round tried to hold. */
  getHeldStep(): number;
  getPhase(): RoundPhase;
}

type Effects = readonly RoundEffect[];

export type RoundPhase =
  | "idle"
  | "preparing"
  /** Reads the pass of the own rank anew. */
  | "locating"
  | "holding"
  /** Arms the rank of the leader that holds the pass. */
  | "opening"
  | "arming"
  /** Reads all ranks again to find out how an unfinished switch can end. */
  | "looking"
  | "disarming"
  /** Puts a higher version of the map in force in the place of V. */
  | "replacing"
  | "releasing"
  | "done";

/**
 * Passes ahead of the present one that a leader holds at most. The bound lets a
 * leader that restarted tell which passes it can't have held.
 */
export const maxAheadPasses = 12;
/** Looks at all ranks after which a round leaves the rest to the next one. */
const maxLooks = 20;
/** Passes that are tried to be held, each further ahead. */
const maxHolds = 3;

/** Returns the rank at which a leader holds passes; never its own but alone. */
export function getHoldRank(leader: number, rankCount: number): number {
  return (leader + 1) % rankCount;
}

/** Returns the leader whose holds are at a rank. */
export function getHoldLeader(heldRank: number, rankCount: number): number {
  return (heldRank + rankCount - 1) % rankCount;
}

/** Creates a round that has not begun. */
export function createSwitchRound(options: RoundOptions): SwitchRound {
  const { rankCount, ownRank } = options;
  const ranks = Array.from({ length: rankCount }, (_, rank) => rank);
  const states = new Map<number, rankOrders.RankState>();
  let phase: RoundPhase = "idle";
  let call = 0;
  let looks = 0;
  let holds = 0;
  let mostSendings = 0;
  let version = 0;
  /** Version that was known to be armed before the last look began. */
  let armedBefore: number | undefined;
  let step = options.lastHeldStep;
  /** Rank of the leader that holds the pass. */
  let leaderRank = ownRank;
  let layers: rankOrders.MapLayers = [];
  let inForce: rankOrders.MapLayers = [];
  let result: RoundOutcome = { kind: "aborted", reason: "Not begun" };
  /** Ranks whose call of this phase is open. */
  let open = new Set<number>();

  function finish(outcome: RoundOutcome): Effects {
    phase = "done";
    return [{ kind: "finish", outcome }];
  }

  function abort(reason: string): Effects {
    return finish({ kind: "aborted", reason });
  }

  function orderRanks(
    next: RoundPhase,
    targets: readonly number[],
    createOrder: (rank: number) => rankOrders.RankOrder,
  ): Effects {
    phase = next;
    call += 1;
    open = new Set(targets);
    if (targets.length === 0) return advance();
    return targets.map((rank) => ({
      kind: "order",
      call,
      rank,
      order: createOrder(rank),
    }));
  }

  function readAll(): Effects {
    looks += 1;
    if (looks > maxLooks) return abort("The ranks could not be settled");
    phase = "looking";
    call += 1;
    open = new Set(ranks);
    return ranks.map((rank) => ({ kind: "read", call, rank }));
  }

  /** Reads the present pass, so that the switch is as near as it can be. */
  function locate(): Effects {
    phase = "locating";
    call += 1;
    open = new Set([ownRank]);
    return [{ kind: "read", call, rank: ownRank }];
  }

  function getHighest(): number {
    const known = [...states.values()].flatMap((state) => [
      state.mapVersion,
      state.preparedVersion ?? 0,
      state.armed?.version ?? 0,
    ]);
    return Math.max(0, version, ...known);
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
    if (!isFree) return abort("A rank is not free");
    layers = event.layers;
    inForce = event.currentLayers;
    version = options.createVersion(getHighest());
    const order = { kind: "prepare", version, layers } as const;
    return orderRanks("preparing", ranks, () => order);
  }

  function holdPass(): Effects {
    holds += 1;
    const furthest = Math.max(
      ...[...states.values()].map((state) => state.step),
    );
    const lead = options.computeLeadPasses(mostSendings) * holds;
    step = Math.max(furthest + lead, step + 1);
    if (step > furthest + maxAheadPasses) return abort("Few passes begin");
    const order = { kind: "hold", step } as const;
    const target = getHoldRank(ownRank, rankCount);
    return orderRanks("holding", [target], () => order);
  }

  function armLeader(): Effects {
    const order = { kind: "arm", version, step } as const;
    return orderRanks("opening", [leaderRank], () => order);
  }

  function armOthers(): Effects {
    armedBefore = version;
    const others = ranks.filter((rank) => rank !== leaderRank);
    const order = { kind: "arm", version, step } as const;
    return orderRanks("arming", others, () => order);
  }

  function release(outcome: RoundOutcome): Effects {
    result = outcome;
    const order = { kind: "go", step } as const;
    const target = getHoldRank(leaderRank, rankCount);
    return orderRanks("releasing", [target], () => order);
  }

  /** Goes on once all calls of a phase have ended well. */
  function advance(): Effects {
    switch (phase) {
      case "preparing":
        return locate();
      case "locating":
        return holdPass();
      case "holding":
        return armLeader();
      case "opening":
        return armOthers();
      case "arming":
        return release({ kind: "switched", version, step });
      case "looking":
        return decide();
      case "disarming":
        return replace();
      case "replacing":
        return release({ kind: "aborted", reason: "A rank lost the map" });
      case "releasing":
        return finish(result);
      case "idle":
      case "done":
        return [];
    }
  }

  /** Whether a rank makes the switch of the leader that holds the pass. */
  function isArmedHere({ armed }: rankOrders.RankState): boolean {
    return armed?.step === step &&
      options.getLeaderRank(armed.version) === leaderRank;
  }

  /**
   * Chooses how the switch ends from what the ranks said after the hold; the
   * leader's own rank may be missing.
   */
  function decide(): Effects {
    const found = [...states.values()];
    // Another ended the hold, or the group opened anew: nothing is armed.
    if (found.some((state) => state.step >= step)) {
      return abort("The pass began");
    }
    const isLeaderSeen = states.has(leaderRank);
    const armed = found.find(isArmedHere)?.armed;
    // A leader's rank that does not answer may be the only one that is armed.
    if (armed === undefined) return isLeaderSeen ? replace() : readAll();
    version = armed.version;
    const lost = found.filter((state) =>
      !rankOrders.isArmedFor(state, armed) &&
      (state.armed !== undefined || state.preparedVersion !== armed.version)
    );
    if (lost.length === 0) return isLeaderSeen ? armLeader() : armOthers();
    if (armed.version !== armedBefore) {
      armedBefore = armed.version;
      return readAll();
    }
    if (!isLeaderSeen) return readAll();
    const targets = found.filter(isArmedHere).map((state) => state.rank);
    return orderRanks("disarming", targets, () => ({
      kind: "disarm",
      version,
    }));
  }

  /**
   * Gives a higher version to the ranks that are not armed. What is armed for
   * another pass, or by another leader, has lost V, and holds of its own.
   */
  function replace(): Effects {
    const targets = [...states.values()]
      .filter((state) => state.armed === undefined || isArmedHere(state))
      .map(({ rank }) => rank);
    version = options.createVersion(getHighest());
    const order = { kind: "prepare", version, layers: inForce } as const;
    return orderRanks("replacing", targets, () => order);
  }

  function handleOutcome(
    rank: number,
    outcome: rankOrders.OrderOutcome,
  ): Effects {
    if (outcome.kind !== "unsettled" && outcome.state !== undefined) {
      if (outcome.state.epoch !== options.epoch) return abort("A new epoch");
      states.set(rank, outcome.state);
    }
    if (outcome.kind !== "done") return handleFailure(outcome.reason);
    mostSendings = Math.max(mostSendings, outcome.sendings);
    open.delete(rank);
    return open.size === 0 ? advance() : [];
  }

  function handleFailure(reason: string): Effects {
    switch (phase) {
      case "preparing":
        return abort(`Not prepared: ${reason}`);
      case "locating":
        return abort(`Not located: ${reason}`);
      case "holding":
        // A late hold is found by its report and ended by a later round.
        return holds < maxHolds ? holdPass() : abort(`Not held: ${reason}`);
      case "opening":
      case "arming":
      case "looking":
      case "disarming":
      case "replacing":
      case "releasing":
        return readAll();
      case "idle":
      case "done":
        return [];
    }
  }

  function handleSilence(rank: number): Effects {
    const isSpared = phase === "looking" && rank === leaderRank;
    if (!isSpared) return handleFailure("a rank did not answer");
    states.delete(rank);
    open.delete(rank);
    return open.size === 0 ? advance() : [];
  }

  function handleState(state: rankOrders.RankState): Effects {
    if (state.epoch !== options.epoch) return abort("A new epoch");
    states.set(state.rank, state);
    open.delete(state.rank);
    return open.size === 0 ? advance() : [];
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
          inForce = event.currentLayers;
          return readAll();
        case "state":
          if (event.call !== call || !open.has(event.state.rank)) return [];
          return handleState(event.state);
        case "outcome":
          if (event.call !== call || !open.has(event.rank)) return [];
          return handleOutcome(event.rank, event.outcome);
        case "late":
          if (event.call !== call || !open.has(event.rank)) return [];
          return handleSilence(event.rank);
      }
    },
    isFinished: () => phase === "done",
    getPhase: () => phase,
    getHeldStep: () => leaderRank === ownRank ? step : 0,
  };
}
