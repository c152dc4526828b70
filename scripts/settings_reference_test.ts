import * as fs from "node:fs";
import * as path from "node:path";
import * as settingsReference from "./settings_reference.ts";

const page = path.join(__dirname, "../docs/reference/settings.md");

/** The formatter wraps the page's lines. */
function normalizeSpace(text: string): string {
  return text.replace(/\s+/g, " ").trim();
}

test("the committed reference is up to date; if not, npm run reference", () => {
  const written = fs.readFileSync(page, "utf8");
  expect(normalizeSpace(written))
    .toBe(normalizeSpace(settingsReference.renderReference()));
});
