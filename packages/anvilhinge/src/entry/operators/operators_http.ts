/** HTTP API for operators: versioned settings, status, metrics and health. */
import Router from "@koa/router";
import type Koa from "koa";
import * as record from "../../settings/record.ts";
import type * as context from "../context.ts";
import * as operatorAnswer from "./operator_answer.ts";
import * as operatorsWrite from "./operators_write.ts";

/** Creates the routes of an entry for operators. */
export function createOperatorsRouter(entry: context.EntryContext): Router {
  const router = new Router();

  async function getSettings(koa: Koa.Context): Promise<void> {
    const path = `/${koa.params.path}`;
    if (path.endsWith("/")) return listSettings(koa, path);
    const outcome = await entry.store.read(record.formatKey(path));
    if (outcome.kind === "unavailable") {
      return operatorAnswer.writeUnavailable(koa, outcome.message);
    }
    const stored = outcome.kind === "found"
      ? record.parsePresentRecord(outcome.object.value)
      : undefined;
    if (outcome.kind === "missing" || stored === undefined) {
      return operatorAnswer.writeError(koa, 404, {
        code: "not_found",
        message: `Settings object ${path} does not exist`,
      });
    }
    koa.set("ETag", `"${outcome.object.version}"`);
    if ("history" in koa.query) {
      koa.body = { version: outcome.object.version, changes: stored.changes };
      return;
    }
    koa.type = "text/plain; charset=utf-8";
    koa.body = stored.text;
  }

  async function listSettings(koa: Koa.Context, prefix: string): Promise<void> {
    const outcome = await entry.store.list(record.formatKey(prefix));
    if (outcome.kind === "unavailable") {
      return operatorAnswer.writeUnavailable(koa, outcome.message);
    }
    koa.body = {
      objects: outcome.objects.filter((object) =>
        record.parsePresentRecord(object.value) !== undefined
      ).map((object) => ({
        path: record.parseKey(object.key),
        version: object.version,
      })),
    };
  }

  function getStatus(koa: Koa.Context): void {
    if ("maps" in koa.query) {
      return operatorAnswer.writeError(koa, 501, {
        code: "not_available",
        message:
          "This version plans expert maps in its library only and switches none; see docs/design/expert_maps.md",
      });
    }
    const { id, half, failureDomain } = entry.settings;
    koa.body = {
      instance: { id, half, failureDomain },
      ready: entry.state.isReady,
      leaving: entry.state.isLeaving,
      openRequests: entry.state.openRequests,
      entries: entry.listMembers(),
      groups: entry.upstreams.listAssignments(),
    };
  }

  async function getMetrics(koa: Koa.Context): Promise<void> {
    koa.type = entry.metrics.contentType;
    koa.body = await entry.metrics.render();
  }

  function getReady(koa: Koa.Context): void {
    const isReady = entry.state.isReady && !entry.state.isLeaving;
    koa.status = isReady ? 200 : 503;
    koa.body = { ready: isReady };
  }

  router.get("/settings/*path", getSettings);
  operatorsWrite.addWriteRoutes(router, entry);
  router.get("/status", getStatus);
  router.get("/metrics", getMetrics);
  router.get("/readyz", getReady);
  router.get("/healthz", (koa) => {
    koa.body = { healthy: true };
  });
  return router;
}
