/** HTTP API with which operators drain an entry before it is stopped. */
import Router from "@koa/router";
import coBody from "co-body";
import type Koa from "koa";
import * as zod from "zod";
import * as jsonLines from "../../adapters/json_lines.ts";
import * as names from "../../settings/names.ts";
import type * as context from "../context.ts";
import * as operatorAccess from "./operator_access.ts";
import * as operatorAnswer from "./operator_answer.ts";

const drainSchema = zod.strictObject({ instance: names.name });
const maxBodyBytes = 4_096;

export interface DrainsOptions {
  readonly entry: Pick<
    context.EntryContext,
    "settings" | "state" | "logger" | "listMembers"
  >;
  /** Publishes to the other entries that this entry is leaving. */
  readonly publishLeaving: () => void;
}

/**
 * Creates the route `POST /drains`, which drains the entry that it reaches: address
 * answers omit the entry, but it accepts requests until it is stopped.
 */
export function createDrainsRouter(options: DrainsOptions): Router {
  const router = new Router();
  const { settings, state, logger, listMembers } = options.entry;

  function hasOperatorToken(koa: Koa.Context): boolean {
    const authorization = koa.get("Authorization");
    const { operators } = settings;
    return operatorAccess.matchOperators(operators, authorization).length > 0;
  }

  function describeOtherInstance(instance: string): string {
    const member = listMembers().find(({ id }) => id === instance);
    return member === undefined
      ? `"${instance}" is not a live entry of ${settings.half}; an agent drains at SIGTERM`
      : `This is ${settings.id}; ask "${instance}" itself at ${member.address}`;
  }

  async function handlePost(koa: Koa.Context): Promise<void> {
    if (!hasOperatorToken(koa)) {
      return operatorAnswer.writeError(koa, 403, {
        code: "forbidden",
        message: "The token is not one of an operator of this entry",
      });
    }
    const text = await coBody.text(koa.req, { limit: maxBodyBytes });
    const drain = jsonLines.parseJson(text, drainSchema)?.value;
    if (drain === undefined) {
      return operatorAnswer.writeError(koa, 400, {
        code: "invalid_request",
        message: `Expected a body such as {"instance":"${settings.id}"}`,
      });
    }
    if (drain.instance !== settings.id) {
      return operatorAnswer.writeError(koa, 404, {
        code: "not_this_instance",
        message: describeOtherInstance(drain.instance),
      });
    }
    state.isLeaving = true;
    options.publishLeaving();
    logger.info(
      "An operator started a drain: address answers now omit this entry",
    );
    koa.body = {
      outcome: "accepted",
      instance: settings.id,
      openRequests: state.openRequests,
    };
  }

  router.post("/drains", handlePost);
  return router;
}
