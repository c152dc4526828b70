/**
 * Selection of the upstreams that a node uses: by distance, starting with the
 * node's own failure domain, and by rendezvous hashing at equal distance. Nodes
 * of one domain spread over all of its members. If a member leaves, only the
 * nodes that used it replace it.
 */
import * as rendezvous from "./rendezvous.ts";

/** Location of a node or an upstream. */
export interface Location {
  readonly failureDomain: string;
  readonly region: string;
}

export interface LocatedMember extends rendezvous.Member, Location {}

/** Returns the distance of two locations; 0 within a failure domain. */
export type MeasureDistance = (from: Location, to: Location) => number;

export interface OrderOptions {
  /** Id of the node that orders the members. */
  readonly nodeId: string;
  readonly location: Location;
  /** @default measureByRegion */
  readonly measureDistance?: MeasureDistance;
}

/** Returns 0 within a failure domain, 1 within a region, 2 across regions. */
export function measureByRegion(from: Location, to: Location): number {
  if (from.region !== to.region) return 2;
  return from.failureDomain === to.failureDomain ? 0 : 1;
}

/** Orders members by distance, then by rendezvous score. The node's subset
 * consists of the first members. */
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
