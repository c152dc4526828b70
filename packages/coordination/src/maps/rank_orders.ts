/**
 * Orders to the engine of a rank in a switch round, and the state that the
 * engine reports. Ranks don't compare their maps: the sender of the orders is
 * responsible for all ranks using one map in each forward pass.
 */

/** Switch of an armed rank: it uses `version` from the pass `step` on. */
export interface ArmedSwitch {
  readonly version: number;
  readonly step: number;
}

/** Snapshot of a rank's state, as the rank reports it. */
export interface RankState {
  readonly rank: number;
  /** Rises each time the group reopens; state of older epochs is void. */
  readonly epoch: number;
  /** False while the group is broken: no order can take effect then. */
  readonly isOpen: boolean;
  /** Number of the last pass that has begun. */
  readonly step: number;
  /** Number of orders that changed the state of the rank. */
  readonly sequence: number;
  /** Version of the map in use. */
  readonly mapVersion: number;
  /** Version whose experts are copied and ready, if any. */
  readonly preparedVersion: number | undefined;
  /** Switch that the rank will make without a further order, if any. */
  readonly armed: ArmedSwitch | undefined;
  /** Pass held here, if any: the group does not begin it before `go`. */
  readonly heldStep: number | undefined;
}

/** Experts by layer, then by rank, then by slot. */
export type MapLayers = readonly (readonly (readonly number[])[])[];

export type RankOrder =
  /** Copy the experts of a map that the rank does not hold yet. */
  | {
    readonly kind: "prepare";
    readonly version: number;
    readonly layers: MapLayers;
  }
  /** Use the prepared map from the pass `step` on. */
  | { readonly kind: "arm"; readonly version: number; readonly step: number }
  | { readonly kind: "disarm"; readonly version: number }
  /** Prevent the group from beginning the pass `step`. */
  | { readonly kind: "hold"; readonly step: number }
  /** End the hold of the pass `step` at this rank. */
  | { readonly kind: "go"; readonly step: number };

/** Result of sending an order once. */
export type OrderReply =
  /** The rank has begun to carry out the order, or already satisfied it. */
  | "accepted"
  /**
   * The order did not fit the rank's state or could not be sent; this copy never
   * takes effect.
   */
  | "refused"
  /** No reply: the order may have taken effect or may still do so. */
  | "unknown";

/** Result of an order after all sends. */
export type OrderOutcome =
  /** The rank satisfies the order, and no earlier copy can change the rank. */
  | {
    readonly kind: "done";
    /**
     * State that shows the result; undefined if the rank replied `accepted`.
     */
    readonly state: RankState | undefined;
    /** Number of times the order was sent. */
    readonly sendings: number;
  }
  /** The order can no longer take effect. */
  | {
    readonly kind: "impossible";
    readonly state: RankState;
    readonly reason: string;
  }
  /** The order may still take effect. */
  | { readonly kind: "unsettled"; readonly reason: string };

/** Returns whether the rank is armed for exactly this switch. */
export function isArmedFor(
  { armed }: RankState,
  { version, step }: ArmedSwitch,
): boolean {
  return armed?.version === version && armed.step === step;
}

/** Returns whether the rank is in the state that the order requests. */
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

/** Returns why an order can no longer take effect; undefined if it can. */
export function findObstacle(
  order: RankOrder,
  state: RankState,
): string | undefined {
  switch (order.kind) {
    case "prepare": {
      const hasHigherVersion = (state.preparedVersion ?? 0) > order.version ||
        state.mapVersion > order.version;
      if (hasHigherVersion) return "the rank has had a higher version";
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
