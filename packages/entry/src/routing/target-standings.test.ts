/** What a request that gets no target is told, and whether it waits. */
import { expect } from 'chai';

import type { Service } from '../configuration/serving-configuration.js';
import type { HostEntry, MembershipState } from '../hosts/host-entry.js';
import { HostRegistry } from '../hosts/host-registry.js';
import { silentLog } from '../server/log.js';
import { testHost } from '../testing/groups.js';
import { HostActivities } from './host-activity.js';
import { TargetChooser } from './target-chooser.js';
import { describeStandings, isWorthWaiting, verdictOf } from './target-standings.js';

describe('standings of the targets of a request', () => {
  it('are not waited for when each one is evacuated or outside the home regions', () => {
    const standings = ['evacuated', 'outside-home-regions', 'tried'] as const;
    expect(isWorthWaiting({ standings, forming: 0 })).to.equal(false);
  });

  it('are waited for while a group forms where the request may go', () => {
    expect(isWorthWaiting({ standings: ['evacuated'], forming: 1 })).to.equal(true);
  });

  it('are waited for while one is held back for a moment only', () => {
    expect(isWorthWaiting({ standings: ['evacuated', 'cold-limit'], forming: 0 })).to.equal(true);
    expect(isWorthWaiting({ standings: ['evacuations-unknown'], forming: 0 })).to.equal(true);
  });

  it('are waited for when there are none yet', () => {
    expect(isWorthWaiting({ standings: [], forming: 0 })).to.equal(true);
  });

  it('give the verdict of most of those that were not tried', () => {
    const standings = ['tried', 'tried', 'draining', 'evacuated', 'evacuated'] as const;
    expect(verdictOf({ standings, forming: 0 })).to.equal('evacuated');
    expect(describeStandings({ standings, forming: 0 })).to.equal('tried:2,draining:1,evacuated:2');
  });

  it('say so when no host serves the request', () => {
    expect(verdictOf({ standings: [], forming: 0 })).to.equal('no-host');
    expect(verdictOf({ standings: ['tried'], forming: 0 })).to.equal('tried');
  });
});

describe('a chooser with no target to give', () => {
  const model = { name: 'm', size: 1, pace: 1, workShare: 1, loadMs: 1, warmMs: 1 };
  const engine = { models: [model], slots: 1, loadsPerSecond: 1, loadsAtOnce: 1 };
  const service: Service = {
    name: 's',
    maxConnections: 10,
    slowStart: undefined,
    engine: { ...engine, stagedModelsKept: 1 },
  };

  function head(id: string, failureDomain: string, state: MembershipState): HostEntry {
    const membership = { group: `g-${id}`, epoch: 1, rank: 0, state };
    return testHost(id, { service: 's', failureDomain, membership });
  }

  function chooserOf(...hosts: readonly HostEntry[]): TargetChooser {
    const registry = new HostRegistry((_, value) => value as HostEntry, silentLog());
    const objects = hosts.map(value => ({ name: value.id, revision: 1, value }));
    registry.takeList({ objects, revision: 1 });
    return new TargetChooser(registry, new HostActivities(), {
      failureDomain: 'a',
      eligibility: host => (host.failureDomain === 'gone' ? 'evacuated' : 'eligible'),
      othersAt: () => 0,
    });
  }

  const query = { service, model: 'm', homeRegions: [], exclude: new Set(['tried']) };

  it('tells how each open group stands, whether it was tried or not', () => {
    const chooser = chooserOf(head('tried', 'b', 'open'), head('h', 'gone', 'open'));
    expect(chooser.standings(query)).to.deep.equal({
      standings: ['tried', 'evacuated'],
      forming: 0,
    });
  });

  it('counts the groups that form where the request may go', () => {
    const hosts = [
      head('x', 'gone', 'joining'),
      head('y', 'b', 'joining'),
      head('z', 'b', 'ready'),
    ];
    expect(chooserOf(...hosts).standings(query)).to.deep.equal({ standings: [], forming: 2 });
    expect(chooserOf(...hosts).standings({ ...query, model: 'another' }).forming).to.equal(0);
  });
});
