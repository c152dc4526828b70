module.exports = {
  testEnvironment: "node",
  // Long enough that a busy machine doesn't cause failures.
  testTimeout: 60_000,
  roots: ["<rootDir>/packages", "<rootDir>/platform", "<rootDir>/scripts"],
  testMatch: ["**/*_test.ts"],
  transform: {
    "^.+\\.(ts|js|mjs)$": ["@swc/jest", {
      jsc: {
        parser: { syntax: "typescript" },
        target: "es2022",
      },
      module: { type: "commonjs" },
    }],
  },
  transformIgnorePatterns: [
    "/node_modules/(?!(fast-check|pure-rand|@bufbuild|@connectrpc)/)",
  ],
};
