/**
 * Home regions that restrict a request: those of its route and those of its workspace.
 *
 * They are read from the configuration in force at each send, not from the one under which the request
 * arrived: a stream may run for many seconds, and what it still needs must not leave the regions that
 * an operator has meanwhile declared.
 */
import type { RouteTable } from '../configuration/route-table.js';
import type { Route, Workspace } from '../configuration/serving-configuration.js';
import type { HomeRegions } from '../routing/eligibility.js';

/** What a request says, by which its route and workspace are looked up again in a newer configuration. */
export type NamedByRequest = {
  readonly hostHeader: string;
  readonly url: string;
  /** Key of the caller; undefined where it sent none. */
  readonly key: string | undefined;
};

/** The route and workspace under which a request was admitted. */
export type Admission = {
  readonly route: Route;
  readonly workspace: Workspace | undefined;
};

/** Finds the home regions of one request. */
export class RequestHomes {
  readonly #table: () => RouteTable | undefined;
  readonly #named: NamedByRequest;
  /** Route and workspace of the newest configuration that had them: they bind after one is removed. */
  #latest: Admission;
  #resolvedWith: RouteTable | undefined;
  #homes: HomeRegions;

  /** `table` gives the configuration in force. */
  constructor(table: () => RouteTable | undefined, named: NamedByRequest, admission: Admission) {
    this.#table = table;
    this.#named = named;
    this.#latest = admission;
    this.#homes = homesOf(admission);
  }

  /** The regions as of now. */
  inForce(): HomeRegions {
    const table = this.#table();
    if (table !== undefined && table !== this.#resolvedWith) {
      this.#resolvedWith = table;
      this.#latest = this.#admissionBy(table);
      this.#homes = homesOf(this.#latest);
    }
    return this.#homes;
  }

  #admissionBy(table: RouteTable): Admission {
    const { hostHeader, url, key } = this.#named;
    const workspace = key === undefined ? undefined : table.workspaceOf(key);
    return {
      route: table.routeOf(hostHeader, url) ?? this.#latest.route,
      workspace: workspace ?? this.#latest.workspace,
    };
  }
}

function homesOf({ route, workspace }: Admission): HomeRegions {
  const all = [route.homeRegions, workspace?.homeRegions ?? []];
  return all.filter(regions => regions.length > 0);
}
