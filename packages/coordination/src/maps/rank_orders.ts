/**
 * What a rank's engine is ordered to do when a group switches its expert map,
 * and what it reports of itself. Ranks don't compare maps: that all use one map
 * in each pass is up to whoever gives the orders.
 */

/** A rank that is armed uses the version from the pass `step` on. */
export interface ArmedSwitch {
  readonly version: number;
  readonly step: number;
}

/** What a rank says of itself at one instant. */
export interface RankState {
  readonly rank: number;
  /** Rises each time the group opens anew; nothing of an older epoch holds. */
  readonly epoch: number;
  readonly isOpen: boolean;
  /** Last pass that was begun. */
  readonly step: number;
  /** Number of orders that began something. */
  readonly sequence: number;
  /** Version of the map in force. */
  readonly mapVersion: number;
  /** Version that is copied and ready; undefined when there is none. */
  readonly preparedVersion: number | undefined;
  /** Switch that the rank makes by itself; undefined when there is none. */
  readonly armed: ArmedSwitch | undefined;
  /** Pass that the group must not begin before `go`; undefined without one. */
  readonly heldStep: number | undefined;
}

/** Experts by layer, then by rank, then by slot. */
export type MapLayers = readonly (readonly (readonly number[])[])[];

export type RankOrder =
  /** Copy the experts of a map that are new to the rank. */
  | {
    readonly kind: "prepare";
    readonly version: number;
    readonly layers: MapLayers;
  }
  /** Use the prepared map from the pass `step` on. */
  | { readonly kind: "arm"; readonly version: number; readonly step: number }
  | { readonly kind: "disarm"; readonly version: number }
  /** Keep the group from beginning the pass `step`. */
  | { readonly kind: "hold"; readonly step: number }
  /** End the hold of the pass `step` at this rank. */
  | { readonly kind: "go"; readonly step: number };

/** What became of one sending of an order. */
export type OrderReply =
  /** It began, or its state holds already. */
  | "accepted"
  /** It did not fit the rank's state; this sending never takes effect. */
  | "refused"
  /** No answer: it may have taken effect, or may yet do so. */
  | "unknown";

/** What became of an order after all of its sendings. */
export type OrderOutcome =
  /** Its state holds, and no earlier sending of it can change the rank. */
  | {
    readonly kind: "done";
    /** Undefined when the rank said so itself. */
    readonly state: RankState | undefined;
    /** How often it had to be sent. */
    readonly sendings: number;
  }
  /** It can't take effect any more. */
  | {
    readonly kind: "impossible";
    readonly state: RankState;
    readonly reason: string;
  }
  /** It may yet take effect. */
  | { readonly kind: "unsettled"; readonly reason: string };

/** Whether the rank makes exactly this switch. */
export function isArmedFor(
  { armed }: RankState,
  { version, step }: ArmedSwitch,
): boolean {
  return armed?.version === version && armed.step === step;
}

/** Whether the state that the order asks for holds. */
export function isOrderSatisfied(order: RankOrder, state: RankState): boolean {
  switch (order.kind) {
    case "prepare":
      return state.preparedVersion === order.version ||
        state.armed?.version === order.version ||
        state.mapVersion === order.version;
    case "arm":
      return isArmedFor(state, order) ||
        (state.mapVersion === order.version && state.step >= order.step);
    case "disarm":
      return state.armed?.version !== order.version;
    case "hold":
      return state.heldStep === order.step;
    case "go":
      return state.heldStep !== order.step;
  }
}

/** Returns why the order can't take effect any more; undefined if it can. */
export function findObstacle(
  order: RankOrder,
  state: RankState,
): string | undefined {
  switch (order.kind) {
    case "prepare": {
      const hasNewer = (state.preparedVersion ?? 0) > order.version ||
        state.mapVersion > order.version;
      if (hasNewer) return "the rank has had a higher version";
      return state.armed === undefined
        ? undefined
        : "the rank is armed with another version";
    }
    case "arm":
      if (state.preparedVersion !== order.version) {
        return "the version is not prepared";
      }
      return state.step >= order.step ? "the pass has begun" : undefined;
    case "disarm":
      return state.mapVersion === order.version
        ? "the version is in use"
        : undefined;
    case "hold":
      return state.step >= order.step ? "the pass has begun" : undefined;
    case "go":
      return undefined;
  }
}
