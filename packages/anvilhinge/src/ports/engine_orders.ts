/** Orders to an engine, as the agent beside it gives them. */
import type * as fencing from "@anvilhinge/coordination/fencing";

/** What an engine can be ordered to do. */
export type EngineOrder =
  | {
    readonly kind: "install_map";
    readonly version: number;
    /** Ranks by expert number. */
    readonly holders: readonly (readonly number[])[];
  }
  | {
    readonly kind: "load_model";
    readonly model: string;
    readonly version: string;
  }
  | { readonly kind: "set_role"; readonly role: string };

/** What an engine has in force; its form is the engine's own. */
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
