// Checks that the name of each function begins with a verb of docs/NAMING.md.
const fs = require("node:fs");
const path = require("node:path");

const root = path.join(__dirname, "..");
const functionPattern =
  /^\s*(?:export\s+)?(?:async\s+)?function\*?\s+([A-Za-z_]\w*)/;

function readVerbs() {
  const page = fs.readFileSync(path.join(root, "docs/NAMING.md"), "utf8");
  const verbSection = page.split("\n## ")[0];
  return new Set(
    [...verbSection.matchAll(/`([a-z]+)`/g)].map((match) => match[1]),
  );
}

function listSources(folder) {
  return fs.readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const file = path.join(folder, entry.name);
    if (entry.isDirectory()) {
      return ["node_modules", "gen", "dist"].includes(entry.name)
        ? []
        : listSources(file);
    }
    return /\.(ts|cjs)$/.test(entry.name) ? [file] : [];
  });
}

function checkFile(file, verbs) {
  const lines = fs.readFileSync(file, "utf8").split("\n");
  return lines.flatMap((line, index) => {
    const name = functionPattern.exec(line)?.[1];
    if (name === undefined) return [];
    const verb = /^[a-z]+/.exec(name)?.[0] ?? "";
    if (verbs.has(verb)) return [];
    const location = `${path.relative(root, file)}:${index + 1}`;
    return [
      `${location}: function "${name}" does not begin with a listed verb`,
    ];
  });
}

const verbs = readVerbs();
const files = ["packages", "platform", "scripts"].flatMap((name) =>
  listSources(path.join(root, name))
);
const problems = files.flatMap((file) => checkFile(file, verbs));
for (const problem of problems) console.error(problem);
console.log(`Checked function names in ${files.length} files`);
if (problems.length > 0) {
  console.error("Use a verb of docs/NAMING.md or add one to its list");
  process.exitCode = 1;
}
