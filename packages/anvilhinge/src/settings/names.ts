/** Schemas of names and addresses that all kinds of settings use. */
import * as zod from "zod";

/** The two organisations that own upstreams. */
export const halves = ["association", "water_board"] as const;

export type Half = typeof halves[number];

const namePattern = /^[a-z0-9_.-]+$/;
const maxPort = 65535;

/** Returns whether `text` is a valid name of a team, object or instance. */
export function isName(text: string): boolean {
  return namePattern.test(text) && text !== "." && text !== "..";
}

/** Returns whether `text` is the name of a half. */
export function isHalf(text: string): text is Half {
  return (halves as readonly string[]).includes(text);
}

function isHostPort(text: string): boolean {
  const separator = text.lastIndexOf(":");
  const host = text.slice(0, separator).replace(/^\[(.*:.*)\]$/, "$1");
  const port = text.slice(separator + 1);
  const isIp = zod.ipv4().safeParse(host).success ||
    (text.startsWith("[") && zod.ipv6().safeParse(host).success);
  return isIp && /^[1-9]\d{0,4}$/.test(port) && Number(port) <= maxPort;
}

/** Name of a team, an object, an instance or a failure domain. */
export const name = zod.string().refine(
  isName,
  "Expected a name made of the characters a-z, 0-9, _, . and -",
);

export const half = zod.enum(halves);

export const host = zod.union(
  [zod.ipv4(), zod.ipv6()],
  "Expected an IP address such as 127.0.0.1",
);

/** TCP port; 0 lets the operating system choose a free port. */
export const port = zod.int().min(0).max(maxPort);

/** IP address and port in one string. */
export const hostPort = zod.string().refine(
  isHostPort,
  'Expected an IP address and a port such as "127.0.0.1:7000"',
);

export const httpUrl = zod.url({
  protocol: /^https?$/,
  error: "Expected a URL that begins with http:// or https://",
});
