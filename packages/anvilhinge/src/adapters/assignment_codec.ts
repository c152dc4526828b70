/** Converts assignments from and to their wire and stored formats. */
import type * as assignment from "@anvilhinge/coordination/assignment";
import type * as handover from "@anvilhinge/coordination/handover";
import * as protobuf from "@bufbuild/protobuf";
import * as zod from "zod";
import * as entryPb from "../gen/anvilhinge/v1/entry_pb.ts";

const assignmentSchema = zod.object({
  group: zod.string().min(1),
  half: zod.string().min(1),
  epoch: zod.int().positive(),
  state: zod.enum(["serving", "leaving"]),
  nextHalf: zod.string().min(1).optional(),
});

const recordSchema = assignmentSchema.extend({
  changeIds: zod.array(zod.string()).readonly().default([]),
});

/** Key prefix of assignments in the object store. */
export const assignmentPrefix = "assignments/";

/** Parses the value of a stored assignment; undefined if it is invalid. */
export function parseAssignment(
  value: unknown,
): assignment.Assignment | undefined {
  const result = assignmentSchema.safeParse(value);
  return result.success ? result.data : undefined;
}

/** Formats the object key of a group's assignment. */
export function formatKey(group: string): string {
  return `${assignmentPrefix}${group}`;
}

/** Like `parseAssignment`, with the ids of the changes that set the value. */
export function parseRecord(
  value: unknown,
): handover.AssignmentRecord | undefined {
  const result = recordSchema.safeParse(value);
  return result.success ? result.data : undefined;
}

/** Encodes an assignment for the wire. */
export function encodeAssignment(
  value: assignment.Assignment,
): entryPb.GroupAssignment {
  return protobuf.create(entryPb.GroupAssignmentSchema, {
    group: value.group,
    half: value.half,
    epoch: value.epoch,
    state: value.state === "serving"
      ? entryPb.AssignmentState.SERVING
      : entryPb.AssignmentState.LEAVING,
    nextHalf: value.nextHalf ?? "",
  });
}

/** Decodes an assignment; undefined if its state is unknown. */
export function decodeAssignment(
  wire: entryPb.GroupAssignment,
): assignment.Assignment | undefined {
  const { group, half, epoch, nextHalf } = wire;
  switch (wire.state) {
    case entryPb.AssignmentState.SERVING:
      return { group, half, epoch, state: "serving" };
    case entryPb.AssignmentState.LEAVING:
      return { group, half, epoch, state: "leaving", nextHalf };
    case entryPb.AssignmentState.UNSPECIFIED:
      return undefined;
  }
}
