/**
 * Deterministic state machine for one conditional write whose answer may be
 * lost. Each value carries a change id, by which an accepted write is
 * recognised when it is read back. While the key still has the version of the
 * condition, the value is written again on that condition: at most one of the
 * writes can take effect, and none can after the version has changed. This
 * machine is for writes that are still wanted; `ambiguous_write.ts` determines
 * afterwards whether a write that is not repeated took effect.
 */
import type * as versionedStore from "./versioned_store.ts";

/** Final outcome of a conditional write. */
export type SettledOutcome =
  | { readonly kind: "accepted"; readonly version: number }
  /** The value was not written and never will be. */
  | {
    readonly kind: "conflict";
    readonly current?: versionedStore.StoredObject;
  }
  /** The value was not written: the store was unreachable or refused it. */
  | versionedStore.Unavailable
  /** The write may have taken effect; check later by the change id. */
  | { readonly kind: "unknown"; readonly message: string };

export type WriteEvent =
  | { readonly kind: "start" }
  | { readonly kind: "written"; readonly outcome: versionedStore.WriteOutcome }
  | { readonly kind: "read"; readonly outcome: versionedStore.ReadOutcome }
  | { readonly kind: "waited" };

export type WriteEffect =
  | { readonly kind: "write" }
  | { readonly kind: "read" }
  /** Deliver `waited` after the delay. */
  | { readonly kind: "wait"; readonly delayMs: number }
  | { readonly kind: "settled"; readonly outcome: SettledOutcome };

export interface ConditionalWrite {
  handle(event: WriteEvent): WriteEffect;
}

export interface ConditionalWriteOptions {
  /** Version that the key must have. */
  readonly ifVersion: number;
  /** Returns whether a value is the written value or was derived from it. */
  readonly isOwn: (value: unknown) => boolean;
  /**
   * Number of failed reads after which the outcome is reported as unknown.
   * @default 5
   */
  readonly maxReads?: number;
  /** @default 200 */
  readonly retryDelayMs?: number;
}

const defaultMaxReads = 5;
const defaultRetryDelayMs = 200;

/** Creates the state machine of one write. */
export function createConditionalWrite(
  options: ConditionalWriteOptions,
): ConditionalWrite {
  const maxReads = options.maxReads ?? defaultMaxReads;
  const delayMs = options.retryDelayMs ?? defaultRetryDelayMs;
  let isAmbiguous = false;
  let failedReads = 0;

  function settle(outcome: SettledOutcome): WriteEffect {
    return { kind: "settled", outcome };
  }

  function settleByObject(
    current: versionedStore.StoredObject | undefined,
  ): WriteEffect {
    if (current !== undefined && options.isOwn(current.value)) {
      return settle({ kind: "accepted", version: current.version });
    }
    return settle({ kind: "conflict", current });
  }

  function retryRead(message: string): WriteEffect {
    failedReads += 1;
    if (failedReads >= maxReads) return settle({ kind: "unknown", message });
    return { kind: "wait", delayMs };
  }

  function handleWritten(outcome: versionedStore.WriteOutcome): WriteEffect {
    switch (outcome.kind) {
      case "accepted":
        return settle(outcome);
      case "conflict":
        return { kind: "read" };
      case "unknown":
        isAmbiguous = true;
        return { kind: "read" };
      case "unavailable":
        return isAmbiguous ? retryRead(outcome.message) : settle(outcome);
    }
  }

  function handleRead(outcome: versionedStore.ReadOutcome): WriteEffect {
    if (outcome.kind === "unavailable") return retryRead(outcome.message);
    const current = outcome.kind === "found" ? outcome.object : undefined;
    const isUnchanged = (current?.version ?? 0) === options.ifVersion;
    return isUnchanged ? { kind: "write" } : settleByObject(current);
  }

  return {
    handle(event) {
      switch (event.kind) {
        case "start":
          return { kind: "write" };
        case "written":
          return handleWritten(event.outcome);
        case "read":
          return handleRead(event.outcome);
        case "waited":
          return { kind: "read" };
      }
    },
  };
}

export interface WriteUntilSettledOptions extends ConditionalWriteOptions {
  readonly key: string;
  readonly value: unknown;
  readonly store: versionedStore.VersionedStore;
  readonly schedule: versionedStore.Schedule;
}

/** Writes the value and resolves to the final outcome. */
export async function writeUntilSettled(
  options: WriteUntilSettledOptions,
): Promise<SettledOutcome> {
  const { store, key, ifVersion } = options;
  const machine = createConditionalWrite(options);
  let effect = machine.handle({ kind: "start" });
  for (;;) {
    switch (effect.kind) {
      case "write": {
        const outcome = await store.write(key, options.value, { ifVersion });
        effect = machine.handle({ kind: "written", outcome });
        break;
      }
      case "read":
        effect = machine.handle({
          kind: "read",
          outcome: await store.read(key),
        });
        break;
      case "wait": {
        const { delayMs } = effect;
        await new Promise<void>((resolve) =>
          options.schedule(resolve, { delayMs })
        );
        effect = machine.handle({ kind: "waited" });
        break;
      }
      case "settled":
        return effect.outcome;
    }
  }
}
