/**
 * One switch of a group's expert map by orders to its ranks, and the end of a
 * switch that somebody left unfinished. Deterministic; any number of leaders
 * may run rounds at once, and any order may be carried out seconds late.
 *
 * What carries the promise that all ranks use one map in each pass:
 *
 * - All ranks have prepared version V before the pass S is held, and S is held
 *   before any rank is armed. Nobody begins S until `go`.
 * - One version is armed for one pass only, and a leader holds no pass at its
 *   rank twice. So a late `arm`, `disarm` or `go` repeats what was decided.
 * - `go` is sent only when all ranks are armed with V for S, or when nothing can
 *   be armed for S any more because a higher version took the place of V at
 *   each rank. Both facts last: a lower version can't be prepared again, and
 *   ranks are disarmed only after one rank was seen that has lost V.
 * - That a rank has lost V counts only if it was read after some rank was seen
 *   armed with V: before, it may not have prepared V yet.
 * - A hold does not expire; whoever finds one that nobody follows ends it by the
 *   same rules.
 */
import * as rankOrders from "./rank_orders.ts";

export interface RoundOptions {
  /** Rank at which this round holds the pass; the leader's own. */
  readonly holdRank: number;
  readonly rankCount: number;
  readonly epoch: number;
  /**
   * Returns the passes between the present one and that of the switch, given
   * how often an order of this round had to be sent at most.
   */
  readonly computeLead: (mostSendings: number) => number;
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
    readonly inForce: rankOrders.MapLayers;
    readonly states: readonly rankOrders.RankState[];
  }
  /** End a hold that was found at a rank. */
  | {
    readonly kind: "clear";
    readonly heldRank: number;
    readonly heldStep: number;
    readonly inForce: rankOrders.MapLayers;
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
  isDone(): boolean;
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

/** Creates a round that has not begun. */
export function createSwitchRound(options: RoundOptions): SwitchRound {
  const ranks = Array.from({ length: options.rankCount }, (_, rank) => rank);
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
  let heldRank = options.holdRank;
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
    open = new Set([options.holdRank]);
    return [{ kind: "read", call, rank: options.holdRank }];
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
    const isFree = states.size === options.rankCount &&
      event.states.every((state) =>
        state.epoch === options.epoch && state.isOpen &&
        state.heldStep === undefined && state.armed === undefined
      );
    if (!isFree) return abort("A rank is not free");
    layers = event.layers;
    inForce = event.inForce;
    version = options.createVersion(getHighest());
    const order = { kind: "prepare", version, layers } as const;
    return orderRanks("preparing", ranks, () => order);
  }

  function holdPass(): Effects {
    holds += 1;
    const furthest = Math.max(
      ...[...states.values()].map((state) => state.step),
    );
    const lead = options.computeLead(mostSendings) * holds;
    step = Math.max(furthest + lead, step + 1);
    if (step > furthest + maxAheadPasses) return abort("Few passes begin");
    const order = { kind: "hold", step } as const;
    return orderRanks("holding", [options.holdRank], () => order);
  }

  function arm(): Effects {
    armedBefore = version;
    const order = { kind: "arm", version, step } as const;
    return orderRanks("arming", ranks, () => order);
  }

  function release(outcome: RoundOutcome): Effects {
    result = outcome;
    const order = { kind: "go", step } as const;
    return orderRanks("releasing", [heldRank], () => order);
  }

  /** Goes on once all calls of a phase have ended well. */
  function advance(): Effects {
    switch (phase) {
      case "preparing":
        return locate();
      case "locating":
        return holdPass();
      case "holding":
        return arm();
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

  function isArmedHere(state: rankOrders.RankState): boolean {
    return state.armed?.step === step;
  }

  /** Chooses how the switch ends from what all ranks said after the hold. */
  function decide(): Effects {
    const all = [...states.values()];
    // Another ended the hold, or the group opened anew: nothing is armed.
    if (all.some((state) => state.step >= step)) return abort("The pass began");
    const armed = all.find(isArmedHere)?.armed;
    version = armed?.version ?? version;
    const isWhole = armed !== undefined &&
      all.every((state) =>
        rankOrders.isArmedFor(state, armed) ||
        (state.armed === undefined && state.preparedVersion === armed.version)
      );
    if (isWhole) return arm();
    if (armed !== undefined && armed.version !== armedBefore) {
      armedBefore = armed.version;
      return readAll();
    }
    const targets = all.filter(isArmedHere).map((state) => state.rank);
    return orderRanks("disarming", targets, (rank) => ({
      kind: "disarm",
      version: states.get(rank)?.armed?.version ?? version,
    }));
  }

  function replace(): Effects {
    // What is armed for another pass has lost V, and holds of its own.
    const targets = ranks.filter((rank) => {
      const state = states.get(rank);
      return state?.armed === undefined || isArmedHere(state);
    });
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
          heldRank = event.heldRank;
          step = event.heldStep;
          inForce = event.inForce;
          return readAll();
        case "state":
          if (event.call !== call || !open.has(event.state.rank)) return [];
          return handleState(event.state);
        case "outcome":
          if (event.call !== call || !open.has(event.rank)) return [];
          return handleOutcome(event.rank, event.outcome);
        case "late":
          if (event.call !== call || !open.has(event.rank)) return [];
          return handleFailure("a rank did not answer");
      }
    },
    isDone: () => phase === "done",
    getPhase: () => phase,
    getHeldStep: () => heldRank === options.holdRank ? step : 0,
  };
}
