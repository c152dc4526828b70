/** The root command, which all command lines of the program share. */
import * as commander from "commander";
import * as version from "./version.ts";

/** Creates the root command without subcommands. */
export function createRootCommand(): commander.Command {
  return new commander.Command("anvilhinge")
    .description("Load balancer for expert-parallel model groups")
    .version(version.version, "--version", "Print the version");
}
