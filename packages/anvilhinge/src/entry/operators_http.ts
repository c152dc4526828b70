/** Operators' HTTP: settings under paths with versions, status, metrics, health. */
import * as crypto from "node:crypto";
import Router from "@koa/router";
import coBody from "co-body";
import type Koa from "koa";
import type * as objectStore from "../ports/object_store.ts";
import * as document from "../settings/document.ts";
import * as objectPath from "../settings/object_path.ts";
import * as objects from "../settings/objects.ts";
import type * as process from "../settings/process.ts";
import * as record from "../settings/record.ts";
import type * as context from "./context.ts";

const changeIdPattern = /^[A-Za-z0-9._-]{8,128}$/;
const entityTagPattern = /^"(\d+)"$/;

type Condition =
  | { readonly kind: "valid"; readonly ifVersion: number }
  | { readonly kind: "refused"; readonly message: string };

/** Creates the operators' routes of an entry. */
export function createOperatorsRouter(entry: context.EntryContext): Router {
  const router = new Router();

  function writeError(
    koa: Koa.Context,
    status: number,
    error: { readonly code: string; readonly message: string },
  ): void {
    koa.status = status;
    koa.body = { error };
  }

  function writeUnavailable(koa: Koa.Context, message: string): void {
    koa.set("Retry-After", "1");
    writeError(koa, 503, {
      code: "unavailable",
      message: `The object API is away; nothing was changed: ${message}`,
    });
  }

  function findOperator(
    koa: Koa.Context,
    path: objectPath.SettingsPath,
  ): process.EntrySettings["operators"][number] | undefined {
    const token = koa.get("Authorization").replace(/^Bearer /, "");
    const digest = crypto.createHash("sha256").update(token).digest();
    const subtree = objectPath.formatSubtree(path);
    return entry.settings.operators.find((operator) => {
      const expected = Buffer.from(operator.tokenSha256, "hex");
      const isKnown = crypto.timingSafeEqual(digest, expected);
      return isKnown && operator.subtrees.includes(subtree);
    });
  }

  function parseCondition(koa: Koa.Context): Condition {
    if (koa.get("If-None-Match") === "*") {
      return { kind: "valid", ifVersion: 0 };
    }
    const match = entityTagPattern.exec(koa.get("If-Match"));
    if (match !== null) return { kind: "valid", ifVersion: Number(match[1]) };
    return {
      kind: "refused",
      message:
        'Header If-Match must be the ETag of the object, such as "12", or If-None-Match must be * for a new object',
    };
  }

  async function getSettings(koa: Koa.Context): Promise<void> {
    const path = `/${koa.params.path}`;
    if (path.endsWith("/")) return listSettings(koa, path);
    const outcome = await entry.store.read(record.formatKey(path));
    if (outcome.kind === "unavailable") {
      return writeUnavailable(koa, outcome.message);
    }
    const stored = outcome.kind === "found"
      ? record.parseRecord(outcome.object.value)
      : undefined;
    if (outcome.kind === "missing" || stored === undefined) {
      return writeError(koa, 404, {
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
      return writeUnavailable(koa, outcome.message);
    }
    koa.body = {
      objects: outcome.objects.map((object) => ({
        path: record.parseKey(object.key),
        version: object.version,
      })),
    };
  }

  async function putSettings(koa: Koa.Context): Promise<void> {
    const path = `/${koa.params.path}`;
    const parsed = objectPath.parseSettingsPath(path);
    if (parsed.kind === "refused") {
      return writeError(koa, 400, {
        code: "invalid_path",
        message: parsed.message,
      });
    }
    const operator = findOperator(koa, parsed.path);
    if (operator === undefined) {
      return writeError(koa, 403, {
        code: "forbidden",
        message: `The token may not change ${
          objectPath.formatSubtree(parsed.path)
        }`,
      });
    }
    const condition = parseCondition(koa);
    if (condition.kind === "refused") {
      return writeError(koa, 428, {
        code: "condition_required",
        message: condition.message,
      });
    }
    const changeId = koa.get("Change-Id") || entry.createId();
    if (!changeIdPattern.test(changeId)) {
      return writeError(koa, 400, {
        code: "invalid_header",
        message:
          'Header Change-Id must have 8 to 128 characters of A-Z, a-z, 0-9, ".", "_", "-"',
      });
    }
    const text = await coBody.text(koa.req, {
      limit: entry.settings.requestBodyLimitBytes,
    });
    const checked = objects.checkObject(path, text);
    if (checked.kind === "invalid") {
      koa.status = 422;
      koa.body = {
        error: {
          code: "invalid_settings",
          message: document.formatProblems(checked.problems),
        },
        problems: checked.problems,
      };
      return;
    }
    await writeSettings(koa, {
      path,
      text,
      author: operator.name,
      changeId,
      ifVersion: condition.ifVersion,
    });
  }

  async function writeSettings(
    koa: Koa.Context,
    change: {
      readonly path: string;
      readonly text: string;
      readonly author: string;
      readonly changeId: string;
      readonly ifVersion: number;
    },
  ): Promise<void> {
    const key = record.formatKey(change.path);
    const present = await entry.store.read(key);
    if (present.kind === "unavailable") {
      return writeUnavailable(koa, present.message);
    }
    const previous = present.kind === "found"
      ? record.parseRecord(present.object.value)
      : undefined;
    const next = record.buildRecord(previous, {
      text: change.text,
      change: {
        changeId: change.changeId,
        author: change.author,
        at: new Date().toISOString(),
        previousVersion: change.ifVersion,
      },
    });
    const outcome = await entry.store.write(key, next, {
      ifVersion: change.ifVersion,
    });
    writeOutcome(koa, outcome, change);
  }

  function writeOutcome(
    koa: Koa.Context,
    outcome: objectStore.WriteOutcome,
    change: { readonly path: string; readonly changeId: string },
  ): void {
    const { changeId, path } = change;
    switch (outcome.kind) {
      case "accepted":
        koa.set("ETag", `"${outcome.version}"`);
        koa.body = { version: outcome.version, changeId };
        return;
      case "conflict":
        koa.status = 412;
        koa.body = {
          error: {
            code: "conflict",
            message:
              `${path} was changed by somebody else; read it again, then apply your change to that version`,
          },
          current: { version: outcome.current?.version ?? 0 },
        };
        return;
      case "unavailable":
        return writeUnavailable(koa, outcome.message);
      case "unknown":
        koa.status = 202;
        koa.body = { outcome: "unknown", changeId, message: outcome.message };
        return;
    }
  }

  function getStatus(koa: Koa.Context): void {
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
  router.put("/settings/*path", putSettings);
  router.get("/status", getStatus);
  router.get("/metrics", getMetrics);
  router.get("/readyz", getReady);
  router.get("/healthz", (koa) => {
    koa.body = { healthy: true };
  });
  return router;
}
