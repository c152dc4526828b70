import fc from "fast-check";
import * as clock from "./clock.ts";
import * as limits from "./limits.ts";
import * as random from "./random.ts";
import * as shareAllocator from "./share_allocator.ts";
import * as shareClient from "./share_client.ts";

const terms: shareAllocator.ShareLeaseOptions = {
  leaseMs: 2_000,
  fixedLeaseMs: 10_000,
  fixedShare: 0.04,
  maxEntries: 8,
};
const limit: limits.Limits = {
  requestsPerSecond: 200,
  tokensPerSecond: 4_000,
  concurrency: 40,
};
const marginMs = 200;
const longestRequestMs = 3_000;
const stepMs = 50;

interface Entry {
  readonly id: string;
  readonly rates: shareClient.ShareClient;
  readonly places: shareClient.ShareClient;
  readonly limiter: limits.Limiter;
  readonly appetite: number;
  isAlive: boolean;
  isCut: boolean;
}

interface Message {
  readonly atMs: number;
  readonly deliver: () => void;
}

type Action =
  | { readonly kind: "join"; readonly appetite: number }
  | {
    readonly kind: "kill" | "cut" | "heal" | "wait";
    readonly entry: number;
  }
  | { readonly kind: "replace_holder"; readonly silentMs: number };

/** Entries, holders one after another, and a network that loses, delays,
 * doubles and reorders. */
function createCluster(seed: number) {
  const manual = clock.createManualClock();
  const source = random.createRandomSource(seed);
  const entries: Entry[] = [];
  const running: { endAtMs: number; entry: Entry }[] = [];
  let messages: Message[] = [];
  let term = 0;
  let holders:
    | readonly [
      shareAllocator.ShareAllocator,
      shareAllocator.ShareAllocator,
    ]
    | undefined;
  let holderFromMs = 0;
  let admitted = 0;
  let lowestExcess = 0;
  let refilled = 0;

  function createHolders() {
    term += 1;
    const common = {
      ...terms,
      clock: manual,
      marginMs,
      term,
      hasPredecessor: term > 1,
    };
    return [
      shareAllocator.createShareAllocator(common),
      shareAllocator.createShareAllocator({
        ...common,
        drainMs: longestRequestMs,
      }),
    ] as const;
  }

  function send(deliver: () => void): void {
    const copies = source() < 0.1 ? 2 : source() < 0.15 ? 0 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const delayMs = source() < 0.1 ? source() * 6_000 : source() * 300;
      messages.push({ atMs: manual.now() + delayMs, deliver });
    }
  }

  function join(appetite: number): void {
    const options = { ...terms, clock: manual, entryId: `e${entries.length}` };
    const rates = shareClient.createShareClient(options);
    const places = shareClient.createShareClient(options);
    const limiter = limits.createLimiter({
      clock: manual,
      limits: limit,
      readShares: () => ({
        rates: rates.getShare(),
        concurrency: places.getShare(),
      }),
    });
    entries.push({
      id: options.entryId,
      rates,
      places,
      limiter,
      appetite,
      isAlive: true,
      isCut: false,
    });
  }

  function sendAsks(entry: Entry): void {
    const inUse = entry.limiter.countInFlight() / limit.concurrency;
    const use = { demand: entry.appetite, inUse };
    const asks = [
      entry.rates.createRequest({ ...use, inUse: 0 }),
      entry.places.createRequest(use),
    ] as const;
    if (entry.isCut) return;
    const takers = [entry.rates, entry.places] as const;
    for (const index of [0, 1] as const) {
      send(() => {
        const grant = holders?.[index].answer(asks[index]);
        if (grant === undefined || entry.isCut) return;
        send(() => {
          if (!entry.isAlive || entry.isCut) return;
          entry.limiter.update();
          takers[index].receive(grant);
        });
      });
    }
  }

  function admitAll(entry: Entry): void {
    for (let request = 0; request < entry.appetite * 20; request += 1) {
      if (entry.limiter.admit().kind === "refused") return;
      admitted += 1;
      const endAtMs = manual.now() + source() * longestRequestMs;
      running.push({ endAtMs, entry });
    }
  }

  function advance(): void {
    manual.advance(stepMs);
    if (holders === undefined && manual.now() >= holderFromMs) {
      holders = createHolders();
    }
    const due = messages.filter((message) => message.atMs <= manual.now());
    messages = messages.filter((message) => message.atMs > manual.now());
    for (const message of due) message.deliver();
    for (let index = running.length - 1; index >= 0; index -= 1) {
      const request = running[index]!;
      if (request.endAtMs > manual.now()) continue;
      request.entry.limiter.release();
      running.splice(index, 1);
    }
    for (const entry of entries) {
      if (!entry.isAlive) continue;
      if (source() < 0.15) sendAsks(entry);
      admitAll(entry);
    }
    refilled += limit.requestsPerSecond * stepMs / 1_000;
    lowestExcess = Math.min(lowestExcess, admitted - refilled);
  }

  return {
    entries,
    join,
    step: advance,
    apply(action: Action): void {
      if (action.kind === "join") return join(action.appetite);
      if (action.kind === "replace_holder") {
        holders = undefined;
        holderFromMs = manual.now() + action.silentMs;
        return;
      }
      const entry = entries[action.entry % Math.max(1, entries.length)];
      if (entry === undefined) return;
      if (action.kind === "kill") entry.isAlive = false;
      if (action.kind === "cut") entry.isCut = true;
      if (action.kind === "heal") entry.isCut = false;
    },
    sumShares: (kind: "rates" | "places") =>
      entries.filter((entry) => entry.isAlive)
        .reduce((sum, entry) => sum + entry[kind].getShare(), 0),
    countRunning: () => running.length,
    /** Most requests over the limit in any window up to now. */
    measureExcess: () => admitted - refilled - lowestExcess,
  };
}

function run(seed: number, actions: readonly Action[]) {
  const cluster = createCluster(seed);
  let largestExcess = 0;
  let mostRunning = 0;
  for (let entry = 0; entry < 3; entry += 1) cluster.join(1);
  for (const action of actions) {
    cluster.apply(action);
    for (let step = 0; step < 30; step += 1) {
      cluster.step();
      expect(cluster.sumShares("rates")).toBeLessThanOrEqual(1 + 1e-9);
      expect(cluster.sumShares("places")).toBeLessThanOrEqual(1 + 1e-9);
      largestExcess = Math.max(largestExcess, cluster.measureExcess());
      mostRunning = Math.max(mostRunning, cluster.countRunning());
    }
  }
  return { cluster, largestExcess, mostRunning };
}

const entryIndex = fc.integer({ min: 0, max: 9 });
const action: fc.Arbitrary<Action> = fc.oneof(
  fc.record({
    kind: fc.constant("join" as const),
    appetite: fc.double({ min: 0, max: 2, noNaN: true }),
  }),
  fc.record({
    kind: fc.constantFrom("kill" as const, "cut", "heal", "wait"),
    entry: entryIndex,
  }),
  fc.record({
    kind: fc.constant("replace_holder" as const),
    silentMs: fc.integer({ min: 0, max: 5_000 }),
  }),
);

test("entries together never pass the limit, whatever fails", () => {
  fc.assert(
    fc.property(
      fc.integer(),
      fc.array(action, { minLength: 5, maxLength: 40 }),
      (seed, actions) => {
        const { cluster, largestExcess, mostRunning } = run(seed, actions);
        const burst = limit.requestsPerSecond;
        expect(largestExcess)
          .toBeLessThanOrEqual(burst + cluster.entries.length + 1e-6);
        expect(mostRunning).toBeLessThanOrEqual(limit.concurrency);
      },
    ),
    { seed: 20, numRuns: 60 },
  );
});

test("shares follow demand and use the whole limit", () => {
  const { cluster } = run(3, [
    { kind: "join", appetite: 0 },
    { kind: "kill", entry: 0 },
    ...Array.from({ length: 12 }, (): Action => ({ kind: "wait", entry: 0 })),
  ]);
  const shares = cluster.entries.filter((entry) => entry.isAlive)
    .map((entry) => entry.rates.getShare());
  const [busy = 0, other = 0, idle = 1] = shares;
  expect(busy).toBeGreaterThan(0.4);
  expect(other).toBeGreaterThan(0.4);
  expect(idle).toBeLessThan(0.1);
  expect(cluster.sumShares("rates")).toBeGreaterThan(0.9);
});

test("an entry that is cut off falls back to its fixed share, then to none", () => {
  const wait: Action = { kind: "wait", entry: 0 };
  const { cluster } = run(4, [wait, wait, wait, wait]);
  const [first] = cluster.entries;
  cluster.apply({ kind: "cut", entry: 0 });
  for (let step = 0; step < 100; step += 1) cluster.step();
  expect(first!.rates.getShare()).toBeCloseTo(terms.fixedShare);
  for (let step = 0; step < 200; step += 1) cluster.step();
  expect(first!.rates.getShare()).toBe(0);
  expect(first!.limiter.admit()).toMatchObject({ kind: "refused" });
});

test("a new holder renews shares at once and redistributes after a lease", () => {
  const manual = clock.createManualClock(5_000);
  const holder = shareAllocator.createShareAllocator({
    ...terms,
    clock: manual,
    term: 2,
    marginMs,
  });
  const ask = {
    entryId: "e1",
    sequence: 9,
    adopted: { term: 1, sequence: 8 },
    held: 0.6,
    demand: 1,
    inUse: 0,
  };
  expect(holder.answer(ask)?.share).toBe(0.6);
  expect(holder.answer({ ...ask, entryId: "e2", held: 0 })?.share).toBe(0);
  expect(holder.answer(ask)).toBeUndefined();
  manual.advance(terms.leaseMs + marginMs);
  const later = {
    ...ask,
    sequence: 10,
    adopted: { term: 2, sequence: 9 },
  };
  expect(holder.answer(later)?.share).toBeGreaterThan(0.6);
});

describe("a limiter", () => {
  function createLimiter(shares: limits.Shares, initialFill = 1) {
    const manual = clock.createManualClock();
    const limiter = limits.createLimiter({
      clock: manual,
      limits: limit,
      readShares: () => shares,
      initialFill,
    });
    return { limiter, manual };
  }

  test("refuses at once and says when a request has room", () => {
    const { limiter, manual } = createLimiter({ rates: 0.05, concurrency: 1 });
    for (let request = 0; request < 10; request += 1) {
      expect(limiter.admit().kind).toBe("admitted");
    }
    expect(limiter.admit()).toEqual({
      kind: "refused",
      limit: "requestsPerSecond",
      retryAfterMs: 100,
    });
    manual.advance(100);
    expect(limiter.admit().kind).toBe("admitted");
  });

  test("counts requests in progress", () => {
    const { limiter } = createLimiter({ rates: 1, concurrency: 0.05 });
    limiter.admit();
    limiter.admit();
    expect(limiter.admit()).toMatchObject({ limit: "concurrency" });
    limiter.release();
    expect(limiter.admit().kind).toBe("admitted");
  });

  test("tokens over the limit are paid before the next request", () => {
    const { limiter, manual } = createLimiter({ rates: 1, concurrency: 1 });
    limiter.admit();
    limiter.recordTokens(12_000);
    expect(limiter.admit()).toMatchObject({ limit: "tokensPerSecond" });
    manual.advance(1_990);
    expect(limiter.admit()).toMatchObject({ limit: "tokensPerSecond" });
    manual.advance(20);
    expect(limiter.admit().kind).toBe("admitted");
  });

  test("without a share admits nothing", () => {
    const { limiter, manual } = createLimiter({ rates: 0, concurrency: 0 });
    manual.advance(60_000);
    expect(limiter.admit().kind).toBe("refused");
  });
});
