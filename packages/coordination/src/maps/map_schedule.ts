/**
 * Schedule of the maps that a rank uses: the base map up to a switch, the next
 * map from the step of the switch on. A step is one forward pass of the group. A
 * gate holds the rank before a step until the switch is decided.
 */
import type * as expertMap from "./expert_map.ts";

/** Map with its version, which rises by one with each decided switch. */
export interface VersionedMap {
  readonly version: number;
  readonly map: expertMap.ExpertMap;
}

/** Maps before and after the latest decided switch. */
export interface MapSchedule {
  readonly base: VersionedMap;
  readonly next?: VersionedMap & {
    /** First step that uses this map. */
    readonly fromStep: number;
  };
}

/** Schedule and hold that control the steps of a rank's engine. */
export interface StepGate {
  /** Undefined until a schedule is installed; then no step runs. */
  readonly schedule: MapSchedule | undefined;
  /** First step that does not run until the gate is released. */
  readonly holdStep: number | undefined;
}

export type HoldOutcome =
  | { readonly kind: "held"; readonly gate: StepGate }
  /** The rank has already run the step. */
  | { readonly kind: "missed" };

/** Gate of a newly started engine, which runs no step. */
export const closedGate: StepGate = {
  schedule: undefined,
  holdStep: undefined,
};

/** Returns the map that is in use after the latest decided switch. */
export function getLatestMap(schedule: MapSchedule): VersionedMap {
  return schedule.next ?? schedule.base;
}

/** Returns the map that a schedule assigns to a step. */
export function getMapAtStep(
  schedule: MapSchedule,
  step: number,
): VersionedMap {
  const { base, next } = schedule;
  return next !== undefined && step >= next.fromStep ? next : base;
}

/** Returns a gate with the schedule and without a hold. */
export function installSchedule(schedule: MapSchedule): StepGate {
  return { schedule, holdStep: undefined };
}

/** Holds the rank before `step` unless the rank has already run it. */
export function holdBeforeStep(
  gate: StepGate,
  { step, nextStep }: { readonly step: number; readonly nextStep: number },
): HoldOutcome {
  if (nextStep > step) return { kind: "missed" };
  return { kind: "held", gate: { ...gate, holdStep: step } };
}

/** Returns the map to use in `step`; undefined while the engine must wait. */
export function admitStep(
  gate: StepGate,
  step: number,
): VersionedMap | undefined {
  if (gate.schedule === undefined) return undefined;
  if (gate.holdStep !== undefined && step >= gate.holdStep) return undefined;
  return getMapAtStep(gate.schedule, step);
}
