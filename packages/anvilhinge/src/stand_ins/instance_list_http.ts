/**
 * HTTP adapter of the instance list stand-in: `GET /instances`,
 * `PUT /instances/<id>`, `POST /instances/<id>/leave`,
 * `DELETE /instances/<id>`.
 */
import * as zod from "zod";
import type * as scheduler from "../ports/scheduler.ts";
import type * as faults from "./faults.ts";
import * as httpServer from "./http_server.ts";
import type * as instanceList from "./instance_list.ts";

const instanceSchema = zod.object({
  role: zod.enum(["entry", "agent"]),
  half: zod.string(),
  address: zod.string(),
  controlAddress: zod.string().optional(),
  failureDomain: zod.string(),
  state: zod.enum(["live", "leaving"]),
});

export interface InstanceListHttpOptions {
  readonly registry: instanceList.InstanceRegistry;
  readonly faults: faults.FaultSwitch;
  readonly scheduler: scheduler.Scheduler;
}

/** Creates the server of an instance list. */
export function createInstanceListHttp(
  options: InstanceListHttpOptions,
): httpServer.StandInServer {
  const handler = (request: httpServer.HttpRequest) =>
    handle(request, options.registry);
  return httpServer.createServer({ ...options, handler });
}

function handle(
  request: httpServer.HttpRequest,
  registry: instanceList.InstanceRegistry,
): httpServer.HttpAnswer {
  const { method, path } = request;
  if (method === "GET" && path === "/instances") {
    return httpServer.encodeJson(200, { instances: registry.list() });
  }
  const match = /^\/instances\/([^/]+)(\/leave)?$/.exec(path);
  const id = httpServer.decodePath(match?.[1] ?? "");
  if (!id) return httpServer.encodeError(404, `No ${method} ${path} here`);
  const action = `${method}${match?.[2] ?? ""}`;
  switch (action) {
    case "PUT":
      return register(request, { id, registry });
    case "POST/leave":
      registry.markLeaving(id);
      return httpServer.encodeJson(200, {});
    case "DELETE":
      registry.remove(id);
      return httpServer.encodeJson(200, {});
    default:
      return httpServer.encodeError(405, `No ${method} of ${path}`);
  }
}

interface RegistrationTarget {
  readonly id: string;
  readonly registry: instanceList.InstanceRegistry;
}

function register(
  request: httpServer.HttpRequest,
  { id, registry }: RegistrationTarget,
): httpServer.HttpAnswer {
  const json = httpServer.parseJson(request);
  if (json.kind === "invalid") return httpServer.encodeError(400, json.message);
  const result = instanceSchema.safeParse(json.value);
  if (!result.success) {
    return httpServer.encodeError(400, zod.prettifyError(result.error));
  }
  registry.register({ id, ...result.data });
  return httpServer.encodeJson(200, {});
}
