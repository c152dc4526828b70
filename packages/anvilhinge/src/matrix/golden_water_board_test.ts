import * as golden from "./golden.ts";

const sessions: readonly golden.GoldenSession[] = [
  { session: "streamed model call", planned: [] },
  {
    session: "streamed model call",
    planned: [{ fault: "rank_stalls", step: "frame_chunk#1" }],
  },
  { session: "permit stamp during a handover", planned: [] },
  {
    session: "permit stamp during a handover",
    planned: [{ fault: "entry_pauses", step: "run#1" }],
  },
  {
    session: "permit stamp during a handover",
    planned: [{ fault: "message_very_late", step: "run#1" }],
  },
];

test.each(
  sessions.map((item) => [golden.formatSessionName(item), item] as const),
)(
  "water board: %s",
  async (_name, session) => {
    expect(await golden.recordSession(session)).toMatchSnapshot();
  },
);
