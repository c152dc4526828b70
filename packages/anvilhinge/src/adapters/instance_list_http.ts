/** HTTP client of the platform's instance list. */
import type * as undici from "undici";
import * as zod from "zod";
import type * as instanceList from "../ports/instance_list.ts";
import * as httpClient from "./http_client.ts";
import * as jsonLines from "./json_lines.ts";

export interface HttpInstanceListOptions {
  readonly baseUrl: string;
  /** Timeout of a call, in milliseconds. */
  readonly timeoutMs: number;
  /** @default a new connection pool */
  readonly dispatcher?: undici.Dispatcher;
}

const listSchema = zod.object({
  instances: zod.array(zod.object({
    id: zod.string(),
    role: zod.enum(["entry", "agent"]),
    half: zod.string(),
    address: zod.string(),
    controlAddress: zod.string().optional(),
    failureDomain: zod.string(),
    state: zod.enum(["live", "leaving"]),
  })),
});

/** Creates a client of the platform's instance list. */
export function createHttpInstanceList(
  options: HttpInstanceListOptions,
): instanceList.InstanceList {
  const dispatcher = options.dispatcher ?? httpClient.createDispatcher();
  const target = httpClient.parseTarget(options.baseUrl);
  return {
    async list() {
      try {
        const response = await dispatcher.request({
          origin: target.origin,
          path: `${target.basePath}/instances`,
          method: "GET",
          signal: AbortSignal.timeout(options.timeoutMs),
        });
        const text = await response.body.text();
        return convertList(response.statusCode, text);
      } catch (error) {
        return buildUnavailable(httpClient.describeError(error));
      }
    },
  };
}

function convertList(
  status: number,
  text: string,
): instanceList.InstancesOutcome {
  const parsed = jsonLines.parseJson(text, listSchema);
  if (status !== 200 || parsed === undefined) {
    return buildUnavailable(`answered ${status}: ${text.slice(0, 200)}`);
  }
  return { kind: "listed", instances: parsed.value.instances };
}

function buildUnavailable(reason: string): instanceList.InstancesOutcome {
  return {
    kind: "unavailable",
    message: `Instance list request failed: ${reason}`,
  };
}
