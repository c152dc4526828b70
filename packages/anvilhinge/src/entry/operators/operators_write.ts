/** HTTP API for changes of settings: `PUT /settings/...`, `GET /changes/<id>`. */
import Router from "@koa/router";
import coBody from "co-body";
import type Koa from "koa";
import * as document from "../../settings/document.ts";
import * as objectPath from "../../settings/object_path.ts";
import * as objects from "../../settings/objects.ts";
import type * as context from "../context.ts";
import * as operatorAccess from "./operator_access.ts";
import * as operatorAnswer from "./operator_answer.ts";
import * as settingsChange from "./settings_change.ts";

const changeIdPattern = /^[A-Za-z0-9._-]{8,128}$/;
const entityTagPattern = /^"(\d+)"$/;
const versionPattern = /^\d{1,15}$/;
const changeIdRequirement =
  'must have 8 to 128 characters of A-Z, a-z, 0-9, ".", "_", "-"';

type ParsedCondition =
  | { readonly kind: "valid"; readonly ifVersion: number }
  | { readonly kind: "refused"; readonly message: string };

function parseCondition(koa: Koa.Context): ParsedCondition {
  if (koa.get("If-None-Match") === "*") return { kind: "valid", ifVersion: 0 };
  const match = entityTagPattern.exec(koa.get("If-Match"));
  if (match !== null) return { kind: "valid", ifVersion: Number(match[1]) };
  return {
    kind: "refused",
    message:
      'Header If-Match must be the ETag of the object, such as "12", or If-None-Match must be * for a new object',
  };
}

function readQuery(koa: Koa.Context, name: string): string {
  const value = koa.query[name];
  return typeof value === "string" ? value : "";
}

function writeProblems(
  koa: Koa.Context,
  problems: readonly document.Problem[],
): void {
  const message = document.formatProblems(problems);
  koa.status = 422;
  koa.body = { error: { code: "invalid_settings", message }, problems };
}

/** Writes the outcome of a change as the answer. */
function writeOutcome(
  koa: Koa.Context,
  outcome: settingsChange.ChangeOutcome,
  change: { readonly path: string; readonly changeId: string },
): void {
  const { changeId, path } = change;
  switch (outcome.kind) {
    case "accepted":
      koa.set("ETag", `"${outcome.version}"`);
      koa.body = { version: outcome.version, changeId };
      return;
    case "conflict":
      return operatorAnswer.writeConflict(koa, 412, {
        code: "conflict",
        message:
          `${path} was changed by somebody else; read it again, then apply your change to that version`,
        version: outcome.version,
      });
    case "not_accepted":
      return operatorAnswer.writeConflict(koa, 409, {
        code: "not_accepted",
        message:
          `The change ${changeId} did not take effect and can't any more; read ${path} again, then apply it to that version`,
        version: outcome.version,
      });
    case "repeated_id":
      return operatorAnswer.writeError(koa, 409, {
        code: "repeated_change_id",
        message:
          `The change id ${changeId} belongs to another change of ${path}; use a new one`,
      });
    case "name_taken":
      return operatorAnswer.writeError(koa, 409, {
        code: "group_name_taken",
        message:
          `The name of ${path} belongs to ${outcome.path}; give the group another name`,
      });
    case "invalid":
      return writeProblems(koa, outcome.problems);
    case "unavailable":
      return operatorAnswer.writeUnavailable(koa, outcome.message);
    case "unknown":
      koa.status = 202;
      koa.body = {
        outcome: "unknown",
        changeId,
        message:
          `${outcome.message}. Ask GET /changes/${changeId}?path=${path} later`,
      };
      return;
  }
}

/** Adds the routes that change settings and look up changes. */
export function addWriteRoutes(
  router: Router,
  entry: context.EntryContext,
): void {
  const changeOptions: settingsChange.ChangeOptions = {
    store: entry.store,
    catalog: entry.catalog,
    createId: entry.createId,
    formatNow: () => new Date().toISOString(),
  };

  function findOperator(
    koa: Koa.Context,
    path: objectPath.SettingsPath,
  ): operatorAccess.Operator | undefined {
    return operatorAccess.findOperator(entry.settings.operators, {
      authorization: koa.get("Authorization"),
      subtree: objectPath.formatSubtree(path),
    });
  }

  async function putSettings(koa: Koa.Context): Promise<void> {
    const path = `/${koa.params.path}`;
    const parsed = objectPath.parseSettingsPath(path);
    if (parsed.kind === "refused") {
      const { message } = parsed;
      return operatorAnswer.writeError(koa, 400, {
        code: "invalid_path",
        message,
      });
    }
    const operator = findOperator(koa, parsed.path);
    if (operator === undefined) {
      const subtree = objectPath.formatSubtree(parsed.path);
      return operatorAnswer.writeError(koa, 403, {
        code: "forbidden",
        message: `The token may not change ${subtree}`,
      });
    }
    const condition = parseCondition(koa);
    if (condition.kind === "refused") {
      const { message } = condition;
      return operatorAnswer.writeError(koa, 428, {
        code: "condition_required",
        message,
      });
    }
    const changeId = koa.get("Change-Id") || entry.createId();
    if (!changeIdPattern.test(changeId)) {
      return operatorAnswer.writeError(koa, 400, {
        code: "invalid_header",
        message: `Header Change-Id ${changeIdRequirement}`,
      });
    }
    const text = await coBody.text(koa.req, {
      limit: entry.settings.requestBodyLimitBytes,
    });
    const checked = objects.checkObject(path, text);
    if (checked.kind === "invalid") return writeProblems(koa, checked.problems);
    const outcome = await settingsChange.applyChange({
      object: checked.settings,
      author: operator.name,
      changeId,
      ifVersion: condition.ifVersion,
    }, changeOptions);
    writeOutcome(koa, outcome, { path, changeId });
  }

  async function getChange(koa: Koa.Context): Promise<void> {
    const changeId = koa.params.changeId as string;
    const path = readQuery(koa, "path");
    const parsed = objectPath.parseSettingsPath(path);
    if (parsed.kind === "refused" || !changeIdPattern.test(changeId)) {
      return operatorAnswer.writeError(koa, 400, {
        code: "invalid_request",
        message: parsed.kind === "refused"
          ? `Query parameter path: ${parsed.message}`
          : `The change id ${changeIdRequirement}`,
      });
    }
    const ifVersion = readQuery(koa, "ifVersion");
    const ambiguousChange = {
      path,
      changeId,
      ifVersion: versionPattern.test(ifVersion) ? Number(ifVersion) : undefined,
    };
    // Ruling out a change writes a fence to the object, which only an operator of
    // its subtree may do.
    const settlement = findOperator(koa, parsed.path) === undefined
      ? await settingsChange.findChange(ambiguousChange, entry.store)
      : await settingsChange.settleChange(ambiguousChange, changeOptions);
    koa.body = settlement.kind === "unknown"
      ? { outcome: settlement.kind, message: settlement.message }
      : { outcome: settlement.kind, version: settlement.version };
  }

  router.put("/settings/*path", putSettings);
  router.get("/changes/:changeId", getChange);
}
