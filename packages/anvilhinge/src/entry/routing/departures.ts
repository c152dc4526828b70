/**
 * Remembers which incarnations of upstreams have left. A store that returns from
 * a copy may list them again as serving.
 */
import type * as clock from "@anvilhinge/coordination/clock";

export interface Departures {
  /** Records that an incarnation was removed from the list of upstreams. */
  record(key: string, startedAtMs: number | undefined): void;
  has(key: string, startedAtMs: number | undefined): boolean;
}

interface Departure {
  readonly startedAtMs: number | undefined;
  readonly atMs: number;
}

/** Time for which a departure is kept; a copy is at most seconds old. */
const departureTtlMs = 60_000;

/** Creates an empty record of departures. */
export function createDepartures(
  { clock }: { readonly clock: clock.Clock },
): Departures {
  // Insertion order is the order of the departures.
  const departures = new Map<string, Departure>();

  function removeOutdated(): void {
    const oldestMs = clock.now() - departureTtlMs;
    for (const [key, { atMs }] of departures) {
      if (atMs >= oldestMs) return;
      departures.delete(key);
    }
  }

  return {
    record(key, startedAtMs) {
      departures.delete(key);
      departures.set(key, { startedAtMs, atMs: clock.now() });
      removeOutdated();
    },
    has(key, startedAtMs) {
      removeOutdated();
      const departure = departures.get(key);
      return departure !== undefined && departure.startedAtMs === startedAtMs;
    },
  };
}
