/** The top of every command line of the program. */
import * as commander from "commander";
import * as version from "./version.ts";

/** Creates the command line without commands. */
export function createRootCommand(): commander.Command {
  return new commander.Command("anvilhinge")
    .description("Load balancer for expert-parallel model groups")
    .version(version.version, "--version", "Print the version");
}
