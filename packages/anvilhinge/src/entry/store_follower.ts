/**
 * Keeps a view of all keys below a prefix of the object API: lists, then
 * watches, and lists again with a randomized delay when the watch ends.
 */
import type * as random from "@anvilhinge/coordination/random";
import type * as objectStore from "../ports/object_store.ts";
import type * as scheduler from "../ports/scheduler.ts";

export interface FollowOptions {
  readonly store: objectStore.ObjectStore;
  readonly scheduler: scheduler.Scheduler;
  readonly random: random.RandomSource;
  readonly prefix: string;
  readonly signal: AbortSignal;
  /** Called for each object of a list and for each later change. */
  readonly onObject: (object: objectStore.StoredObject) => void;
  readonly onRemoved?: (key: string, version: number) => void;
  /** Called after each complete list, with the version that it is good for. */
  readonly onListed?: (version: number) => void;
  /** Called when the store could not be reached. */
  readonly onUnavailable?: (message: string) => void;
  /**
   * Shortest wait before the next list, in milliseconds; the wait doubles
   * with each failure up to 32 times this and is randomized.
   * @default 250
   */
  readonly retryDelayMs?: number;
}

const defaultRetryDelayMs = 250;
const maxDoublings = 5;

/** Follows the prefix until the signal aborts. */
export function followPrefix(options: FollowOptions): void {
  const retryDelayMs = options.retryDelayMs ?? defaultRetryDelayMs;
  const known = new Map<string, number>();
  let failures = 0;

  function applyObject(object: objectStore.StoredObject): void {
    if ((known.get(object.key) ?? 0) >= object.version) return;
    known.set(object.key, object.version);
    options.onObject(object);
  }

  function applyRemoval(key: string, version: number): void {
    if ((known.get(key) ?? version) > version) return;
    known.delete(key);
    options.onRemoved?.(key, version);
  }

  function applyList(
    objects: readonly objectStore.StoredObject[],
    version: number,
  ): void {
    const listed = new Set(objects.map((object) => object.key));
    for (const key of [...known.keys()]) {
      if (!listed.has(key)) applyRemoval(key, version);
    }
    for (const object of objects) applyObject(object);
    options.onListed?.(version);
  }

  function retryLater(message: string): void {
    if (options.signal.aborted) return;
    options.onUnavailable?.(message);
    const factor = 2 ** Math.min(failures, maxDoublings);
    failures += 1;
    const delayMs = retryDelayMs * factor * (0.5 + options.random());
    options.scheduler.schedule(() => void listAndWatch(), {
      delayMs,
      signal: options.signal,
    });
  }

  async function listAndWatch(): Promise<void> {
    const outcome = await options.store.list(options.prefix);
    if (options.signal.aborted) return;
    if (outcome.kind === "unavailable") {
      retryLater(outcome.message);
      return;
    }
    failures = 0;
    applyList(outcome.objects, outcome.version);
    startWatch(outcome.version);
  }

  function startWatch(sinceVersion: number): void {
    options.store.watch(options.prefix, {
      sinceVersion,
      signal: options.signal,
      onEvent(event) {
        switch (event.kind) {
          case "changed":
            applyObject(event.object);
            return;
          case "removed":
            applyRemoval(event.key, event.version);
            return;
          case "closed":
            retryLater(event.message);
            return;
        }
      },
    });
  }

  void listAndWatch();
}
