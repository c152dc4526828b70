/**
 * Catalog of the settings in force at an entry: workspaces, services, models
 * and groups by name. It is filled with settings objects, regardless of their
 * source.
 */
import * as objects from "../../settings/objects.ts";

/** The settings of a workspace and the parts of their path. */
export interface CatalogWorkspace {
  /** `<team>/<name>`, as sent by callers. */
  readonly id: string;
  readonly half: string;
  readonly team: string;
  readonly settings: objects.Workspace;
}

export interface Catalog {
  /** Applies a valid object; replaces the object under the same path. */
  setObject(object: objects.SettingsObject): void;
  removeObject(path: objects.SettingsPath): void;
  findWorkspace(half: string, id: string): CatalogWorkspace | undefined;
  listWorkspaces(half: string): readonly CatalogWorkspace[];
  findService(
    workspace: CatalogWorkspace,
    name: string,
  ): objects.Service | undefined;
  findModel(
    workspace: CatalogWorkspace,
    name: string,
  ): objects.Model | undefined;
  /** Finds a group; the definition under the owning half takes precedence. */
  findGroup(name: string, half: string): objects.Group | undefined;
  listGroupNames(): readonly string[];
  /** Settings paths of all groups with this name. */
  listGroupPaths(name: string): readonly string[];
  /** Subtrees that define the group, as `/<half>/<team>`. */
  listGroupSubtrees(name: string): readonly string[];
  /** Half that defines the group; of several, the first in path order. */
  findDefiningHalf(name: string): string | undefined;
  /** Weight of step-time skew set by the half; undefined = the default. */
  findSkewWeight(half: string): number | undefined;
}

/** Creates an empty catalog. */
export function createCatalog(): Catalog {
  const objectsByPath = new Map<string, objects.SettingsObject>();
  const groupPaths = new Map<string, Set<string>>();

  function findContent(
    path: Omit<objects.SettingsPath, "half"> & { readonly half: string },
  ): objects.ObjectContent | undefined {
    const key = `/${path.half}/${path.team}/${path.kind}/${path.name}`;
    return objectsByPath.get(key)?.content;
  }

  function convertWorkspace(
    object: objects.SettingsObject,
  ): CatalogWorkspace | undefined {
    if (object.content.kind !== "workspaces") return undefined;
    const { half, team, name } = object.path;
    return {
      id: `${team}/${name}`,
      half,
      team,
      settings: object.content.value,
    };
  }

  function listGroupObjects(name: string): objects.SettingsObject[] {
    const paths = [...groupPaths.get(name) ?? []].sort();
    return paths.flatMap((path) => objectsByPath.get(path) ?? []);
  }

  return {
    setObject(object) {
      const key = objects.formatSettingsPath(object.path);
      objectsByPath.set(key, object);
      if (object.path.kind !== "groups") return;
      const paths = groupPaths.get(object.path.name) ?? new Set();
      groupPaths.set(object.path.name, paths.add(key));
    },
    removeObject(path) {
      const key = objects.formatSettingsPath(path);
      objectsByPath.delete(key);
      if (path.kind !== "groups") return;
      const paths = groupPaths.get(path.name);
      paths?.delete(key);
      if (paths?.size === 0) groupPaths.delete(path.name);
    },
    findWorkspace(half, id) {
      const [team, name, ...extraParts] = id.split("/");
      if (team === undefined || name === undefined || extraParts.length > 0) {
        return undefined;
      }
      const object = objectsByPath.get(`/${half}/${team}/workspaces/${name}`);
      return object === undefined ? undefined : convertWorkspace(object);
    },
    listWorkspaces(half) {
      return [...objectsByPath.values()]
        .filter((object) => object.path.half === half)
        .flatMap((object) => convertWorkspace(object) ?? []);
    },
    findService(workspace, name) {
      const { half, team } = workspace;
      const content = findContent({ half, team, kind: "services", name });
      return content?.kind === "services" ? content.value : undefined;
    },
    findModel(workspace, name) {
      const { half, team } = workspace;
      const content = findContent({ half, team, kind: "models", name });
      return content?.kind === "models" ? content.value : undefined;
    },
    findGroup(name, half) {
      const defined = listGroupObjects(name);
      const owned = defined.find((object) => object.path.half === half);
      const content = (owned ?? defined[0])?.content;
      return content?.kind === "groups" ? content.value : undefined;
    },
    listGroupNames: () => [...groupPaths.keys()],
    listGroupPaths: (name) => [...groupPaths.get(name) ?? []],
    listGroupSubtrees: (name) =>
      listGroupObjects(name).map(({ path }) => `/${path.half}/${path.team}`),
    findDefiningHalf: (name) => listGroupObjects(name)[0]?.path.half,
    findSkewWeight(half) {
      for (const object of objectsByPath.values()) {
        const isOwn = object.path.half === half;
        if (isOwn && object.content.kind === "weights") {
          return object.content.value.skewWeight;
        }
      }
      return undefined;
    },
  };
}
