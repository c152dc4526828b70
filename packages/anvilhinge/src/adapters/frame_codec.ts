/** Converts attempts, frames and seal outcomes to and from wire format. */
import * as protobuf from "@bufbuild/protobuf";
import * as agentPb from "../gen/anvilhinge/v1/agent_pb.ts";
import type * as engine from "../ports/engine.ts";
import type * as frames from "../ports/frames.ts";

type HeaderPairs = readonly (readonly [name: string, value: string])[];

const reasonToWire: Readonly<
  Record<frames.RefusalReason, agentPb.RefusalReason>
> = {
  wrong_epoch: agentPb.RefusalReason.WRONG_EPOCH,
  leaving: agentPb.RefusalReason.LEAVING,
  not_yet_owned: agentPb.RefusalReason.NOT_YET_OWNED,
  stopping: agentPb.RefusalReason.STOPPING,
  sealed: agentPb.RefusalReason.SEALED,
  overloaded: agentPb.RefusalReason.OVERLOADED,
  wrong_incarnation: agentPb.RefusalReason.WRONG_INCARNATION,
  wrong_group: agentPb.RefusalReason.WRONG_GROUP,
  engine_unavailable: agentPb.RefusalReason.ENGINE_UNAVAILABLE,
  expired: agentPb.RefusalReason.EXPIRED,
};

const outcomeToWire: Readonly<Record<frames.SealOutcome, agentPb.SealOutcome>> =
  {
    sealed: agentPb.SealOutcome.SEALED,
    running: agentPb.SealOutcome.RUNNING,
    finished: agentPb.SealOutcome.FINISHED,
    unknown: agentPb.SealOutcome.UNKNOWN,
  };

function encodeHeaders(pairs: HeaderPairs): agentPb.Header[] {
  return pairs.map(([name, value]) =>
    protobuf.create(agentPb.HeaderSchema, { name, value })
  );
}

function decodeHeaders(headers: readonly agentPb.Header[]): HeaderPairs {
  return headers.map((header) => [header.name, header.value] as const);
}

function decodeLoad(load: agentPb.LoadReport | undefined): engine.EngineLoad {
  return {
    running: load?.running ?? 0,
    queued: load?.queued ?? 0,
    stepUs: load?.stepUs ?? 0,
  };
}

function encodeBody(body: frames.FrameBody): agentPb.Frame["body"] {
  const create = protobuf.create;
  switch (body.kind) {
    case "accepted":
      return {
        case: "accepted",
        value: create(agentPb.AcceptedSchema, {
          incarnation: body.incarnation,
          status: body.head.status,
          headers: encodeHeaders(body.head.headers),
        }),
      };
    case "chunk":
      return {
        case: "chunk",
        value: create(agentPb.ChunkSchema, { data: body.data }),
      };
    case "end":
      return {
        case: "end",
        value: create(agentPb.EndSchema, {
          frameCount: body.frameCount,
          load: create(agentPb.LoadReportSchema, body.load),
        }),
      };
    case "refused":
      return {
        case: "refused",
        value: create(agentPb.RefusedSchema, {
          reason: reasonToWire[body.reason],
          retryAfterMs: body.retryAfterMs,
          load: create(agentPb.LoadReportSchema, body.load),
        }),
      };
    case "failed":
      return {
        case: "failed",
        value: create(agentPb.FailedSchema, {
          message: body.message,
          load: create(agentPb.LoadReportSchema, body.load),
        }),
      };
    case "not_held":
      return { case: "notHeld", value: create(agentPb.NotHeldSchema, {}) };
  }
}

function decodeReason(reason: agentPb.RefusalReason): frames.RefusalReason {
  for (const [name, wire] of Object.entries(reasonToWire)) {
    if (wire === reason) return name as frames.RefusalReason;
  }
  // A reason that only newer agents send still means that the attempt did not
  // start; `wrong_epoch` stands for any such reason.
  return "wrong_epoch";
}

function decodeBody(
  body: agentPb.Frame["body"],
): frames.FrameBody | undefined {
  switch (body.case) {
    case "accepted":
      return {
        kind: "accepted",
        incarnation: body.value.incarnation,
        head: {
          status: body.value.status,
          headers: decodeHeaders(body.value.headers),
        },
      };
    case "chunk":
      return { kind: "chunk", data: body.value.data };
    case "end":
      return {
        kind: "end",
        frameCount: body.value.frameCount,
        load: decodeLoad(body.value.load),
      };
    case "refused":
      return {
        kind: "refused",
        reason: decodeReason(body.value.reason),
        retryAfterMs: body.value.retryAfterMs,
        load: decodeLoad(body.value.load),
      };
    case "failed":
      return {
        kind: "failed",
        message: body.value.message,
        load: decodeLoad(body.value.load),
      };
    case "notHeld":
      return { kind: "not_held" };
    case undefined:
      return undefined;
  }
}

/** Encodes a frame for the wire. */
export function encodeFrame(frame: frames.Frame): agentPb.Frame {
  return protobuf.create(agentPb.FrameSchema, {
    requestId: frame.requestId,
    attemptId: frame.attemptId,
    sequence: frame.sequence,
    body: encodeBody(frame.body),
  });
}

/** Decodes a frame; undefined if its body is of an unknown kind. */
export function decodeFrame(frame: agentPb.Frame): frames.Frame | undefined {
  const body = decodeBody(frame.body);
  if (body === undefined) return undefined;
  return {
    requestId: frame.requestId,
    attemptId: frame.attemptId,
    sequence: frame.sequence,
    body,
  };
}

/** Encodes an attempt as the request of a `Run` call. */
export function encodeAttempt(attempt: frames.Attempt): agentPb.RunRequest {
  const work = attempt.work;
  return protobuf.create(agentPb.RunRequestSchema, {
    requestId: attempt.requestId,
    attemptId: attempt.attemptId,
    workspace: attempt.workspace,
    half: attempt.half,
    epoch: attempt.epoch,
    group: attempt.group,
    rank: attempt.rank,
    priority: attempt.priority,
    deadlineMs: Math.round(attempt.deadlineMs),
    incarnation: attempt.incarnation,
    startByMs: attempt.startByMs,
    repeatable: attempt.isRepeatable,
    work: work.kind === "model"
      ? {
        case: "model",
        value: protobuf.create(agentPb.ModelWorkSchema, {
          model: work.model,
          body: work.body,
        }),
      }
      : {
        case: "service",
        value: protobuf.create(agentPb.ServiceWorkSchema, {
          service: work.service,
          method: work.method,
          path: work.path,
          headers: encodeHeaders(work.headers),
          body: work.body,
        }),
      },
  });
}

/** Decodes the request of a `Run` call; undefined if it contains no work. */
export function decodeAttempt(
  request: agentPb.RunRequest,
): frames.Attempt | undefined {
  const work = decodeWork(request.work);
  if (work === undefined) return undefined;
  return {
    requestId: request.requestId,
    attemptId: request.attemptId,
    workspace: request.workspace,
    half: request.half,
    epoch: request.epoch,
    group: request.group,
    rank: request.rank,
    priority: request.priority,
    deadlineMs: request.deadlineMs,
    incarnation: request.incarnation,
    startByMs: request.startByMs,
    isRepeatable: request.repeatable,
    work,
  };
}

function decodeWork(
  work: agentPb.RunRequest["work"],
): frames.Work | undefined {
  switch (work.case) {
    case "model":
      return {
        kind: "model",
        model: work.value.model,
        body: work.value.body,
      };
    case "service":
      return {
        kind: "service",
        service: work.value.service,
        method: work.value.method,
        path: work.value.path,
        headers: decodeHeaders(work.value.headers),
        body: work.value.body,
      };
    case undefined:
      return undefined;
  }
}

/** Encodes the outcome of a seal. */
export function encodeSealOutcome(
  outcome: frames.SealOutcome,
): agentPb.SealOutcome {
  return outcomeToWire[outcome];
}

/** Decodes the outcome of a seal; undefined if it is unknown. */
export function decodeSealOutcome(
  outcome: agentPb.SealOutcome,
): frames.SealOutcome | undefined {
  for (const [name, wire] of Object.entries(outcomeToWire)) {
    if (wire === outcome) return name as frames.SealOutcome;
  }
  return undefined;
}
