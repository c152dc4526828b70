import * as fs from "node:fs";
import * as path from "node:path";
import * as settingsReference from "./settings_reference.ts";

const page = path.join(__dirname, "../docs/reference/settings.md");

/** Makes the comparison independent of the line breaks of the formatter. */
function normalizeSpace(text: string): string {
  return text.replace(/\s+/g, " ").trim();
}

test("the committed reference is up to date (npm run reference)", () => {
  const committed = fs.readFileSync(page, "utf8");
  expect(normalizeSpace(committed))
    .toBe(normalizeSpace(settingsReference.renderReference()));
});
