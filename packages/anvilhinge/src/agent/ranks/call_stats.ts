/** Statistics of an agent's calls to other agents, for its log lines. */

export interface EndedCall {
  /** How often the call was sent, without polls for its answer. */
  readonly sends: number;
  readonly tookMs: number;
  readonly isAnswered: boolean;
}

export interface CallSummary {
  readonly calls: number;
  /** Calls that were sent more than once. */
  readonly resent: number;
  readonly unanswered: number;
  readonly longestMs: number;
}

export interface CallStats {
  record(call: EndedCall): void;
  /** Returns the summary of the calls since the previous summary. */
  takeSummary(): CallSummary;
}

const emptySummary: CallSummary = {
  calls: 0,
  resent: 0,
  unanswered: 0,
  longestMs: 0,
};

/** Creates statistics without calls. */
export function createCallStats(): CallStats {
  let summary = emptySummary;
  return {
    record({ sends, tookMs, isAnswered }) {
      summary = {
        calls: summary.calls + 1,
        resent: summary.resent + (sends > 1 ? 1 : 0),
        unanswered: summary.unanswered + (isAnswered ? 0 : 1),
        longestMs: Math.max(summary.longestMs, Math.round(tookMs)),
      };
    },
    takeSummary() {
      const taken = summary;
      summary = emptySummary;
      return taken;
    },
  };
}
