/** Faults that a test can inject into a stand-in. */
import * as zod from "zod";

const faultSchema = zod.discriminatedUnion("kind", [
  zod.object({ kind: zod.literal("none") }),
  /** Each call is refused before it takes effect. */
  zod.object({ kind: zod.literal("down") }),
  /** Each call is executed and answered after a delay. */
  zod.object({ kind: zod.literal("slow"), delayMs: zod.number().min(0) }),
  /** Each call is executed; its answer does not arrive. */
  zod.object({ kind: zod.literal("answer_lost") }),
  /** Each call fails for the caller at once and is executed after a delay. */
  zod.object({ kind: zod.literal("late"), delayMs: zod.number().min(0) }),
  /** Each call is executed twice; the first answer is delivered. */
  zod.object({ kind: zod.literal("duplicated") }),
  /** Calls are neither executed nor answered. */
  zod.object({ kind: zod.literal("stall") }),
  /** Connections break; calls fail and are not executed. */
  zod.object({ kind: zod.literal("crash") }),
]);

const requestSchema = zod.object({
  fault: faultSchema,
  callCount: zod.int().positive().optional(),
});

/** A failure mode of a stand-in. */
export type Fault = Readonly<zod.infer<typeof faultSchema>>;

export interface FaultOptions {
  /**
   * Number of calls after which the fault ends.
   * @default Infinity
   */
  readonly callCount?: number;
}

/** Holds the active fault of one stand-in. */
export interface FaultSwitch {
  set(fault: Fault, options?: FaultOptions): void;
  /** Returns the active fault. */
  get(): Fault;
  /** Returns the fault that applies to one call, and counts the call. */
  take(): Fault;
  /** Calls `listener` after each change until `signal` is aborted. */
  subscribe(listener: (fault: Fault) => void, signal?: AbortSignal): void;
}

export type ParseOutcome =
  | {
    readonly kind: "parsed";
    readonly fault: Fault;
    readonly callCount?: number;
  }
  | { readonly kind: "invalid"; readonly message: string };

const noFault: Fault = { kind: "none" };

/** Creates a switch with no active fault. */
export function createFaultSwitch(): FaultSwitch {
  const listeners = new Set<(fault: Fault) => void>();
  let current: Fault = noFault;
  let remainingCalls = Infinity;

  function setCurrent(fault: Fault, callCount: number): void {
    current = fault;
    remainingCalls = callCount;
    for (const listener of [...listeners]) listener(fault);
  }

  return {
    set: (fault, options = {}) =>
      setCurrent(fault, options.callCount ?? Infinity),
    get: () => current,
    take() {
      const callFault = current;
      remainingCalls -= 1;
      if (remainingCalls <= 0) setCurrent(noFault, Infinity);
      return callFault;
    },
    subscribe(listener, signal) {
      if (signal?.aborted) return;
      listeners.add(listener);
      const remove = () => listeners.delete(listener);
      signal?.addEventListener("abort", remove, { once: true });
    },
  };
}

/** Validates a fault sent as JSON: `{"fault": {...}, "callCount": n}`. */
export function parseFault(value: unknown): ParseOutcome {
  const result = requestSchema.safeParse(value);
  if (result.success) return { kind: "parsed", ...result.data };
  return { kind: "invalid", message: zod.prettifyError(result.error) };
}
