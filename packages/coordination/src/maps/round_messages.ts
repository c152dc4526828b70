/**
 * Messages of a map round and the record that decides it. A leader claims an
 * epoch by a conditional write, settles all ranks on the recorded schedule,
 * lets them stage the new map, makes them hold before one step, records the
 * switch by a second conditional write and only then tells the ranks.
 */
import type * as mapSchedule from "./map_schedule.ts";

/** Value of `maps/<group>` in the object API. */
export interface MapRecord {
  /** Rises by one with every claim; fences all rounds of lower epochs. */
  readonly epoch: number;
  /** Who claimed the epoch. */
  readonly leader: string;
  readonly schedule: mapSchedule.MapSchedule;
}

/** From a leader to a rank. */
export type LeaderMessage =
  | { readonly kind: "ask" }
  /** The schedule that was recorded when the epoch was claimed. */
  | {
    readonly kind: "settle";
    readonly epoch: number;
    readonly schedule: mapSchedule.MapSchedule;
  }
  | {
    readonly kind: "stage";
    readonly epoch: number;
    readonly next: mapSchedule.VersionedMap;
  }
  /** Asks for the promise not to pass `step` without a decision. */
  | { readonly kind: "prepare"; readonly epoch: number; readonly step: number }
  /** The switch of this epoch is recorded. */
  | { readonly kind: "commit"; readonly epoch: number }
  /** The switch of this epoch was not and will not be recorded. */
  | { readonly kind: "abort"; readonly epoch: number };

/** How far a rank has come in its epoch. */
export type RankPhase =
  /** Has no state since a restart and takes part in no round. */
  | "recovering"
  | "settled"
  | "staging"
  | "staged"
  | "holding"
  | "prepared"
  | "committed"
  /** Cannot take part in this epoch's switch. */
  | "refused"
  | "aborted";

/** From a rank to whoever sent it a message. */
export interface RankReport {
  readonly rank: number;
  readonly phase: RankPhase;
  /**
   * Epoch of the phase; while recovering, the recorded epoch that the rank has
   * read, or undefined before it could read the record.
   */
  readonly epoch: number | undefined;
  /** True when the engine has confirmed the schedule of this phase. */
  readonly isInstalled: boolean;
  /** The step that the engine runs next. */
  readonly nextStep: number;
}
