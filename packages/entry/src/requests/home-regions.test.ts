import { expect } from 'chai';

import { RouteTable } from '../configuration/route-table.js';
import type { Route, Workspace } from '../configuration/serving-configuration.js';
import { RequestHomeRegions } from './home-regions.js';

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const LOOKUP = { hostHeader: 'models.example', url: '/chat/x', key: 'k' };

/** Home regions of the route and of the workspace in a table; undefined: the table lacks it. */
type DeclaredRegions = {
  readonly route?: readonly string[];
  readonly workspace?: readonly string[];
};

function routeWith(homeRegions: readonly string[]): Route {
  return {
    name: 'chat',
    host: 'models.example',
    pathPrefix: '/chat/',
    kind: 'stream',
    resumable: true,
    timeoutMs: 1_000,
    objectiveMs: 100,
    gapTargetMs: 100,
    priority: 1,
    targets: [{ service: 's', weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    homeRegions,
  };
}

function workspaceWith(homeRegions: readonly string[]): Workspace {
  return { name: 'north', keys: ['k'], priority: undefined, homeRegions };
}

function tableWith({ route, workspace }: DeclaredRegions): RouteTable {
  return new RouteTable({
    version: 1,
    routes: route === undefined ? [] : [routeWith(route)],
    services: [],
    workspaces: workspace === undefined ? [] : [workspaceWith(workspace)],
    limits: LIMITS,
  });
}

describe('home regions of a request', () => {
  const admission = { route: routeWith(['north']), workspace: workspaceWith(['east']) };

  it('are those of its route and of its workspace, and both apply', () => {
    const table = tableWith({ route: ['north'], workspace: ['east'] });
    const homes = new RequestHomeRegions(() => table, LOOKUP, admission);
    expect(homes.current()).to.deep.equal([['north'], ['east']]);
  });

  it('are none if neither declares any', () => {
    const table = tableWith({ route: [], workspace: [] });
    const homes = new RequestHomeRegions(() => table, LOOKUP, admission);
    expect(homes.current()).to.deep.equal([]);
  });

  it('are read from the configuration in force at each call', () => {
    let table = tableWith({ route: ['north'], workspace: ['east'] });
    const homes = new RequestHomeRegions(() => table, LOOKUP, admission);
    homes.current();
    table = tableWith({ route: ['south'], workspace: [] });
    expect(homes.current()).to.deep.equal([['south']]);
  });

  it('still apply after the route or the key has been removed', () => {
    let table = tableWith({ route: ['south'], workspace: ['west'] });
    const homes = new RequestHomeRegions(() => table, LOOKUP, admission);
    homes.current();
    table = tableWith({});
    expect(homes.current()).to.deep.equal([['south'], ['west']]);
  });
});
