import fc from "fast-check";
import * as eventSplitter from "./event_splitter.ts";

function decodeText(data: Uint8Array | undefined): string {
  return data === undefined ? "" : Buffer.from(data).toString("latin1");
}

test("returns complete events at each cut of the stream", () => {
  fc.assert(
    fc.property(
      fc.array(fc.stringMatching(/^[a\n]{0,6}$/), { maxLength: 12 }),
      (parts) => {
        const splitter = eventSplitter.createEventSplitter();
        let received = "";
        let returned = "";
        for (const part of parts) {
          received += part;
          const events = decodeText(splitter.push(Buffer.from(part)));
          if (events !== "") expect(events.endsWith("\n\n")).toBe(true);
          returned += events;
          const rest = received.slice(returned.length);
          expect(received.startsWith(returned)).toBe(true);
          expect(rest.includes("\n\n")).toBe(false);
          expect(splitter.countBufferedBytes()).toBe(rest.length);
        }
        expect(returned + decodeText(splitter.flush())).toBe(received);
        expect(splitter.countBufferedBytes()).toBe(0);
      },
    ),
    { seed: 1 },
  );
});
