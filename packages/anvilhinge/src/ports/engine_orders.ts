/** Orders from an agent to its local engine. */
import type * as fencing from "@anvilhinge/coordination/fencing";

/** Change to an engine's configuration. */
export type EngineOrder =
  | {
    readonly kind: "install_map";
    readonly version: number;
    /** Ranks that hold each expert, indexed by expert number. */
    readonly holders: readonly (readonly number[])[];
  }
  | {
    readonly kind: "load_model";
    readonly model: string;
    readonly version: string;
  }
  | { readonly kind: "set_role"; readonly role: string };

/** Current configuration of an engine, in an engine-specific format. */
export interface EngineState {
  readonly json: string;
}

export interface EngineOrders {
  execute(
    order: EngineOrder,
    fencingNumber: number,
  ): Promise<fencing.ExecutionOutcome>;
  /** Resolves to undefined when the engine does not answer. */
  readState(): Promise<EngineState | undefined>;
}
