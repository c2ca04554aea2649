/** Tests that a model whose loads crash their hosts is held back, and that unrelated losses of hosts do not count. */
import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import { testHost } from '../testing/groups.js';
import type { FleetView } from './fleet-view.js';
import { LoadCrashes } from './load-crashes.js';

const LOAD_MS = 4_000;
const NO_PROBED_HOSTS = { unresponsiveHosts: new Map<string, number>(), unlistedHosts: new Map() };

describe('loads that crash their hosts', () => {
  let crashes: LoadCrashes;
  let now: number;
  let nextHost: number;

  beforeEach(() => {
    crashes = new LoadCrashes(silentLog());
    now = 100_000;
    nextHost = 0;
  });

  function loadable(): readonly string[] {
    const models = ['m1', 'm2'].map(name => ({ name }));
    const fleet = { profile: { models } } as unknown as FleetView;
    return crashes.withoutHeldModels(fleet, now).profile.models.map(({ name }) => name);
  }

  function crash(model: string, fabricDomain = `d${nextHost}`): void {
    const host = testHost(`h${nextHost++}`, { fabricDomain });
    crashes.noteHostLost({ model, host, since: now }, true, now + LOAD_MS);
    now += LOAD_MS;
  }

  it('hold back their model, and no other, after three crashes', () => {
    crash('m1');
    crash('m1');
    expect(loadable()).to.deep.equal(['m1', 'm2']);
    crash('m1');
    expect(loadable()).to.deep.equal(['m2']);
  });

  it('allow another load of the model after a pause that doubles', () => {
    ['m1', 'm1', 'm1'].forEach(model => {
      crash(model);
    });
    now += 30_001;
    expect(loadable()).to.include('m1');
    crash('m1');
    now += 30_001;
    expect(loadable()).to.not.include('m1');
    now += 30_000;
    expect(loadable()).to.include('m1');
  });

  it('do not count once a host has completed a load of the model', () => {
    crash('m1');
    crash('m1');
    crashes.noteLoadCompleted('m1');
    crash('m1');
    crash('m1');
    expect(loadable()).to.include('m1');
  });

  it('count once where the hosts are lost at the same moment', () => {
    for (let index = 0; index < 5; index++) {
      const host = testHost(`h${index}`, { fabricDomain: `d${index}` });
      crashes.noteHostLost({ model: 'm1', host, since: now - LOAD_MS }, true, now + index);
    }
    expect(loadable()).to.include('m1');
  });

  it('count only where a host whose entry was removed does not answer', () => {
    const hosts = ['a', 'b', 'c', 'd'].map((id, index) =>
      testHost(id, { fabricDomain: `d${index}` }),
    );
    hosts.forEach(host => {
      crashes.noteHostLost({ model: 'm1', host, since: now - LOAD_MS }, false, now);
      now += 1_500;
    });
    crashes.resolveLosses(
      { ...NO_PROBED_HOSTS, unlistedHosts: new Map(hosts.map(host => [host.id, host])) },
      now,
    );
    crashes.resolveLosses(
      { ...NO_PROBED_HOSTS, unresponsiveHosts: new Map(hosts.map(({ id }) => [id, now])) },
      now,
    );
    expect(loadable()).to.include('m1');
    hosts.forEach(host => {
      crashes.noteHostLost({ model: 'm1', host, since: now - LOAD_MS }, false, now);
      now += 1_500;
      crashes.resolveLosses(
        { ...NO_PROBED_HOSTS, unresponsiveHosts: new Map([[host.id, now]]) },
        now,
      );
    });
    expect(loadable()).to.not.include('m1');
  });
});
