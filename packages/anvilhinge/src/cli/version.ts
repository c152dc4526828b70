/** The version of the program, as its package says. */
import packageData from "../../package.json" with { type: "json" };

export const { version } = packageData;
