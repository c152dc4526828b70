/** Writes the settings reference: `npm run reference`. */
import * as fs from "node:fs";
import * as path from "node:path";
import * as settingsReference from "./settings_reference.ts";

const page = path.join(__dirname, "../docs/reference/settings.md");

fs.mkdirSync(path.dirname(page), { recursive: true });
fs.writeFileSync(page, settingsReference.renderReference());
