import { expect } from 'chai';

import { RouteTable } from '../configuration/route-table.js';
import type { Route, Workspace } from '../configuration/serving-configuration.js';
import { RequestHomes } from './home-regions.js';

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const NAMED = { hostHeader: 'models.example', url: '/chat/x', key: 'k' };

type Homes = { readonly route?: readonly string[]; readonly workspace?: readonly string[] };

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

function tableWith({ route, workspace }: Homes): RouteTable {
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

  it('are those of its route and of its workspace, and both bind', () => {
    const table = tableWith({ route: ['north'], workspace: ['east'] });
    const homes = new RequestHomes(() => table, NAMED, admission);
    expect(homes.inForce()).to.deep.equal([['north'], ['east']]);
  });

  it('are none where neither has some', () => {
    const table = tableWith({ route: [], workspace: [] });
    const homes = new RequestHomes(() => table, NAMED, admission);
    expect(homes.inForce()).to.deep.equal([]);
  });

  it('are those of the configuration in force when they are asked for', () => {
    let table = tableWith({ route: ['north'], workspace: ['east'] });
    const homes = new RequestHomes(() => table, NAMED, admission);
    homes.inForce();
    table = tableWith({ route: ['south'], workspace: [] });
    expect(homes.inForce()).to.deep.equal([['south']]);
  });

  it('bind on when the route or the key is dropped while the request runs', () => {
    let table = tableWith({ route: ['south'], workspace: ['west'] });
    const homes = new RequestHomes(() => table, NAMED, admission);
    homes.inForce();
    table = tableWith({});
    expect(homes.inForce()).to.deep.equal([['south'], ['west']]);
  });
});
