import fc from "fast-check";
import * as clock from "./clock.ts";
import * as limits from "./limits.ts";
import * as random from "./random.ts";
import * as shareAllocator from "./share_allocator.ts";
import * as shareClient from "./share_client.ts";

const leaseOptions: shareAllocator.ShareLeaseOptions = {
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
  readonly concurrency: shareClient.ShareClient;
  readonly limiter: limits.Limiter;
  readonly demand: number;
  isAlive: boolean;
  isDisconnected: boolean;
}

interface Message {
  readonly atMs: number;
  readonly deliver: () => void;
}

type Action =
  | { readonly kind: "join"; readonly demand: number }
  | {
    readonly kind: "crash" | "disconnect" | "reconnect" | "wait";
    readonly entry: number;
  }
  | { readonly kind: "replace_allocator"; readonly downtimeMs: number };

/** Simulates entries, successive allocators, and a network that loses, delays,
 * duplicates and reorders messages. */
function createCluster(seed: number) {
  const manual = clock.createManualClock();
  const nextRandom = random.createRandomSource(seed);
  const entries: Entry[] = [];
  const running: { endAtMs: number; entry: Entry }[] = [];
  let messages: Message[] = [];
  let term = 0;
  let allocators:
    | readonly [
      shareAllocator.ShareAllocator,
      shareAllocator.ShareAllocator,
    ]
    | undefined;
  let allocatorStartMs = 0;
  let admitted = 0;
  let lowestExcess = 0;
  let permitted = 0;

  function createAllocators() {
    term += 1;
    const allocatorOptions = {
      ...leaseOptions,
      clock: manual,
      marginMs,
      term,
      hasPredecessor: term > 1,
    };
    return [
      shareAllocator.createShareAllocator(allocatorOptions),
      shareAllocator.createShareAllocator({
        ...allocatorOptions,
        drainMs: longestRequestMs,
      }),
    ] as const;
  }

  function send(deliver: () => void): void {
    const copies = nextRandom() < 0.1 ? 2 : nextRandom() < 0.15 ? 0 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const delayMs = nextRandom() < 0.1
        ? nextRandom() * 6_000
        : nextRandom() * 300;
      messages.push({ atMs: manual.now() + delayMs, deliver });
    }
  }

  function join(demand: number): void {
    const options = {
      ...leaseOptions,
      clock: manual,
      entryId: `e${entries.length}`,
    };
    const rates = shareClient.createShareClient(options);
    const concurrency = shareClient.createShareClient(options);
    const limiter = limits.createLimiter({
      clock: manual,
      limits: limit,
      readShares: () => ({
        rates: rates.getShare(),
        concurrency: concurrency.getShare(),
      }),
    });
    entries.push({
      id: options.entryId,
      rates,
      concurrency,
      limiter,
      demand,
      isAlive: true,
      isDisconnected: false,
    });
  }

  function sendShareRequests(entry: Entry): void {
    const inUse = entry.limiter.countInFlight() / limit.concurrency;
    const use = { demand: entry.demand, inUse };
    const requests = [
      entry.rates.createRequest({ ...use, inUse: 0 }),
      entry.concurrency.createRequest(use),
    ] as const;
    if (entry.isDisconnected) return;
    const clients = [entry.rates, entry.concurrency] as const;
    for (const index of [0, 1] as const) {
      send(() => {
        const grant = allocators?.[index].answer(requests[index]);
        if (grant === undefined || entry.isDisconnected) return;
        send(() => {
          if (!entry.isAlive || entry.isDisconnected) return;
          entry.limiter.update();
          clients[index].receive(grant);
        });
      });
    }
  }

  function admitAll(entry: Entry): void {
    for (let request = 0; request < entry.demand * 20; request += 1) {
      if (entry.limiter.admit().kind === "refused") return;
      admitted += 1;
      const endAtMs = manual.now() + nextRandom() * longestRequestMs;
      running.push({ endAtMs, entry });
    }
  }

  function advance(): void {
    manual.advance(stepMs);
    if (allocators === undefined && manual.now() >= allocatorStartMs) {
      allocators = createAllocators();
    }
    const dueMessages = messages.filter((message) =>
      message.atMs <= manual.now()
    );
    messages = messages.filter((message) => message.atMs > manual.now());
    for (const message of dueMessages) message.deliver();
    for (let index = running.length - 1; index >= 0; index -= 1) {
      const request = running[index]!;
      if (request.endAtMs > manual.now()) continue;
      request.entry.limiter.release();
      running.splice(index, 1);
    }
    for (const entry of entries) {
      if (!entry.isAlive) continue;
      if (nextRandom() < 0.15) sendShareRequests(entry);
      admitAll(entry);
    }
    permitted += limit.requestsPerSecond * stepMs / 1_000;
    lowestExcess = Math.min(lowestExcess, admitted - permitted);
  }

  return {
    entries,
    join,
    step: advance,
    apply(action: Action): void {
      if (action.kind === "join") return join(action.demand);
      if (action.kind === "replace_allocator") {
        allocators = undefined;
        allocatorStartMs = manual.now() + action.downtimeMs;
        return;
      }
      const entry = entries[action.entry % Math.max(1, entries.length)];
      if (entry === undefined) return;
      if (action.kind === "crash") entry.isAlive = false;
      if (action.kind === "disconnect") entry.isDisconnected = true;
      if (action.kind === "reconnect") entry.isDisconnected = false;
    },
    sumShares: (kind: "rates" | "concurrency") =>
      entries.filter((entry) => entry.isAlive)
        .reduce((sum, entry) => sum + entry[kind].getShare(), 0),
    countRunning: () => running.length,
    /** Maximum excess over the limit in any window that ends now. */
    measureExcess: () => admitted - permitted - lowestExcess,
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
      expect(cluster.sumShares("concurrency")).toBeLessThanOrEqual(1 + 1e-9);
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
    demand: fc.double({ min: 0, max: 2, noNaN: true }),
  }),
  fc.record({
    kind: fc.constantFrom("crash" as const, "disconnect", "reconnect", "wait"),
    entry: entryIndex,
  }),
  fc.record({
    kind: fc.constant("replace_allocator" as const),
    downtimeMs: fc.integer({ min: 0, max: 5_000 }),
  }),
);

test("all entries together never exceed the limit despite crashes, lost messages and new allocators", () => {
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

test("shares follow demand and use the entire limit", () => {
  const { cluster } = run(3, [
    { kind: "join", demand: 0 },
    { kind: "crash", entry: 0 },
    ...Array.from({ length: 12 }, (): Action => ({ kind: "wait", entry: 0 })),
  ]);
  const shares = cluster.entries.filter((entry) => entry.isAlive)
    .map((entry) => entry.rates.getShare());
  const [busyShare = 0, otherBusyShare = 0, idleShare = 1] = shares;
  expect(busyShare).toBeGreaterThan(0.4);
  expect(otherBusyShare).toBeGreaterThan(0.4);
  expect(idleShare).toBeLessThan(0.1);
  expect(cluster.sumShares("rates")).toBeGreaterThan(0.9);
});

test("a disconnected entry falls back to its fixed share, then to no share", () => {
  const wait: Action = { kind: "wait", entry: 0 };
  const { cluster } = run(4, [wait, wait, wait, wait]);
  const [first] = cluster.entries;
  cluster.apply({ kind: "disconnect", entry: 0 });
  for (let step = 0; step < 100; step += 1) cluster.step();
  expect(first!.rates.getShare()).toBeCloseTo(leaseOptions.fixedShare);
  for (let step = 0; step < 200; step += 1) cluster.step();
  expect(first!.rates.getShare()).toBe(0);
  expect(first!.limiter.admit()).toMatchObject({ kind: "refused" });
});

test("a new allocator renews shares at once and redistributes them after one lease", () => {
  const manual = clock.createManualClock(5_000);
  const allocator = shareAllocator.createShareAllocator({
    ...leaseOptions,
    clock: manual,
    term: 2,
    marginMs,
  });
  const request = {
    entryId: "e1",
    sequence: 9,
    adopted: { term: 1, sequence: 8 },
    held: 0.6,
    demand: 1,
    inUse: 0,
  };
  expect(allocator.answer(request)?.share).toBe(0.6);
  expect(allocator.answer({ ...request, entryId: "e2", held: 0 })?.share).toBe(
    0,
  );
  expect(allocator.answer(request)).toBeUndefined();
  manual.advance(leaseOptions.leaseMs + marginMs);
  const later = {
    ...request,
    sequence: 10,
    adopted: { term: 2, sequence: 9 },
  };
  expect(allocator.answer(later)?.share).toBeGreaterThan(0.6);
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

  test("refuses at once with the time until a request can be admitted", () => {
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

  test("limits requests in flight", () => {
    const { limiter } = createLimiter({ rates: 1, concurrency: 0.05 });
    limiter.admit();
    limiter.admit();
    expect(limiter.admit()).toMatchObject({ limit: "concurrency" });
    limiter.release();
    expect(limiter.admit().kind).toBe("admitted");
  });

  test("refuses requests until a token debt is repaid", () => {
    const { limiter, manual } = createLimiter({ rates: 1, concurrency: 1 });
    limiter.admit();
    limiter.recordTokens(12_000);
    expect(limiter.admit()).toMatchObject({ limit: "tokensPerSecond" });
    manual.advance(1_990);
    expect(limiter.admit()).toMatchObject({ limit: "tokensPerSecond" });
    manual.advance(20);
    expect(limiter.admit().kind).toBe("admitted");
  });

  test("admits nothing without a share", () => {
    const { limiter, manual } = createLimiter({ rates: 0, concurrency: 0 });
    manual.advance(60_000);
    expect(limiter.admit().kind).toBe("refused");
  });
});
