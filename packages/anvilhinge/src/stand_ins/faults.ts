/** Faults that a test can switch on in a stand-in. */
import * as zod from "zod";

const faultSchema = zod.discriminatedUnion("kind", [
  zod.object({ kind: zod.literal("none") }),
  /** Each call is refused before any effect. */
  zod.object({ kind: zod.literal("down") }),
  /** Each call takes effect and is answered after a delay. */
  zod.object({ kind: zod.literal("slow"), delayMs: zod.number().min(0) }),
  /** The call takes effect; its answer does not arrive. */
  zod.object({ kind: zod.literal("answer_lost") }),
  /** The caller sees a failure now; the effect happens after a delay. */
  zod.object({ kind: zod.literal("late"), delayMs: zod.number().min(0) }),
  /** The call is executed twice; the first answer is delivered. */
  zod.object({ kind: zod.literal("duplicated") }),
  /** Calls are neither executed nor answered. */
  zod.object({ kind: zod.literal("stall") }),
  /** Connections break and calls fail without any effect. */
  zod.object({ kind: zod.literal("crash") }),
]);

const orderSchema = zod.object({
  fault: faultSchema,
  callCount: zod.int().positive().optional(),
});

/** One way in which a stand-in misbehaves. */
export type Fault = Readonly<zod.infer<typeof faultSchema>>;

export interface FaultOptions {
  /**
   * Number of calls that the fault lasts for.
   * @default Infinity
   */
  readonly callCount?: number;
}

/** The fault in force in one stand-in. */
export interface FaultSwitch {
  set(fault: Fault, options?: FaultOptions): void;
  /** Returns the fault in force. */
  get(): Fault;
  /** Returns the fault for one call and counts the call. */
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

/** Creates a switch without a fault. */
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
      const taken = current;
      remainingCalls -= 1;
      if (remainingCalls <= 0) setCurrent(noFault, Infinity);
      return taken;
    },
    subscribe(listener, signal) {
      if (signal?.aborted) return;
      listeners.add(listener);
      const remove = () => listeners.delete(listener);
      signal?.addEventListener("abort", remove, { once: true });
    },
  };
}

/** Checks a fault that arrived as JSON: `{"fault": {...}, "callCount": n}`. */
export function parseFault(value: unknown): ParseOutcome {
  const result = orderSchema.safeParse(value);
  if (result.success) return { kind: "parsed", ...result.data };
  return { kind: "invalid", message: zod.prettifyError(result.error) };
}
