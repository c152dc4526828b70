/** HTTP API for callers: chat completions, models, services and addresses. */
import * as net from "node:net";
import Router from "@koa/router";
import type Koa from "koa";
import type * as objects from "../../settings/objects.ts";
import * as addresses from "../choice/addresses.ts";
import * as answerWriter from "./answer_writer.ts";
import * as callIdentity from "../session/call_identity.ts";
import type * as context from "../context.ts";
import * as outcomeLookup from "../session/outcome_lookup.ts";
import * as outcomeAnswer from "./outcome_answer.ts";
import * as requestChecks from "./request_checks.ts";
import * as requestRunner from "./request_runner.ts";

const defaultModelTimeoutMs = 60_000;
const notReadyRetryMs = 1_000;

type HandlerResult = { readonly kind: "ok" } | requestChecks.Refusal;

/** Creates the routes of an entry for callers. */
export function createCallersRouter(entry: context.EntryContext): Router {
  const router = new Router();
  const half = entry.settings.half;
  const countAnswer = entry.metrics.createCounter({
    name: "anvilhinge_answers_total",
    help: "Answers to callers by status code",
    labelNames: ["status"],
  });
  const findOutcome = outcomeLookup.createOutcomeLookup(entry);
  const runRequest = requestRunner.createRequestRunner(entry);

  async function handleChat(koa: Koa.Context): Promise<HandlerResult> {
    const workspace = requestChecks.checkWorkspace(entry, koa);
    if (workspace.kind === "error") return workspace;
    const point = requestChecks.checkResumePoint(entry, koa);
    if (point.kind === "error") return point;
    const body = await requestChecks.readBody(entry, koa);
    if (body.kind === "error") return body;
    const chat = requestChecks.parseChatRequest(body.value);
    if (chat.kind === "error") return chat;
    const { model, stream } = chat.value;
    if (!workspace.value.settings.models.includes(model)) {
      const openModels = workspace.value.settings.models.join(", ") || "none";
      return requestChecks.buildRefusal(400, "unknown_model", {
        message:
          `Model "${model}" is not open to workspace "${workspace.value.id}"; open to it: ${openModels}`,
      });
    }
    const settings = entry.catalog.findModel(workspace.value, model);
    const deadline = requestChecks.checkDeadline(
      koa,
      settings?.timeoutMs ?? defaultModelTimeoutMs,
    );
    if (deadline.kind === "error") return deadline;
    if (point.value !== undefined) setRequestId(koa, point.value.requestId);
    await runRequest(koa, {
      requestId: String(koa.state.requestId),
      workspace: workspace.value.id,
      work: { kind: "model", model, body: body.value },
      isRepeatable: true,
      isNamed: false,
      digest: "",
      priority: workspace.value.settings.priority,
      deadlineAtMs: entry.scheduler.now() + deadline.value,
      delivery: stream ? "streamed" : "whole",
    }, {
      need: { half, kind: "model", serves: model },
      resumePoint: point.value,
    });
    return { kind: "ok" };
  }

  async function handleService(koa: Koa.Context): Promise<HandlerResult> {
    const workspace = requestChecks.checkWorkspace(entry, koa);
    if (workspace.kind === "error") return workspace;
    const name = String(koa.params.service);
    const service = entry.catalog.findService(workspace.value, name);
    const isAllowed = workspace.value.settings.services.includes(name);
    if (service === undefined || !isAllowed) {
      const openServices = workspace.value.settings.services.join(", ") ||
        "none";
      return requestChecks.buildRefusal(400, "unknown_service", {
        message:
          `Service "${name}" is not open to workspace "${workspace.value.id}"; open to it: ${openServices}`,
      });
    }
    const deadline = requestChecks.checkDeadline(koa, service.timeoutMs);
    if (deadline.kind === "error") return deadline;
    const body = await requestChecks.readBody(entry, koa);
    if (body.kind === "error") return body;
    const path = `/${koa.params.path ?? ""}${koa.search}`;
    const call = { method: koa.method, path };
    const repeatable = isRepeatable(service, call);
    const key = requestChecks.checkIdempotencyKey(koa);
    if (key.kind === "error") return key;
    if (!repeatable && key.value !== "") {
      setRequestId(
        koa,
        callIdentity.computeRequestId(workspace.value.id, key.value),
      );
    }
    await runRequest(koa, {
      requestId: String(koa.state.requestId),
      workspace: workspace.value.id,
      work: {
        kind: "service",
        service: name,
        method: koa.method,
        path,
        headers: selectServiceHeaders(koa),
        body: body.value,
      },
      isRepeatable: repeatable,
      isNamed: key.value !== "" ||
        koa.get(requestChecks.requestIdHeader) !== "",
      digest: repeatable ? "" : callIdentity.computeDigest({
        ...call,
        service: name,
        body: body.value,
      }),
      priority: workspace.value.settings.priority,
      deadlineAtMs: entry.scheduler.now() + deadline.value,
      delivery: "whole",
    }, { need: { half, kind: "service", serves: name } });
    return { kind: "ok" };
  }

  function handleModels(koa: Koa.Context): HandlerResult {
    const workspace = requestChecks.checkWorkspace(entry, koa);
    if (workspace.kind === "error") return workspace;
    const data = workspace.value.settings.models.map((id) => ({
      id,
      object: "model",
      owned_by: half,
    }));
    koa.body = { object: "list", data };
    return { kind: "ok" };
  }

  async function handleOutcome(koa: Koa.Context): Promise<HandlerResult> {
    const workspace = requestChecks.checkWorkspace(entry, koa);
    if (workspace.kind === "error") return workspace;
    const requestId = String(koa.params.requestId);
    setRequestId(koa, requestId);
    const outcome = await findOutcome({
      workspace: workspace.value.id,
      requestId,
    });
    return outcomeAnswer.writeOutcome(koa, outcome);
  }

  function handleAddresses(koa: Koa.Context): HandlerResult {
    const workspace = requestChecks.checkWorkspace(entry, koa);
    if (workspace.kind === "error") return workspace;
    const members = entry.listMembers().filter(({ id }) =>
      !entry.state.isLeaving || id !== entry.settings.id
    );
    const answer = addresses.buildAddressAnswer(members, {
      workspace: workspace.value.id,
      ownAddress: entry.state.isLeaving ? undefined : formatOwnAddress(koa),
      nearDomain: getNearDomain(koa) ?? entry.settings.failureDomain,
      random: entry.random,
      ttlMs: entry.settings.addressAnswerTtlMs,
    });
    koa.body = { addresses: answer.addresses, ttl_ms: answer.ttlMs };
    return { kind: "ok" };
  }

  /** Adds the request id, error answers and the answer counter to a handler. */
  function wrapHandler(
    handler: (koa: Koa.Context) => HandlerResult | Promise<HandlerResult>,
  ): (koa: Koa.Context) => Promise<void> {
    return async (koa) => {
      const requestId = requestChecks.checkRequestId(koa, entry.createId);
      setRequestId(koa, requestId.kind === "valid" ? requestId.value : "");
      const result = requestId.kind === "valid"
        ? await handler(koa)
        : requestId;
      if (result.kind === "error") {
        answerWriter.writeCallerError(
          koa,
          requestChecks.addRetryCaveat(koa, result.error),
        );
      }
      countAnswer({ labels: { status: String(koa.status) } });
    };
  }

  function refuseUnlessReady(
    handler: (koa: Koa.Context) => Promise<HandlerResult>,
  ): (koa: Koa.Context) => Promise<void> {
    return wrapHandler((koa) => {
      const { isReady, isClosed } = entry.state;
      if (isReady && !isClosed) return handler(koa);
      return {
        kind: "error",
        error: {
          status: 503,
          code: "not_ready",
          message: isClosed
            ? "This entry is stopping; ask GET /v1/addresses for another"
            : "This entry has not confirmed its settings yet; use another",
          retryAfterMs: notReadyRetryMs,
        },
      };
    });
  }

  router.post("/v1/chat/completions", refuseUnlessReady(handleChat));
  router.get("/v1/requests/:requestId", wrapHandler(handleOutcome));
  router.get("/v1/models", wrapHandler(handleModels));
  router.get("/v1/addresses", wrapHandler(handleAddresses));
  router.all("/services/:service{/*path}", refuseUnlessReady(handleService));
  return router;
}

/** Sets the request id for the session, the answer and the response header. */
function setRequestId(koa: Koa.Context, requestId: string): void {
  koa.state.requestId = requestId;
  koa.set(requestChecks.requestIdHeader, requestId);
}

/** Selects the headers of a service call that are forwarded to the service. */
function selectServiceHeaders(
  koa: Koa.Context,
): readonly (readonly [name: string, value: string])[] {
  const forwardedNames = [
    "accept",
    "content-type",
    "idempotency-key",
    "if-match",
  ];
  return forwardedNames.flatMap((name) => {
    const value = koa.get(name);
    return value === "" ? [] : [[name, value] as const];
  });
}

function isRepeatable(
  service: objects.Service,
  call: { readonly method: string; readonly path: string },
): boolean {
  const isExcluded = service.notRepeatable.some((rule) =>
    rule.method === call.method && call.path.startsWith(rule.pathPrefix)
  );
  const methods: readonly string[] = service.repeatableMethods;
  return methods.includes(call.method) && !isExcluded;
}

/** Returns the address at which the caller reached this entry. */
function formatOwnAddress(koa: Koa.Context): string {
  const { localAddress = "", localPort = 0 } = koa.req.socket;
  const host = net.isIPv6(localAddress) ? `[${localAddress}]` : localAddress;
  return `${host}:${localPort}`;
}

function getNearDomain(koa: Koa.Context): string | undefined {
  const domain = koa.query.failure_domain;
  return typeof domain === "string" ? domain : undefined;
}
