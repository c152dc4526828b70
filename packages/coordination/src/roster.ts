/**
 * Who is alive, among the members of one system that know each other only by a
 * few addresses to begin with. The member that has lived longest is the hub: the
 * others tell it of themselves, and it tells all of them who is there. Messages
 * grow with the number of members, not with its square. Nothing must be agreed:
 * two hubs for a while only cost messages, and the younger one yields as soon as
 * it hears of the older. Deterministic: messages and ticks in, messages out.
 *
 * The hub also spreads news, such as how old its view is. A message may have
 * waited anywhere, so it echoes the token of the member's last hello: what the
 * hub said was true after that hello was sent.
 */
import murmurhash from "murmurhash";
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

export type RosterMessage<Details, News = undefined> =
  /** A member tells of itself. */
  | {
    readonly kind: "hello";
    readonly from: MemberInfo<Details>;
    /** Hash of the members that it knows. */
    readonly hash: number;
    /** Returned by the hub with its news. */
    readonly token: number;
  }
  /** The members that the sender believes to be alive, besides itself. */
  | {
    readonly kind: "roster";
    readonly from: MemberInfo<Details>;
    /** Undefined when they are those of the receiver's last hello. */
    readonly members?: readonly RelayedMember<Details>[];
    /** Token of the receiver's last hello; undefined without one. */
    readonly echo?: number;
    readonly news?: News;
  };

/** A member as another one heard of it. */
export interface RelayedMember<Details> {
  readonly info: MemberInfo<Details>;
  /** Time since the member itself was heard, in milliseconds. */
  readonly heardAgoMs: number;
}

export interface RosterSend<Details, News = undefined> {
  readonly to: string;
  readonly message: RosterMessage<Details, News>;
}

/** News of the hub. */
export interface ReceivedHubStatus<News> {
  readonly news: News;
  /** Instant of the own clock after which the news were true. */
  readonly sampledAfterMs: number;
}

export interface RosterOptions<Details, News = undefined> {
  readonly clock: clock.Clock;
  readonly self: Omit<MemberInfo<Details>, "revision">;
  /** Addresses to begin with; the own one may be among them. */
  readonly seeds: readonly string[];
  /**
   * Silence after which a member counts as gone, in milliseconds.
   * @default 800
   */
  readonly memberTimeoutMs?: number;
  /** Returns what the hub tells all members. */
  readonly readHubStatus?: () => News;
  /** Called with news of the hub. */
  readonly onHubStatus?: (received: ReceivedHubStatus<News>) => void;
}

export interface Roster<Details, News = undefined> {
  /** Returns what must be sent now; to be called every `tickMs`. */
  tick(): readonly RosterSend<Details, News>[];
  handle(
    message: RosterMessage<Details, News>,
  ): readonly RosterSend<Details, News>[];
  /** Changes what this member says of itself; returns what must be sent now. */
  setDetails(details: Details): readonly RosterSend<Details, News>[];
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
/** Hellos whose instants are remembered. */
const rememberedTokens = 64;
/** Ticks between two hellos to a seed, which may lead to an older hub. */
const seedTicks = 5;

interface Known<Details> {
  readonly info: MemberInfo<Details>;
  readonly heardAtMs: number;
  /** Of its last hello; undefined while it sent none. */
  readonly hash?: number;
  readonly token?: number;
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
export function createRoster<Details, News = undefined>(
  options: RosterOptions<Details, News>,
): Roster<Details, News> {
  type Message = RosterMessage<Details, News>;
  type Sends = readonly RosterSend<Details, News>[];
  const { clock } = options;
  const silenceMs = options.memberTimeoutMs ?? defaultSilenceMs;
  const known = new Map<string, Known<Details>>();
  const seeds = new Set(options.seeds);
  let self: MemberInfo<Details> = { ...options.self, revision: 1 };
  /** When the hellos with the latest tokens were sent. */
  const sentAtMs = new Map<number, number>();
  let token = 0;
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

  function record(
    info: MemberInfo<Details>,
    heardAgoMs: number,
    hello: Pick<Known<Details>, "hash" | "token"> = {},
  ): void {
    if (info.id === self.id) return;
    const heardAtMs = clock.now() - heardAgoMs;
    const before = known.get(info.id);
    const isOlder = before !== undefined && compareNews(before.info, info) > 0;
    if (isOlder) return;
    const isSame = before !== undefined &&
      compareNews(before.info, info) === 0;
    known.set(info.id, {
      ...(before?.info.incarnation === info.incarnation ? before : {}),
      ...hello,
      info,
      heardAtMs: isSame ? Math.max(before.heardAtMs, heardAtMs) : heardAtMs,
    });
  }

  /** Hashes the members that are listed, however long ago they were heard. */
  function computeHash(): number {
    const names = listLive().map(({ id, incarnation, revision }) =>
      `${id}/${incarnation}/${revision}`
    )
      .sort();
    return murmurhash.v3(names.join(" "));
  }

  function createHello(): Message {
    token += 1;
    sentAtMs.set(token, clock.now());
    sentAtMs.delete(token - rememberedTokens);
    return { kind: "hello", from: self, hash: computeHash(), token };
  }

  function createRosterMessage(receiver: Known<Details> | undefined): Message {
    const nowMs = clock.now();
    const isKnown = receiver?.hash === computeHash();
    return {
      kind: "roster",
      from: self,
      echo: receiver?.token,
      news: options.readHubStatus?.(),
      members: isKnown ? undefined : listKnown().map(({ info, heardAtMs }) => ({
        info,
        heardAgoMs: Math.ceil(nowMs - heardAtMs),
      })),
    };
  }

  function sendRoster(): Sends {
    return listKnown().map((member) => ({
      to: member.info.address,
      message: createRosterMessage(member),
    }));
  }

  function sendToSeeds(): Sends {
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
  function publish(): Sends {
    const hub = getHub();
    return hub.id === self.id
      ? sendRoster()
      : [{ to: hub.address, message: createHello() }];
  }

  function handleHello(
    { from, hash, token: echoed }: Extract<Message, { readonly kind: "hello" }>,
  ): Sends {
    const before = known.get(from.id)?.info;
    const isNews = before === undefined || compareNews(before, from) < 0;
    record(from, 0, { hash, token: echoed });
    if (getHub().id === self.id) return isNews ? sendRoster() : [];
    // Whoever greets a member that is not the hub learns who is.
    const message = createRosterMessage(known.get(from.id));
    return [{ to: from.address, message }];
  }

  /** Takes the sender's word that the members are those that are known here. */
  function renewKnown(): void {
    const heardAtMs = clock.now() - silenceMs / 2;
    for (const [id, member] of known) {
      if (clock.now() - member.heardAtMs > silenceMs) continue;
      const latestMs = Math.max(member.heardAtMs, heardAtMs);
      known.set(id, { ...member, heardAtMs: latestMs });
    }
  }

  function handleRoster(
    message: Extract<Message, { readonly kind: "roster" }>,
  ): Sends {
    const hubBefore = getHub().id;
    record(message.from, 0);
    if (message.members === undefined) renewKnown();
    for (const { info, heardAgoMs } of message.members ?? []) {
      record(info, heardAgoMs);
    }
    const hub = getHub();
    const helloAtMs = sentAtMs.get(message.echo ?? 0);
    if (
      hub.id === message.from.id && helloAtMs !== undefined &&
      message.news !== undefined
    ) {
      options.onHubStatus?.({ news: message.news, sampledAfterMs: helloAtMs });
    }
    if (hub.id === hubBefore || hub.id === self.id) return [];
    return [{ to: hub.address, message: createHello() }];
  }

  return {
    tick() {
      ticks += 1;
      return [...publish(), ...sendToSeeds()];
    },
    handle: (message) =>
      message.kind === "hello" ? handleHello(message) : handleRoster(message),
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
