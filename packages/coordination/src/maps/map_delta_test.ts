import fastCheck from "fast-check";
import * as mapDelta from "./map_delta.ts";

const layerCount = 3;
const rankCount = 4;

const mapArbitrary = fastCheck.array(
  fastCheck.array(fastCheck.array(fastCheck.nat(5), { maxLength: 3 }), {
    minLength: rankCount,
    maxLength: rankCount,
  }),
  { minLength: layerCount, maxLength: layerCount },
);

test("a difference leads from the base to the next map", () => {
  const property = fastCheck.property(
    mapArbitrary,
    mapArbitrary,
    (base, next) => {
      const delta = mapDelta.computeDelta(base, next);
      expect(mapDelta.applyDelta(base, delta)).toEqual(next);
    },
  );
  fastCheck.assert(property);
});

test("only changed rows are part of a difference", () => {
  const base = [[[1, 2], [3]], [[4], [5]]];
  const next = [[[1, 2], [3, 1]], [[4], []]];
  expect(mapDelta.computeDelta(base, base)).toEqual([]);
  expect(mapDelta.computeDelta(base, next)).toEqual([
    { layer: 0, rank: 1, experts: [3, 1] },
    { layer: 1, rank: 1, experts: [] },
  ]);
});

test("a difference to a map of another size is not applied", () => {
  const change = { layer: 0, rank: 2, experts: [1] };
  expect(mapDelta.applyDelta([[[1], [2]]], [change])).toBeUndefined();
});
