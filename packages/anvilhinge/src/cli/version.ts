/** The version of the program, from its package file. */
import packageData from "../../package.json" with { type: "json" };

export const { version } = packageData;
