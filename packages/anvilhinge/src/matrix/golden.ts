/**
 * Records complete sessions as text: each message between the processes, and
 * each event and effect of the session's state machine, on a manual clock.
 */
import type * as session from "../entry/session/session.ts";
import type * as faultPlan from "./fault_plan.ts";
import * as simulation from "./simulation.ts";

export interface GoldenSession {
  readonly session: simulation.SessionName;
  readonly planned: readonly faultPlan.PlannedFault[];
}

interface EncodedBuffer {
  readonly type: "Buffer";
  readonly data: readonly number[];
}

function isEncodedBuffer(value: unknown): value is EncodedBuffer {
  return typeof value === "object" && value !== null &&
    (value as Partial<EncodedBuffer>).type === "Buffer";
}

/** Replacer for `JSON.stringify` that writes bytes as UTF-8 text. */
function formatValue(_key: string, value: unknown): unknown {
  if (value instanceof Uint8Array) return Buffer.from(value).toString("utf8");
  return isEncodedBuffer(value)
    ? Buffer.from(value.data).toString("utf8")
    : value;
}

function wrapSession(
  machine: session.Session,
  writeLine: (line: string) => void,
): session.Session {
  return {
    ...machine,
    handle(event) {
      writeLine(`  event  ${JSON.stringify(event, formatValue)}`);
      const effects = machine.handle(event);
      for (const effect of effects) {
        writeLine(`  effect ${JSON.stringify(effect, formatValue)}`);
      }
      return effects;
    },
  };
}

/**
 * Runs a session with its planned faults; returns a line for each message,
 * event and effect. Throws if a planned step was not reached.
 */
export async function recordSession(
  { session: name, planned }: GoldenSession,
): Promise<string> {
  const lines: string[] = [];
  const result = await simulation.runSimulation({
    session: name,
    planned,
    variant: {
      wrapSession: (machine) =>
        wrapSession(machine, (line) => lines.push(line)),
    },
    onMessage: ({ atMs, event: kind, name }) =>
      void lines.push(`${atMs} ms ${kind} ${name}`),
  });
  for (const { step } of planned) {
    if (result.steps.includes(step)) continue;
    throw new Error(
      `Step "${step}" was not reached; reached: ${result.steps.join(", ")}`,
    );
  }
  lines.push(`starts ${JSON.stringify(result.starts)}`);
  lines.push(`effects ${JSON.stringify(result.effects)}`);
  lines.push(`caller ${JSON.stringify(result.submissions, formatValue)}`);
  return lines.join("\n");
}

/** Formats the name of a session, which is part of its snapshot key. */
export function formatSessionName(
  { session: name, planned }: GoldenSession,
): string {
  const faults = planned.map(({ fault, step }) => `${fault} at ${step}`);
  return `${name}, ${faults.join(", ") || "no fault"}`;
}
