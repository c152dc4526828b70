/**
 * Step time of each group: the duration of a forward pass. All ranks of a group
 * run in lock-step, so one slow rank affects the reports of every rank. Without
 * new reports, a step time decays to the mean of all groups, so that a group
 * which was avoided as slow is used again.
 */
import type * as clock from "./clock.ts";
import * as loadEstimate from "./load_estimate.ts";

export interface StepTimes {
  /** Records a reported step time in microseconds; ignores 0. */
  record(group: string, stepUs: number): void;
  /** Returns the step time in microseconds; the mean if none is known. */
  read(group: string): number;
  remove(group: string): void;
}

export interface StepTimesOptions {
  readonly clock: clock.Clock;
  /**
   * Time without a report after which half of the difference to the mean
   * remains, in milliseconds.
   * @default 10000
   */
  readonly halfLifeMs?: number;
}

interface Step {
  readonly stepUs: number;
  readonly atMs: number;
}

const defaultHalfLifeMs = 10_000;
/** Weight of a new report in the step time of its group. */
const newestWeight = 0.3;
/** Weight of a new report in the mean of all groups. */
const meanWeight = 0.02;
/** Step time of all groups before the first report. */
const unknownStepUs = 1;

/** Creates an empty table; initially all groups have an equal step time. */
export function createStepTimes(options: StepTimesOptions): StepTimes {
  const halfLifeMs = options.halfLifeMs ?? defaultHalfLifeMs;
  const steps = new Map<string, Step>();
  let meanUs = 0;

  function read(group: string): number {
    const step = steps.get(group);
    if (step === undefined) return meanUs || unknownStepUs;
    const ageMs = options.clock.now() - step.atMs;
    const decay = loadEstimate.computeDecay(ageMs, halfLifeMs);
    return meanUs + (step.stepUs - meanUs) * decay;
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
