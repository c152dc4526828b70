/**
 * Which upstreams a node uses: rendezvous hashing within failure domains, the
 * own domain first, then by distance. Nodes of one domain spread over all of
 * its members, and a member that leaves moves only the places that it held.
 */
import * as rendezvous from "./rendezvous.ts";

/** Where a node or an upstream runs. */
export interface Location {
  readonly failureDomain: string;
  readonly region: string;
}

export interface LocatedMember extends rendezvous.Member, Location {}

/** Returns how far apart two locations are; 0 is the same failure domain. */
export type MeasureDistance = (from: Location, to: Location) => number;

export interface OrderOptions {
  /** Id of the node that orders the members. */
  readonly nodeId: string;
  readonly location: Location;
  /** @default measureByRegion */
  readonly measureDistance?: MeasureDistance;
}

/** Distance 0 within a failure domain, 1 within a region, 2 beyond it. */
export function measureByRegion(from: Location, to: Location): number {
  if (from.region !== to.region) return 2;
  return from.failureDomain === to.failureDomain ? 0 : 1;
}

/** Orders members by distance, then by rendezvous score; a prefix of the
 * result is the node's subset. */
export function orderMembers<T extends LocatedMember>(
  members: readonly T[],
  options: OrderOptions,
): readonly T[] {
  const measureDistance = options.measureDistance ?? measureByRegion;
  const scored = members.map((member) => ({
    member,
    distance: measureDistance(options.location, member),
    score: rendezvous.scoreMember(options.nodeId, member),
  }));
  scored.sort((a, b) =>
    a.distance - b.distance || b.score - a.score ||
    (a.member.id < b.member.id ? -1 : 1)
  );
  return scored.map((entry) => entry.member);
}
