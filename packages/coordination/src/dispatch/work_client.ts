/**
 * The entry's side of the hub: what it asks for, what it runs, and what it
 * decides itself while no hub answers. Without a hub an entry uses an equal
 * share of the places, so that all entries together don't exceed them.
 */
import type * as clock from "../clock.ts";
import type * as random from "../random.ts";
import type * as work from "./work.ts";

export interface WorkClientOptions {
  readonly clock: clock.Clock;
  readonly random: random.RandomSource;
  readonly entryId: string;
  readonly failureDomain: string;
  /** Entries that share the places, this one included. */
  readonly countEntries: () => number;
  /**
   * Time after which a hub that has not answered is done without, in
   * milliseconds; three round trips and the time to send again.
   * @default 80
   */
  readonly hubTimeoutMs?: number;
  /**
   * Longest wait for a place, in milliseconds.
   * @default 1500
   */
  readonly maxWaitMs?: number;
}

/** What a request asks for; times are left, not instants. */
export type SlotRequest = Omit<work.WaitingRequest, "ageMs">;

export type WorkEvent =
  | {
    readonly kind: "granted";
    readonly key: string;
    readonly upstreamId: string;
    readonly by: "hub" | "share";
  }
  | {
    readonly kind: "denied";
    readonly key: string;
    readonly retryAfterMs: number;
    readonly by: "hub" | "share";
  };

export interface WorkClient {
  setUpstreams(places: readonly work.UpstreamSpec[]): void;
  /** Asks for a place; an event follows unless the request is dropped. */
  requestSlot(asked: SlotRequest): void;
  /** Notes that a request occupies a place. */
  recordStart(running: work.RunningRequest): void;
  /** Records a pause between two events of a stream. */
  recordPause(pool: string, pauseMs: number): void;
  /** Drops a request, whether it waits or runs. */
  drop(key: string): void;
  /** Builds the state for the hub; each call raises its sequence number. */
  buildState(): work.WorkState;
  /** Takes the hub's answer. */
  receive(decisions: work.Decisions): readonly WorkEvent[];
  /** Decides what no hub has answered in time. */
  tick(): readonly WorkEvent[];
  hasWaiting(): boolean;
}

interface Waiting {
  readonly asked: SlotRequest;
  readonly askedAtMs: number;
  /** First state that told the hub of it; undefined before. */
  firstSequence: number | undefined;
  isKnownToHub: boolean;
}

const defaultHubPatienceMs = 80;
const defaultMaxWaitMs = 1_500;
const shareRetryMs = 300;
/** Pauses of which the median counts. */
const minPauses = 3;

/** Creates the side of one entry. */
export function createWorkClient(options: WorkClientOptions): WorkClient {
  const { clock } = options;
  const hubPatienceMs = options.hubTimeoutMs ?? defaultHubPatienceMs;
  const maxWaitMs = options.maxWaitMs ?? defaultMaxWaitMs;
  const waiting = new Map<string, Waiting>();
  const running = new Map<string, work.RunningRequest>();
  /** Pauses of streams since the last state, by pool. */
  const pauses = new Map<string, number[]>();
  let places: readonly work.UpstreamSpec[] = [];
  let sequence = 0;
  let answeredAtMs = -Infinity;

  function countRunning(pool: string): number {
    const ids = new Set(
      places.filter((place) => place.pool === pool).map(({ id }) => id),
    );
    return [...running.values()]
      .filter(({ upstreamId }) => ids.has(upstreamId)).length;
  }

  /** Places of a pool that this entry may take without a hub. */
  function computeShare(pool: string): number {
    const slots = places.filter((place) => place.pool === pool)
      .reduce((sum, place) => sum + place.slots, 0);
    return Math.max(1, Math.floor(slots / Math.max(1, options.countEntries())));
  }

  /** The upstream at which this entry has least work. */
  function choosePlace(asked: SlotRequest): work.UpstreamSpec | undefined {
    const usable = places.filter((place) =>
      place.pool === asked.pool && !asked.avoided.includes(place.id)
    );
    let best: work.UpstreamSpec | undefined;
    let bestLoad = Infinity;
    for (const place of usable) {
      const own = [...running.values()]
        .filter(({ upstreamId }) => upstreamId === place.id).length;
      const load = own + options.random();
      if (load >= bestLoad) continue;
      best = place;
      bestLoad = load;
    }
    return best;
  }

  function takeShare(
    key: string,
    { asked }: Waiting,
  ): WorkEvent | undefined {
    if (countRunning(asked.pool) >= computeShare(asked.pool)) return undefined;
    const place = choosePlace(asked);
    if (place === undefined) return undefined;
    waiting.delete(key);
    const { workspace, promptTokens } = asked;
    const upstreamId = place.id;
    // It counts from now on: others of the same tick must see it.
    running.set(key, { key, upstreamId, workspace, promptTokens });
    return { kind: "granted", key, upstreamId, by: "share" };
  }

  function decideAlone(
    key: string,
    found: Waiting,
  ): WorkEvent | undefined {
    const nowMs = clock.now();
    const waitedMs = nowMs - found.askedAtMs;
    const isHubSilent = nowMs - answeredAtMs >= hubPatienceMs;
    const isAlone = isHubSilent || !found.isKnownToHub;
    if (isAlone && waitedMs >= hubPatienceMs) {
      const event = takeShare(key, found);
      if (event !== undefined) return event;
    }
    if (waitedMs < Math.min(maxWaitMs, found.asked.leftMs)) return undefined;
    waiting.delete(key);
    const retryAfterMs = Math.round(shareRetryMs * (1 + options.random()));
    return { kind: "denied", key, retryAfterMs, by: "share" };
  }

  /** Returns the median of each pool that has enough pauses, and forgets them. */
  function takePasses(): readonly work.PassTime[] {
    const passes: work.PassTime[] = [];
    for (const [pool, found] of pauses) {
      if (found.length < minPauses) continue;
      found.sort((a, b) => a - b);
      passes.push({ pool, passMs: found[Math.floor(found.length / 2)]! });
      pauses.delete(pool);
    }
    return passes;
  }

  return {
    setUpstreams(next) {
      places = next;
    },
    requestSlot(asked) {
      waiting.set(asked.key, {
        asked,
        askedAtMs: clock.now(),
        firstSequence: undefined,
        isKnownToHub: false,
      });
    },
    recordStart(work) {
      waiting.delete(work.key);
      running.set(work.key, work);
    },
    recordPause(pool, pauseMs) {
      const known = pauses.get(pool) ?? [];
      known.push(pauseMs);
      pauses.set(pool, known);
    },
    drop(key) {
      waiting.delete(key);
      running.delete(key);
    },
    buildState() {
      sequence += 1;
      const nowMs = clock.now();
      for (const found of waiting.values()) found.firstSequence ??= sequence;
      return {
        entryId: options.entryId,
        failureDomain: options.failureDomain,
        sequence,
        running: [...running.values()],
        passes: takePasses(),
        waiting: [...waiting.values()].map(({ asked, askedAtMs }) => {
          const ageMs = Math.round(nowMs - askedAtMs);
          return {
            ...asked,
            ageMs,
            aimLeftMs: asked.aimLeftMs - ageMs,
            leftMs: asked.leftMs - ageMs,
          };
        }),
      };
    },
    receive(decisions) {
      const events: WorkEvent[] = [];
      answeredAtMs = clock.now();
      for (const found of waiting.values()) {
        const { firstSequence = Infinity } = found;
        if (firstSequence <= decisions.sequence) found.isKnownToHub = true;
      }
      for (const { key, upstreamId } of decisions.grants) {
        if (!waiting.delete(key)) continue;
        events.push({ kind: "granted", key, upstreamId, by: "hub" });
      }
      for (const { key, retryAfterMs } of decisions.denials) {
        if (!waiting.delete(key)) continue;
        events.push({ kind: "denied", key, retryAfterMs, by: "hub" });
      }
      return events;
    },
    tick: () =>
      [...waiting].flatMap(([key, found]) => decideAlone(key, found) ?? []),
    hasWaiting: () => waiting.size > 0,
  };
}
