/** Checks that the relative links of the documentation pages resolve. */
import * as fs from "node:fs";
import * as nodePath from "node:path";

const root = nodePath.join(__dirname, "..");
const skippedFolders: ReadonlySet<string> = new Set([
  "node_modules",
  "dist",
  ".git",
]);

function listPages(folder: string): readonly string[] {
  return fs.readdirSync(folder, { withFileTypes: true }).flatMap((item) => {
    if (skippedFolders.has(item.name)) return [];
    const path = nodePath.join(folder, item.name);
    if (item.isDirectory()) return listPages(path);
    return item.name.endsWith(".md") ? [path] : [];
  });
}

/** Reads a page without its code blocks. */
function readProse(page: string): string {
  return fs.readFileSync(page, "utf8").replace(/^```[\s\S]*?^```/gm, "");
}

/** Lists the heading anchors of a page in the format of common Git hosts. */
function listAnchors(page: string): readonly string[] {
  return [...readProse(page).matchAll(/^#{1,6} +(.+)$/gm)].map(([, title]) =>
    title!.toLowerCase().replace(/[^\p{L}\p{N}\s_-]/gu, "").trim()
      .replace(/\s/g, "-")
  );
}

function findProblem(page: string, link: string): string | undefined {
  const [path = "", anchor] = link.split("#");
  const target = path === ""
    ? page
    : nodePath.join(nodePath.dirname(page), path);
  if (!fs.existsSync(target)) return `${page}: "${link}" does not exist`;
  if (anchor === undefined || !target.endsWith(".md")) return undefined;
  return listAnchors(target).includes(anchor)
    ? undefined
    : `${page}: "${link}" names no heading`;
}

function listProblems(page: string): readonly string[] {
  const links = [...readProse(page).matchAll(/\]\(([^)\s]+)\)/g)]
    .map(([, link]) => link!);
  return links.filter((link) => !/^[a-z]+:/.test(link))
    .flatMap((link) => findProblem(page, link) ?? []);
}

test("each relative link refers to an existing file and heading", () => {
  const pages = listPages(root);
  expect(pages.length).toBeGreaterThan(5);
  expect(pages.flatMap(listProblems)).toEqual([]);
});

test("a link to a missing file or heading is reported", () => {
  const page = nodePath.join(root, "README.md");
  expect(findProblem(page, "docs/absent.md")).toMatch(/does not exist/);
  expect(findProblem(page, "#no-such-heading")).toMatch(/names no heading/);
});
