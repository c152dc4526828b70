/**
 * Measures the slopes of all mechanisms in one run and writes the tables into
 * docs/CAPACITY.md: `npm run capacity`. The prose of the page is by hand.
 */
import * as fs from "node:fs/promises";
import * as nodePath from "node:path";
import * as control from "./control.ts";
import * as table from "./table.ts";
import * as work from "./work.ts";

const page = nodePath.join(__dirname, "../../docs/CAPACITY.md");
const beginMark = "<!-- measured: begin -->";
const endMark = "<!-- measured: end -->";

async function writePage(text: string): Promise<void> {
  const present = await fs.readFile(page, "utf8");
  const begin = present.indexOf(beginMark);
  const end = present.indexOf(endMark);
  if (begin < 0 || end < begin) {
    throw new Error(`${page} lacks the marks ${beginMark} and ${endMark}`);
  }
  const next = `${present.slice(0, begin + beginMark.length)}\n\n${text}\n\n${
    present.slice(end)
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
