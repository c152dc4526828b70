/**
 * Measures the costs of all mechanisms in one run and writes the table into
 * docs/CAPACITY.md: `npm run capacity`. The prose of the page is written by hand.
 */
import * as fs from "node:fs/promises";
import * as nodePath from "node:path";
import * as control from "./control.ts";
import * as table from "./table.ts";
import * as work from "./work.ts";

const page = nodePath.join(__dirname, "../../docs/CAPACITY.md");
const beginMarker = "<!-- measured: begin -->";
const endMarker = "<!-- measured: end -->";

async function writePage(text: string): Promise<void> {
  const current = await fs.readFile(page, "utf8");
  const begin = current.indexOf(beginMarker);
  const end = current.indexOf(endMarker);
  if (begin < 0 || end < begin) {
    throw new Error(
      `${page} lacks the markers ${beginMarker} and ${endMarker}`,
    );
  }
  const next = `${current.slice(0, begin + beginMarker.length)}\n\n${text}\n\n${
    current.slice(end)
  }`;
  await fs.writeFile(page, next);
}

async function runCapacity(): Promise<void> {
  const rows = [
    ...await control.measureControl(),
    ...await work.measureWork(),
  ];
  const rendered = table.renderTable(rows);
  console.log(rendered);
  await writePage(rendered);
}

void runCapacity();
