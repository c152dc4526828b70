/** HTTP API with which operators move groups between halves. */
import Router from "@koa/router";
import coBody from "co-body";
import type Koa from "koa";
import * as zod from "zod";
import * as jsonLines from "../../adapters/json_lines.ts";
import * as names from "../../settings/names.ts";
import type * as context from "../context.ts";
import * as moves from "./moves.ts";

const moveSchema = zod.strictObject({
  group: names.name,
  to: names.half,
});

const maxBodyBytes = 4_096;
const changeIdPattern = /^[A-Za-z0-9._-]{8,128}$/;

/** Creates the routes `POST /moves` and `GET /moves/<group>`. */
export function createMovesRouter(
  entry: moves.MovesContext & Pick<context.EntryContext, "createId">,
): Router {
  const router = new Router();
  const operations = moves.createMoveOperations(entry);

  async function handlePost(koa: Koa.Context): Promise<void> {
    const text = await coBody.text(koa.req, { limit: maxBodyBytes });
    const move = jsonLines.parseJson(text, moveSchema)?.value;
    if (move === undefined) {
      return send(
        koa,
        moves.buildError(
          400,
          "invalid_request",
          `Expected a body such as {"group":"drafting-1","to":"water_board"}`,
        ),
      );
    }
    const changeId = koa.get("Change-Id") || entry.createId();
    if (!changeIdPattern.test(changeId)) {
      return send(
        koa,
        moves.buildError(
          400,
          "invalid_header",
          'Header Change-Id must have 8 to 128 characters of A-Z, a-z, 0-9, ".", "_", "-"',
        ),
      );
    }
    const authorization = koa.get("Authorization");
    send(koa, await operations.start(move, { authorization, changeId }));
  }

  async function getMove(koa: Koa.Context): Promise<void> {
    send(koa, await operations.describe(String(koa.params.group)));
  }

  function send(koa: Koa.Context, { status, body }: moves.MoveAnswer): void {
    if (status === 503) koa.set("Retry-After", "1");
    koa.status = status;
    koa.body = body;
  }

  router.post("/moves", handlePost);
  router.get("/moves/:group", getMove);
  return router;
}
