/**
 * The settings that are in force at an entry, by name: workspaces, services,
 * models and groups. Fed with settings objects; knows nothing of their origin.
 */
import * as objects from "../../settings/objects.ts";

/** A workspace and the path that it stands under. */
export interface CatalogWorkspace {
  /** `<team>/<name>`, as callers name it. */
  readonly id: string;
  readonly half: string;
  readonly team: string;
  readonly settings: objects.Workspace;
}

export interface Catalog {
  /** Takes a valid object into force; replaces the one under the same path. */
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
  /** Groups by name; the definition of the owning half goes first. */
  findGroup(name: string, half: string): objects.Group | undefined;
  listGroupNames(): readonly string[];
  /** Settings paths of the groups of this name. */
  listGroupPaths(name: string): readonly string[];
  /** Subtrees that define a group, `/<half>/<team>`. */
  listGroupSubtrees(name: string): readonly string[];
  /** Half under whose subtree a group was first defined. */
  findDefiningHalf(name: string): string | undefined;
  /** Weight of step-time skew that the half set; undefined = its default. */
  findSkewWeight(half: string): number | undefined;
}

/** Creates an empty catalog. */
export function createCatalog(): Catalog {
  const byPath = new Map<string, objects.SettingsObject>();
  const groupPaths = new Map<string, Set<string>>();

  function find(
    path: Omit<objects.SettingsPath, "half"> & { readonly half: string },
  ): objects.ObjectContent | undefined {
    const key = `/${path.half}/${path.team}/${path.kind}/${path.name}`;
    return byPath.get(key)?.content;
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
    return paths.flatMap((path) => byPath.get(path) ?? []);
  }

  return {
    setObject(object) {
      const key = objects.formatSettingsPath(object.path);
      byPath.set(key, object);
      if (object.path.kind !== "groups") return;
      const paths = groupPaths.get(object.path.name) ?? new Set();
      groupPaths.set(object.path.name, paths.add(key));
    },
    removeObject(path) {
      const key = objects.formatSettingsPath(path);
      byPath.delete(key);
      if (path.kind !== "groups") return;
      const paths = groupPaths.get(path.name);
      paths?.delete(key);
      if (paths?.size === 0) groupPaths.delete(path.name);
    },
    findWorkspace(half, id) {
      const [team, name, ...rest] = id.split("/");
      if (team === undefined || name === undefined || rest.length > 0) {
        return undefined;
      }
      const object = byPath.get(`/${half}/${team}/workspaces/${name}`);
      return object === undefined ? undefined : convertWorkspace(object);
    },
    listWorkspaces(half) {
      return [...byPath.values()]
        .filter((object) => object.path.half === half)
        .flatMap((object) => convertWorkspace(object) ?? []);
    },
    findService(workspace, name) {
      const { half, team } = workspace;
      const content = find({ half, team, kind: "services", name });
      return content?.kind === "services" ? content.value : undefined;
    },
    findModel(workspace, name) {
      const { half, team } = workspace;
      const content = find({ half, team, kind: "models", name });
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
      for (const object of byPath.values()) {
        const isOwn = object.path.half === half;
        if (isOwn && object.content.kind === "weights") {
          return object.content.value.skewWeight;
        }
      }
      return undefined;
    },
  };
}
