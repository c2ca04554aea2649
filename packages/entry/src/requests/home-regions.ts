/**
 * Home regions that restrict a request: those of its route and those of its workspace.
 *
 * They are read from the configuration in force at each send, not from the one under which the request arrived: a
 * stream may run for many seconds, and its later attempts must stay within regions that an operator declares meanwhile.
 */
import type { RouteTable } from '../configuration/route-table.js';
import type { Route, Workspace } from '../configuration/serving-configuration.js';
import type { HomeRegions } from '../routing/eligibility.js';

/** The values of a request by which its route and workspace are looked up again in a newer configuration. */
export type AdmissionLookup = {
  readonly hostHeader: string;
  readonly url: string;
  /** Key of the caller; undefined if it sent none. */
  readonly key: string | undefined;
};

/** The route and workspace under which a request was admitted. */
export type Admission = {
  readonly route: Route;
  readonly workspace: Workspace | undefined;
};

/** Looks up the home regions of one request in the configuration in force. */
export class RequestHomeRegions {
  readonly #table: () => RouteTable | undefined;
  readonly #lookup: AdmissionLookup;
  /** Route and workspace from the newest configuration that had them; they still apply after their removal. */
  #latestAdmission: Admission;
  #resolvedTable: RouteTable | undefined;
  #homeRegions: HomeRegions;

  /** `table` returns the configuration in force. */
  constructor(table: () => RouteTable | undefined, lookup: AdmissionLookup, admission: Admission) {
    this.#table = table;
    this.#lookup = lookup;
    this.#latestAdmission = admission;
    this.#homeRegions = homeRegionsOf(admission);
  }

  /** The home regions by the configuration in force now. */
  current(): HomeRegions {
    const table = this.#table();
    if (table !== undefined && table !== this.#resolvedTable) {
      this.#resolvedTable = table;
      this.#latestAdmission = this.#lookUpAdmission(table);
      this.#homeRegions = homeRegionsOf(this.#latestAdmission);
    }
    return this.#homeRegions;
  }

  #lookUpAdmission(table: RouteTable): Admission {
    const { hostHeader, url, key } = this.#lookup;
    const workspace = key === undefined ? undefined : table.workspaceOf(key);
    return {
      route: table.routeOf(hostHeader, url) ?? this.#latestAdmission.route,
      workspace: workspace ?? this.#latestAdmission.workspace,
    };
  }
}

function homeRegionsOf({ route, workspace }: Admission): HomeRegions {
  const lists = [route.homeRegions, workspace?.homeRegions ?? []];
  return lists.filter(regions => regions.length > 0);
}
