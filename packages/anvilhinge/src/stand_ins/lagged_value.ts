/** A value that readers see with a constant lag. */
import type * as clock from "@anvilhinge/coordination/clock";

export interface LaggedValueOptions<Value> {
  readonly clock: clock.Clock;
  readonly lagMs: number;
  readonly initial: Value;
}

export interface LaggedValue<Value> {
  set(value: Value): void;
  /** Returns the value as of `lagMs` ago. */
  get(): Value;
  /** Returns the latest value, without the lag. */
  getCurrent(): Value;
}

/** Creates a value that is `initial` at all times before the first `set`. */
export function createLaggedValue<Value>(
  options: LaggedValueOptions<Value>,
): LaggedValue<Value> {
  let history = [{ atMs: -Infinity, value: options.initial }];

  function prune(): void {
    const visibleUntilMs = options.clock.now() - options.lagMs;
    const visibleIndex = history.findLastIndex((entry) =>
      entry.atMs <= visibleUntilMs
    );
    if (visibleIndex > 0) history = history.slice(visibleIndex);
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
