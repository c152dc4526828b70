/**
 * Who is alive, among the members of one system that know each other only by a
 * few addresses to begin with. The member that has lived longest is the hub: the
 * others tell it of themselves, and it tells all of them who is there. Messages
 * grow with the number of members, not with its square. Nothing must be agreed:
 * two hubs for a while only cost messages, and the younger one yields as soon as
 * it hears of the older. Deterministic: messages and ticks in, messages out.
 */
import type * as clock from "./clock.ts";

/** What a member says of itself. */
export interface MemberInfo<Details> {
  readonly id: string;
  /** Address for messages. */
  readonly address: string;
  /** Wall-clock instant of its start; the lowest is the hub. */
  readonly incarnation: number;
  /** Rises with each change of the details. */
  readonly revision: number;
  readonly details: Details;
}

export type RosterMessage<Details> =
  /** A member tells of itself. */
  | { readonly kind: "hello"; readonly from: MemberInfo<Details> }
  /** The members that the sender believes to be alive, itself included. */
  | {
    readonly kind: "roster";
    readonly from: MemberInfo<Details>;
    readonly members: readonly RelayedMember<Details>[];
  };

/** A member as another one heard of it. */
export interface RelayedMember<Details> {
  readonly info: MemberInfo<Details>;
  /** Time since the member itself was heard, in milliseconds. */
  readonly heardAgoMs: number;
}

export interface RosterSend<Details> {
  readonly to: string;
  readonly message: RosterMessage<Details>;
}

export interface RosterOptions<Details> {
  readonly clock: clock.Clock;
  readonly self: Omit<MemberInfo<Details>, "revision">;
  /** Addresses to begin with; the own one may be among them. */
  readonly seeds: readonly string[];
  /**
   * Silence after which a member counts as gone, in milliseconds.
   * @default 800
   */
  readonly silenceMs?: number;
}

export interface Roster<Details> {
  /** Returns what must be sent now; to be called every `tickMs`. */
  tick(): readonly RosterSend<Details>[];
  handle(
    message: RosterMessage<Details>,
  ): readonly RosterSend<Details>[];
  /** Changes what this member says of itself; returns what must be sent now. */
  setDetails(details: Details): readonly RosterSend<Details>[];
  /** Adds addresses at which members may be. */
  addSeeds(addresses: readonly string[]): void;
  /** Members that are believed to be alive, this one included. */
  listLive(): readonly MemberInfo<Details>[];
  /** The member that has lived longest of those that are alive. */
  getHub(): MemberInfo<Details>;
  isHub(): boolean;
}

/** Time between two ticks. */
export const tickMs = 200;

const defaultSilenceMs = 800;
/** Ticks between two hellos to a seed, which may lead to an older hub. */
const seedTicks = 5;

interface Known<Details> {
  readonly info: MemberInfo<Details>;
  readonly heardAtMs: number;
}

function compareAge<Details>(
  a: MemberInfo<Details>,
  b: MemberInfo<Details>,
): number {
  return a.incarnation - b.incarnation || (a.id < b.id ? -1 : 1);
}

/** Tells which of two records of one member is the newer; 0 = the same. */
function compareNews<Details>(
  a: MemberInfo<Details>,
  b: MemberInfo<Details>,
): number {
  return a.incarnation - b.incarnation || a.revision - b.revision;
}

/** Creates the roster of a member that knows nobody. */
export function createRoster<Details>(
  options: RosterOptions<Details>,
): Roster<Details> {
  const { clock } = options;
  const silenceMs = options.silenceMs ?? defaultSilenceMs;
  const known = new Map<string, Known<Details>>();
  const seeds = new Set(options.seeds);
  let self: MemberInfo<Details> = { ...options.self, revision: 1 };
  let ticks = 0;
  let nextSeed = 0;

  function listKnown(): readonly Known<Details>[] {
    const leastMs = clock.now() - silenceMs;
    return [...known.values()].filter(({ heardAtMs }) => heardAtMs >= leastMs);
  }

  function listLive(): readonly MemberInfo<Details>[] {
    return [self, ...listKnown().map(({ info }) => info)].sort(compareAge);
  }

  function getHub(): MemberInfo<Details> {
    return listLive()[0] ?? self;
  }

  function record(info: MemberInfo<Details>, heardAgoMs: number): void {
    if (info.id === self.id) return;
    const heardAtMs = clock.now() - heardAgoMs;
    const before = known.get(info.id);
    const isOlder = before !== undefined && compareNews(before.info, info) > 0;
    if (isOlder) return;
    const isSame = before !== undefined &&
      compareNews(before.info, info) === 0;
    known.set(info.id, {
      info,
      heardAtMs: isSame ? Math.max(before.heardAtMs, heardAtMs) : heardAtMs,
    });
  }

  function createHello(): RosterMessage<Details> {
    return { kind: "hello", from: self };
  }

  function createRosterMessage(): RosterMessage<Details> {
    const nowMs = clock.now();
    const members = listKnown().map(({ info, heardAtMs }) => ({
      info,
      heardAgoMs: Math.ceil(nowMs - heardAtMs),
    }));
    return { kind: "roster", from: self, members };
  }

  function sendRoster(): readonly RosterSend<Details>[] {
    const message = createRosterMessage();
    return listLive().filter(({ id }) => id !== self.id)
      .map(({ address }) => ({ to: address, message }));
  }

  function sendToSeeds(): readonly RosterSend<Details>[] {
    const others = [...seeds].filter((address) => address !== self.address);
    const isAlone = listLive().length === 1;
    if (isAlone) {
      return others.map((to) => ({ to, message: createHello() }));
    }
    if (others.length === 0 || ticks % seedTicks !== 0) return [];
    nextSeed = (nextSeed + 1) % others.length;
    return [{ to: others[nextSeed]!, message: createHello() }];
  }

  /** Tells those that must know of this member as it is now. */
  function publish(): readonly RosterSend<Details>[] {
    const hub = getHub();
    return hub.id === self.id
      ? sendRoster()
      : [{ to: hub.address, message: createHello() }];
  }

  function handleHello(
    from: MemberInfo<Details>,
  ): readonly RosterSend<Details>[] {
    const before = known.get(from.id)?.info;
    const isNews = before === undefined || compareNews(before, from) < 0;
    record(from, 0);
    if (getHub().id === self.id) return isNews ? sendRoster() : [];
    // Whoever greets a member that is not the hub learns who is.
    return [{ to: from.address, message: createRosterMessage() }];
  }

  function handleRoster(
    message: Extract<RosterMessage<Details>, { readonly kind: "roster" }>,
  ): readonly RosterSend<Details>[] {
    const hubBefore = getHub().id;
    record(message.from, 0);
    for (const { info, heardAgoMs } of message.members) {
      record(info, heardAgoMs);
    }
    const hub = getHub();
    if (hub.id === hubBefore || hub.id === self.id) return [];
    return [{ to: hub.address, message: createHello() }];
  }

  return {
    tick() {
      ticks += 1;
      return [...publish(), ...sendToSeeds()];
    },
    handle: (message) =>
      message.kind === "hello"
        ? handleHello(message.from)
        : handleRoster(message),
    setDetails(details) {
      self = { ...self, details, revision: self.revision + 1 };
      return publish();
    },
    addSeeds(addresses) {
      for (const address of addresses) seeds.add(address);
    },
    listLive,
    getHub,
    isHub: () => getHub().id === self.id,
  };
}
