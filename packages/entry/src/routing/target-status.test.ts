import { expect } from 'chai';

import type { Service } from '../configuration/serving-configuration.js';
import type { HostEntry, MembershipState } from '../hosts/host-entry.js';
import { HostRegistry } from '../hosts/host-registry.js';
import { silentLog } from '../server/log.js';
import { testHost, testHostReading } from '../testing/groups.js';
import { HostActivities } from './host-activity.js';
import { TargetChooser } from './target-chooser.js';
import { describeStatuses } from './target-status.js';

describe('status of the targets of a request', () => {
  it('is formatted as the number of targets by status', () => {
    const statuses = ['tried', 'tried', 'draining', 'evacuated', 'evacuated'] as const;
    expect(describeStatuses(statuses)).to.equal('tried:2,draining:1,evacuated:2');
    expect(describeStatuses([])).to.equal('');
  });
});

describe('a chooser without an eligible target', () => {
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
    const registry = new HostRegistry(
      (_, value) => testHostReading(value as HostEntry),
      silentLog(),
    );
    const objects = hosts.map(value => ({ name: value.id, revision: 1, value }));
    registry.applyList({ objects, revision: 1 });
    return new TargetChooser(registry, new HostActivities(), {
      failureDomain: 'a',
      eligibility: host => (host.failureDomain === 'evacuated-domain' ? 'evacuated' : 'eligible'),
      peerRequestsAt: () => 0,
    });
  }

  const query = { service, model: 'm', homeRegions: [], exclude: new Set(['tried']) };

  it('returns the status of each open group, including the ones already tried', () => {
    const chooser = chooserOf(head('tried', 'b', 'open'), head('h', 'evacuated-domain', 'open'));
    expect(chooser.availability(query)).to.deep.equal({
      statuses: ['tried', 'evacuated'],
      formingMs: undefined,
      backoffMs: undefined,
    });
  });

  it('returns when the first forming group whose head may receive the request will serve', () => {
    const hosts = [
      head('x', 'evacuated-domain', 'joining'),
      head('y', 'b', 'joining'),
      head('z', 'b', 'ready'),
    ];
    const { statuses, formingMs } = chooserOf(...hosts).availability(query);
    expect(statuses).to.deep.equal([]);
    expect(formingMs).to.be.within(1, 1_000);
    const [evacuatedHead] = hosts;
    expect(chooserOf(evacuatedHead as HostEntry).availability(query).formingMs).to.equal(undefined);
    const another = chooserOf(...hosts).availability({ ...query, model: 'another' });
    expect(another.formingMs).to.equal(undefined);
  });
});
