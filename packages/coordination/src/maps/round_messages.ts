/**
 * Messages of a switch round that is decided by a record in the object API (the
 * external object store), unlike the rounds of `switch_round.ts`, which need
 * only the ranks. A step is one forward pass of the group. A leader claims an
 * epoch with a conditional write, settles all ranks on the recorded schedule,
 * has them stage the new map and hold before one step, records the switch with a
 * second conditional write, and only then sends the commit to the ranks.
 */
import type * as mapSchedule from "./map_schedule.ts";

/** Value of `maps/<group>` in the object API. */
export interface MapRecord {
  /** Rises by one with each claim; fences all rounds of lower epochs. */
  readonly epoch: number;
  /** Id of the leader that claimed the epoch. */
  readonly leader: string;
  readonly schedule: mapSchedule.MapSchedule;
}

/** From a leader to a rank. */
export type LeaderMessage =
  /** Request a report. */
  | { readonly kind: "ask" }
  /** Adopt the schedule that was recorded when the epoch was claimed. */
  | {
    readonly kind: "settle";
    readonly epoch: number;
    readonly schedule: mapSchedule.MapSchedule;
  }
  /** Load the experts of the next map. */
  | {
    readonly kind: "stage";
    readonly epoch: number;
    readonly next: mapSchedule.VersionedMap;
  }
  /** Promise not to run `step` without a decision. */
  | { readonly kind: "prepare"; readonly epoch: number; readonly step: number }
  /** Apply the switch of this epoch, which is recorded. */
  | { readonly kind: "commit"; readonly epoch: number }
  /** Drop the switch of this epoch: it is not recorded and never will be. */
  | { readonly kind: "abort"; readonly epoch: number };

/** Progress of a rank in its epoch. */
export type RankPhase =
  /** Lost its state in a restart and takes part in no round. */
  | "recovering"
  | "settled"
  | "staging"
  | "staged"
  /** Has asked its engine to hold before the step. */
  | "holding"
  /** The engine holds before the step: the rank has made its promise. */
  | "prepared"
  | "committed"
  /** Cannot take part in this epoch's switch. */
  | "refused"
  | "aborted";

/** From a rank to the leader that sent it a message. */
export interface RankReport {
  readonly rank: number;
  readonly phase: RankPhase;
  /**
   * Epoch of the phase. While recovering: the recorded epoch that the rank has
   * read, or undefined before it has read the record.
   */
  readonly epoch: number | undefined;
  /** True after the engine has confirmed the schedule of this phase. */
  readonly isInstalled: boolean;
  /** The step that the engine runs next. */
  readonly nextStep: number;
}
