/**
 * Coordination parts for clusters that keep what must last in one object API:
 * deterministic state machines without sockets, clocks or random sources of
 * their own.
 */
export * as assignment from "./assignment.ts";
export * as clock from "./clock.ts";
export * as maps from "./maps/mod.ts";
export * as random from "./random.ts";
export * as rendezvous from "./rendezvous.ts";
