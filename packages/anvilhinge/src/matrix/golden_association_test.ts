import * as golden from "./golden.ts";

const sessions: readonly golden.GoldenSession[] = [
  { session: "streamed model call", planned: [] },
  {
    session: "streamed model call",
    planned: [{ fault: "agent_gone", step: "frame_chunk#2" }],
  },
  {
    session: "streamed model call",
    planned: [{ fault: "entry_dies", step: "frame_chunk#3" }],
  },
  { session: "idempotent service call", planned: [] },
  {
    session: "idempotent service call",
    planned: [{ fault: "message_lost", step: "run#1" }],
  },
  { session: "filing", planned: [] },
  {
    session: "filing",
    planned: [{ fault: "store_answer_lost", step: "store_write#1" }],
  },
  {
    session: "filing",
    planned: [{ fault: "agent_dies", step: "frame_accepted#1" }],
  },
];

test.each(
  sessions.map((item) => [golden.formatSessionName(item), item] as const),
)(
  "association: %s",
  async (_name, session) => {
    expect(await golden.recordSession(session)).toMatchSnapshot();
  },
);
