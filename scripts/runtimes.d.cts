/** Types of `runtimes.cjs`, which runs before any dependency is installed. */
export type Processor = "arm64" | "x64";
/** `tools` runs the scripts, `platform` what `deploy/system.toml` starts. */
export type Role = "tools" | "platform";

export type Runtime =
  | { readonly kind: "found"; readonly file: string }
  | { readonly kind: "unsupported" | "missing"; readonly message: string };

export type InstallDecision =
  | { readonly kind: "keep" }
  | { readonly kind: "install"; readonly reason: string }
  | { readonly kind: "unsupported"; readonly message: string };

/** Name of the package of each processor and role. */
export const runtimePackages: Readonly<
  Record<Processor, Readonly<Record<Role, string>>>
>;

export function resolveRuntime(options: {
  readonly processor: string;
  readonly role: Role;
  readonly nodeModules: string;
}): Runtime;

export function decideInstall(options: {
  readonly processor: string;
  readonly nodeModules: string;
  readonly lockFile: string;
}): InstallDecision;
