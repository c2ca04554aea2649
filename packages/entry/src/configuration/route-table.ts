/** Looks up routes, services and workspaces of one configuration. */
import type {
  CallerLimits,
  Route,
  Service,
  ServingConfiguration,
  Workspace,
} from './serving-configuration.js';

/** One configuration, indexed by host name, service name and key. Immutable. */
export class RouteTable {
  readonly version: number;
  readonly limits: CallerLimits;
  /** False if no workspaces are declared: then no route requires a key. */
  readonly keysRequired: boolean;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #services = new Map<string, Service>();
  readonly #workspaces = new Map<string, Workspace>();

  constructor(configuration: ServingConfiguration) {
    this.version = configuration.version;
    this.limits = configuration.limits;
    this.keysRequired = configuration.workspaces !== undefined;
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#routesByHost.get(host) ?? [];
      routes.push(route);
      this.#routesByHost.set(host, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of configuration.services) {
      this.#services.set(service.name, service);
    }
    for (const workspace of configuration.workspaces ?? []) {
      for (const key of workspace.keys) {
        this.#workspaces.set(key, workspace);
      }
    }
  }

  /** All services of the configuration. */
  get services(): readonly Service[] {
    return [...this.#services.values()];
  }

  /** Returns the route of the host name with the longest prefix that matches the path. */
  routeOf(hostHeader: string, url: string): Route | undefined {
    const host = withoutPort(hostHeader).toLowerCase();
    const path = pathOf(url);
    return this.#routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
  }

  /** Returns a service by its name. */
  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** Returns the workspace that a key belongs to. */
  workspaceOf(key: string): Workspace | undefined {
    return this.#workspaces.get(key);
  }
}

/** Picks one of the route's services at random by weight; `draw` is a random number, uniform in [0, 1). */
export function pickService(route: Route, draw: number): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = draw * total;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) {
      return target.service;
    }
  }
  return route.targets.at(-1)?.service;
}

function withoutPort(hostHeader: string): string {
  const colon = hostHeader.indexOf(':');
  return colon < 0 ? hostHeader : hostHeader.slice(0, colon);
}

function pathOf(url: string): string {
  const query = url.indexOf('?');
  return query < 0 ? url : url.slice(0, query);
}
