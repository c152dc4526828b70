/**
 * Which map a rank uses in which step: one map until a step, the next one from
 * that step on, and a step that the rank must not pass yet.
 */
import type * as expertMap from "./expert_map.ts";

/** A map under its version; versions rise by one with every decided switch. */
export interface VersionedMap {
  readonly version: number;
  readonly map: expertMap.ExpertMap;
}

/** Maps in force before and after the latest decided switch. */
export interface MapSchedule {
  readonly base: VersionedMap;
  readonly next?: VersionedMap & {
    /** First step that uses this map. */
    readonly fromStep: number;
  };
}

/** What a rank's engine obeys. */
export interface StepGate {
  /** Undefined until a schedule is installed; then no step runs. */
  readonly schedule: MapSchedule | undefined;
  /** First step that must not run until the gate is released. */
  readonly holdStep: number | undefined;
}

export type HoldOutcome =
  | { readonly kind: "held"; readonly gate: StepGate }
  /** The rank has passed that step. */
  | { readonly kind: "missed" };

/** Gate of an engine that has just started. */
export const closedGate: StepGate = {
  schedule: undefined,
  holdStep: undefined,
};

/** Returns the map that is in force after every decided switch. */
export function getLatestMap(schedule: MapSchedule): VersionedMap {
  return schedule.next ?? schedule.base;
}

/** Returns the map of one step. */
export function getMapAtStep(
  schedule: MapSchedule,
  step: number,
): VersionedMap {
  const { base, next } = schedule;
  return next !== undefined && step >= next.fromStep ? next : base;
}

/** Replaces the schedule and releases the held step. */
export function installSchedule(schedule: MapSchedule): StepGate {
  return { schedule, holdStep: undefined };
}

/** Holds the rank before `step` unless it has passed it. */
export function holdBeforeStep(
  gate: StepGate,
  { step, nextStep }: { readonly step: number; readonly nextStep: number },
): HoldOutcome {
  if (nextStep > step) return { kind: "missed" };
  return { kind: "held", gate: { ...gate, holdStep: step } };
}

/** Returns the map that the engine uses in `step`; undefined when it waits. */
export function admitStep(
  gate: StepGate,
  step: number,
): VersionedMap | undefined {
  if (gate.schedule === undefined) return undefined;
  if (gate.holdStep !== undefined && step >= gate.holdStep) return undefined;
  return getMapAtStep(gate.schedule, step);
}
