/** A value that readers see as it was some time ago. */
import type * as clock from "@anvilhinge/coordination/clock";

export interface LaggedValueOptions<Value> {
  readonly clock: clock.Clock;
  readonly lagMs: number;
  readonly initial: Value;
}

export interface LaggedValue<Value> {
  set(value: Value): void;
  /** Returns the value that was in force `lagMs` ago. */
  get(): Value;
  /** Returns the value in force. */
  getCurrent(): Value;
}

/** Creates a value that has been `initial` at all times before now. */
export function createLaggedValue<Value>(
  options: LaggedValueOptions<Value>,
): LaggedValue<Value> {
  let history = [{ atMs: -Infinity, value: options.initial }];

  function prune(): void {
    const limitMs = options.clock.now() - options.lagMs;
    const visible = history.findLastIndex((entry) => entry.atMs <= limitMs);
    if (visible > 0) history = history.slice(visible);
  }

  return {
    set(value) {
      history.push({ atMs: options.clock.now(), value });
      prune();
    },
    get() {
      prune();
      return history[0]!.value;
    },
    getCurrent: () => history[history.length - 1]!.value,
  };
}
