/**
 * Step time of each group. All ranks of a group advance in lock-step, so one
 * slow rank shows in the reports of every rank. An old step time fades into the
 * mean of all groups, so that a group that was avoided is tried again.
 */
import type * as clock from "./clock.ts";
import * as loadEstimate from "./load_estimate.ts";

export interface StepTimes {
  /** Takes a reported step time in microseconds; 0 is ignored. */
  record(group: string, stepUs: number): void;
  /** Returns the step time in microseconds; the mean when none is known. */
  read(group: string): number;
  remove(group: string): void;
}

export interface StepTimesOptions {
  readonly clock: clock.Clock;
  /**
   * After this time without a report half of the difference to the mean is
   * believed, in milliseconds.
   * @default 10000
   */
  readonly halfLifeMs?: number;
}

interface Step {
  readonly stepUs: number;
  readonly atMs: number;
}

const defaultHalfLifeMs = 10_000;
const newestWeight = 0.3;
const meanWeight = 0.02;
const unknownStepUs = 1;

/** Creates an empty table; every group has the same step time at first. */
export function createStepTimes(options: StepTimesOptions): StepTimes {
  const halfLifeMs = options.halfLifeMs ?? defaultHalfLifeMs;
  const steps = new Map<string, Step>();
  let meanUs = 0;

  function read(group: string): number {
    const step = steps.get(group);
    if (step === undefined) return meanUs || unknownStepUs;
    const ageMs = options.clock.now() - step.atMs;
    const trust = loadEstimate.computeDecay(ageMs, halfLifeMs);
    return meanUs + (step.stepUs - meanUs) * trust;
  }

  return {
    record(group, stepUs) {
      if (stepUs <= 0) return;
      const previousUs = steps.has(group) ? read(group) : stepUs;
      steps.set(group, {
        stepUs: previousUs + newestWeight * (stepUs - previousUs),
        atMs: options.clock.now(),
      });
      meanUs = meanUs === 0 ? stepUs : meanUs + meanWeight * (stepUs - meanUs);
    },
    read,
    remove(group) {
      steps.delete(group);
    },
  };
}
