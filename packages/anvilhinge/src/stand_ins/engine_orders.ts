/** Orders to one rank of the model engine, protected by fencing numbers. */
import * as zod from "zod";

const fencingNumber = zod.int().min(0);

const orderSchema = zod.discriminatedUnion("kind", [
  zod.object({
    kind: zod.literal("install_map"),
    fencingNumber,
    version: zod.int().min(0),
    /** Ranks that hold each expert, indexed by expert number. */
    holders: zod.array(zod.array(zod.int().min(0)).min(1)).min(1),
  }),
  zod.object({
    kind: zod.literal("load_model"),
    fencingNumber,
    model: zod.string(),
    version: zod.string(),
  }),
  zod.object({
    kind: zod.literal("set_role"),
    fencingNumber,
    role: zod.string(),
  }),
]);

export type Order = Readonly<zod.infer<typeof orderSchema>>;
export type MapOrder = Extract<Order, { readonly kind: "install_map" }>;

export type ParseOutcome =
  | { readonly kind: "parsed"; readonly order: Order }
  | { readonly kind: "invalid"; readonly message: string };

export type OrderOutcome =
  | { readonly kind: "done" }
  /** The rank has already seen a higher fencing number. */
  | { readonly kind: "fenced"; readonly highestFencingNumber: number }
  /** The order does not match the group's number of experts or ranks. */
  | { readonly kind: "invalid"; readonly message: string }
  | { readonly kind: "crashed" };

/** State of a rank as set by the orders that it applied. */
export interface OrderState {
  /** Highest fencing number seen; reset to 0 by a restart. */
  readonly highestFencingNumber: number;
  readonly role: string;
  /** Loaded version by model name. */
  readonly models: Readonly<Record<string, string>>;
  readonly map: MapOrder | undefined;
}

export const initialState: OrderState = {
  highestFencingNumber: 0,
  role: "serving",
  models: {},
  map: undefined,
};

export interface OrderResult {
  readonly outcome: OrderOutcome;
  readonly state: OrderState;
}

/** Validates the JSON value of an order. */
export function parseOrder(value: unknown): ParseOutcome {
  const result = orderSchema.safeParse(value);
  if (result.success) return { kind: "parsed", order: result.data };
  return { kind: "invalid", message: zod.prettifyError(result.error) };
}

export interface GroupSize {
  readonly expertCount: number;
  readonly rankCount: number;
}

/** Returns why a map does not match a group; undefined when it matches. */
export function checkMap(
  { holders }: MapOrder,
  { expertCount, rankCount }: GroupSize,
): string | undefined {
  if (holders.length !== expertCount) {
    return `Map has ${holders.length} experts; the group has ${expertCount}`;
  }
  const ranks = holders.flat();
  const unknownRank = ranks.find((rank) => rank >= rankCount);
  if (unknownRank === undefined) return undefined;
  return `Map names rank ${unknownRank}; the group has ${rankCount} ranks`;
}

/**
 * Applies an order. With `checksFencing`, an order with a fencing number below
 * the highest one seen is refused.
 */
export function applyOrder(
  state: OrderState,
  order: Order,
  { checksFencing }: { readonly checksFencing: boolean },
): OrderResult {
  const { highestFencingNumber } = state;
  if (checksFencing && order.fencingNumber < highestFencingNumber) {
    return { outcome: { kind: "fenced", highestFencingNumber }, state };
  }
  const newHighest = Math.max(highestFencingNumber, order.fencingNumber);
  const updatedState = { ...state, highestFencingNumber: newHighest };
  return { outcome: { kind: "done" }, state: applyChange(updatedState, order) };
}

function applyChange(state: OrderState, order: Order): OrderState {
  switch (order.kind) {
    case "install_map":
      return { ...state, map: order };
    case "load_model":
      return {
        ...state,
        models: { ...state.models, [order.model]: order.version },
      };
    case "set_role":
      return { ...state, role: order.role };
  }
}
