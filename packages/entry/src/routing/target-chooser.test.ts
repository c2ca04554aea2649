import { expect } from 'chai';

import type { Service } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { HostRegistry } from '../hosts/host-registry.js';
import { silentLog } from '../server/log.js';
import { Counters } from '../server/metrics.js';
import { testHost, testHostReading } from '../testing/groups.js';
import { HostActivities } from './host-activity.js';
import type { OutlierVerdict } from './outlier-reports.js';
import { SubsetChoice } from './subset-choice.js';
import { TargetChooser } from './target-chooser.js';

const SERVICE: Service = {
  name: 's',
  maxConnections: 10,
  slowStart: undefined,
  engine: undefined,
};
const NO_HOSTS: ReadonlySet<string> = new Set();

function registryOf(
  names: readonly string[],
  domainOf: (name: string) => string = () => 'a',
): HostRegistry {
  const registry = new HostRegistry(
    (id, value) => testHostReading({ ...(value as HostEntry), id }),
    silentLog(),
  );
  const value = { service: 's', ip: '127.0.0.1', port: 1, accepting: true };
  const objects = names.map(name => ({
    name,
    revision: 1,
    value: { ...value, failureDomain: domainOf(name) },
  }));
  registry.applyList({ objects, revision: 1 });
  return registry;
}

describe('choice of a target', () => {
  const names = Array.from({ length: 10 }, (_, index) => `h${index}`);

  it('spreads the requests of many entry hosts that know the same loads', () => {
    const registry = registryOf(names);
    const loads = new Map(names.map((name, index) => [name, index]));
    const requestsByHost = new Map<string, number>();
    for (let host = 0; host < 200; host++) {
      const chooser = new TargetChooser(registry, new HostActivities(), {
        failureDomain: 'a',
        eligibility: () => 'eligible',
        peerRequestsAt: id => loads.get(id) ?? 0,
      });
      const target = chooser.choose({
        service: SERVICE,
        model: undefined,
        homeRegions: [],
        exclude: NO_HOSTS,
      });
      const id = target?.host.id ?? '';
      requestsByHost.set(id, (requestsByHost.get(id) ?? 0) + 1);
    }
    expect(
      Math.max(...requestsByHost.values()),
      'requests at the least loaded host',
    ).to.be.lessThan(100);
    expect(requestsByHost.get('h9') ?? 0, 'requests at the most loaded host').to.be.lessThan(10);
  });

  it('chooses an avoided host only if there is no other', () => {
    const activities = new HostActivities();
    const chooser = new TargetChooser(registryOf(['good', 'bad']), activities, {
      failureDomain: 'a',
      eligibility: () => 'eligible',
      peerRequestsAt: id => (id === 'good' ? 50 : 0),
    });
    activities.noteFailure('bad');
    const query = { service: SERVICE, model: undefined, homeRegions: [] };
    for (let request = 0; request < 20; request++) {
      expect(chooser.choose({ ...query, exclude: NO_HOSTS })?.host.id).to.equal('good');
    }
    expect(chooser.choose({ ...query, exclude: new Set(['good']) })?.host.id).to.equal('bad');
  });

  it('avoids a failure domain once several of its hosts are unreachable', () => {
    const activities = new HostActivities();
    const registry = registryOf(names, name => (Number(name[1]) < 8 ? 'b' : 'a'));
    const chooser = new TargetChooser(registry, activities, {
      failureDomain: 'a',
      eligibility: () => 'eligible',
      peerRequestsAt: id => (registry.get(id)?.failureDomain === 'a' ? 50 : 0),
    });
    const hostOf = (name: string): HostEntry => registry.get(name) as HostEntry;
    const chosenDomains = (): Set<string | undefined> => {
      const query = { service: SERVICE, model: undefined, homeRegions: [], exclude: NO_HOSTS };
      const targets = Array.from({ length: 40 }, () => chooser.choose(query));
      return new Set(targets.map(target => target?.host.failureDomain));
    };
    activities.noteUnreachable(hostOf('h0'));
    activities.noteUnreachable(hostOf('h1'));
    expect(chosenDomains()).to.include('b');
    activities.noteUnreachable(hostOf('h2'));
    expect([...chosenDomains()]).to.deep.equal(['a']);
    activities.noteProgress(hostOf('h3'));
    expect(chosenDomains()).to.include('b');
  });

  function chooserWith(verdicts: ReadonlyMap<string, OutlierVerdict>): () => Set<string> {
    const chooser = new TargetChooser(registryOf(names), new HostActivities(), {
      failureDomain: 'a',
      eligibility: () => 'eligible',
      peerRequestsAt: id => (verdicts.has(id) ? 0 : 50),
      outlier: ({ host }) => verdicts.get(host.id),
    });
    return () => {
      const query = { service: SERVICE, model: undefined, homeRegions: [], exclude: NO_HOSTS };
      const targets = Array.from({ length: 200 }, () => chooser.choose(query));
      return new Set(targets.map(target => target?.host.id ?? ''));
    };
  }

  it('excludes the slowest reported targets, but keeps most if many are slow', () => {
    const verdicts = new Map<string, OutlierVerdict>();
    const chosenHosts = chooserWith(verdicts);
    verdicts.set('h0', { reporters: 2, isUnreachable: false });
    verdicts.set('h1', { reporters: 9, isUnreachable: false });
    expect(chosenHosts().has('h0')).to.equal(false);
    expect(chosenHosts().has('h1')).to.equal(false);
    for (let index = 2; index < 9; index++) {
      verdicts.set(`h${index}`, { reporters: index, isUnreachable: false });
    }
    expect([...chosenHosts()].sort()).to.deep.equal(['h0', 'h2', 'h3', 'h4', 'h5', 'h6', 'h7']);
  });

  it('excludes all unreachable targets as long as another one is left', () => {
    const verdicts = new Map<string, OutlierVerdict>();
    const chosenHosts = chooserWith(verdicts);
    for (let index = 0; index < 9; index++) {
      verdicts.set(`h${index}`, { reporters: 2, isUnreachable: true });
    }
    expect([...chosenHosts()]).to.deep.equal(['h9']);
    verdicts.set('h9', { reporters: 2, isUnreachable: true });
    expect(chosenHosts().size).to.be.greaterThan(1);
  });

  it('avoids a group that lacks a member', () => {
    const model = { name: 'm', size: 2, pace: 1, workShare: 1, loadMs: 1, warmMs: 1 };
    const engine = { models: [model], slots: 1, loadsPerSecond: 1, loadsAtOnce: 1 };
    const service: Service = { ...SERVICE, engine: { ...engine, stagedModelsKept: 1 } };
    const registry = new HostRegistry(
      (_, value) => testHostReading(value as HostEntry),
      silentLog(),
    );
    const member = (id: string, group: string, rank: number): HostEntry =>
      testHost(id, { service: 's', membership: { group, epoch: 1, rank, state: 'open' } });
    const hosts = [member('whole', 'g1', 0), member('x', 'g1', 1), member('lacking', 'g2', 0)];
    const objects = hosts.map(value => ({ name: value.id, revision: 1, value }));
    registry.applyList({ objects, revision: 1 });
    let lackingGroups = new Set(['g2']);
    const chooser = new TargetChooser(registry, new HostActivities(), {
      failureDomain: 'a',
      eligibility: () => 'eligible',
      peerRequestsAt: id => (id === 'whole' ? 100 : 0),
      lacksMember: group => lackingGroups.has(group.name),
    });
    const query = { service, model: 'm', homeRegions: [], exclude: NO_HOSTS };
    expect(chooser.choose(query)?.host.id).to.equal('whole');
    const lostGroups = (): string[] =>
      chooser
        .groupsOf('s')
        .filter(group => chooser.isLost({ host: group.head as HostEntry, group }))
        .map(group => group.name);
    expect(lostGroups()).to.deep.equal(['g2']);
    lackingGroups = new Set();
    expect(lostGroups()).to.deep.equal([]);
    expect(chooser.choose(query)?.host.id).to.equal('lacking');
  });

  it('considers a host lost once its entry is removed', () => {
    const registry = registryOf(['h0', 'h1']);
    const chooser = new TargetChooser(registry, new HostActivities(), {
      failureDomain: 'a',
      eligibility: () => 'eligible',
      peerRequestsAt: () => 0,
    });
    const target = { host: registry.get('h0') as HostEntry, group: undefined };
    expect(chooser.isLost(target)).to.equal(false);
    const object = { name: 'h0', revision: 2, value: null };
    registry.applyChanges([{ object, deleted: true }]);
    expect(chooser.isLost(target)).to.equal(true);
  });

  it('uses the current hosts after each change of the registry', () => {
    const registry = registryOf(['h0']);
    const chooser = new TargetChooser(registry, new HostActivities(), {
      failureDomain: 'a',
      eligibility: () => 'eligible',
      peerRequestsAt: () => 0,
    });
    const query = { service: SERVICE, model: undefined, homeRegions: [], exclude: NO_HOSTS };
    expect(chooser.choose(query)?.host.id).to.equal('h0');
    registry.applyChanges([{ object: { name: 'h0', revision: 2, value: null }, deleted: true }]);
    expect(chooser.choose(query)).to.equal(undefined);
    const value = { service: 's', accepting: true, failureDomain: 'a' };
    registry.applyChanges([{ object: { name: 'h1', revision: 3, value }, deleted: false }]);
    expect(chooser.choose(query)?.host.id).to.equal('h1');
  });

  it('expects the shortest known time to the first event, or undefined if one is not known', () => {
    const activities = new HostActivities();
    const chooser = new TargetChooser(registryOf(['h0', 'h1']), activities, {
      failureDomain: 'a',
      eligibility: () => 'eligible',
      peerRequestsAt: () => 0,
    });
    const query = { service: SERVICE, model: undefined, homeRegions: [], exclude: NO_HOSTS };
    activities.noteFirstResponse('h0', 300, 's/');
    expect(chooser.expectedFirstMs(query)).to.equal(undefined);
    activities.noteFirstResponse('h1', 200, 's/');
    expect(chooser.expectedFirstMs(query)).to.equal(200);
  });

  it('assumes the usual speed for a host without observed times, not a higher one', () => {
    const activities = new HostActivities();
    const chooser = new TargetChooser(registryOf(['known', 'new']), activities, {
      failureDomain: 'a',
      eligibility: () => 'eligible',
      peerRequestsAt: id => (id === 'new' ? 4 : 0),
    });
    for (let request = 0; request < 20; request++) {
      activities.noteFirstResponse('known', 200, 's/');
    }
    const query = { service: SERVICE, model: undefined, homeRegions: [], exclude: NO_HOSTS };
    for (let request = 0; request < 20; request++) {
      expect(chooser.choose(query)?.host.id).to.equal('known');
    }
  });

  it('chooses by load if only one late first event was observed at a host', () => {
    const activities = new HostActivities();
    const chooser = new TargetChooser(registryOf(['late', 'busy']), activities, {
      failureDomain: 'a',
      eligibility: () => 'eligible',
      peerRequestsAt: id => (id === 'busy' ? 17 : 10),
    });
    for (let request = 0; request < 20; request++) {
      activities.noteFirstResponse('elsewhere', 300, 's/');
    }
    activities.noteFirstResponse('late', 600, 's/');
    const query = { service: SERVICE, model: undefined, homeRegions: [], exclude: NO_HOSTS };
    const chosenHosts = Array.from({ length: 20 }, () => chooser.choose(query)?.host.id);
    expect(chosenHosts.filter(id => id === 'late').length).to.be.greaterThan(15);
  });

  it('builds the list of targets once for each version of the registry', () => {
    const registry = registryOf(names);
    const chooser = new TargetChooser(registry, new HostActivities(), {
      failureDomain: 'a',
      eligibility: () => 'eligible',
      peerRequestsAt: () => 0,
    });
    let lists = 0;
    const ofService = registry.ofService.bind(registry);
    registry.ofService = service => {
      lists += 1;
      return ofService(service);
    };
    for (let request = 0; request < 50; request++) {
      chooser.choose({ service: SERVICE, model: undefined, homeRegions: [], exclude: NO_HOSTS });
    }
    expect(lists).to.equal(1);
  });
});

describe('choice with a preferred subset of targets', () => {
  const names = Array.from({ length: 20 }, (_, index) => `h${index}`);
  const members = Array.from({ length: 60 }, (_, index) => `e${index}`);
  const query = { service: SERVICE, model: undefined, homeRegions: [] };

  /** State of all hosts, which the tests change. */
  type Fleet = {
    readonly unreachable: Set<string>;
    readonly draining: Set<string>;
    readonly loads: Map<string, number>;
    readonly connected: Set<string>;
    readonly activities: HostActivities;
  };

  function healthyFleet(): Fleet {
    return {
      unreachable: new Set(),
      draining: new Set(),
      loads: new Map(),
      connected: new Set(),
      activities: new HostActivities(),
    };
  }

  function chooserOf(
    { unreachable, draining, loads, connected, activities }: Fleet,
    counters = new Counters(),
  ): TargetChooser {
    const connections = {
      // So short that the request rate of this test does not enlarge the subset.
      idleMs: () => 1,
      isConnected: ({ id }: HostEntry) => connected.size === 0 || connected.has(id),
    };
    return new TargetChooser(registryOf(names), activities, {
      failureDomain: 'a',
      eligibility: ({ id }) => (draining.has(id) ? 'draining' : 'eligible'),
      peerRequestsAt: id => loads.get(id) ?? 0,
      outlier: ({ host }) =>
        unreachable.has(host.id) ? { reporters: 3, isUnreachable: true } : undefined,
      subsets: new SubsetChoice({
        self: 'e7',
        membership: { names: members },
        connections,
        counters,
      }),
    });
  }

  function chosenHosts(chooser: TargetChooser, exclude = NO_HOSTS): ReadonlySet<string> {
    const ids = Array.from({ length: 60 }, () => chooser.choose({ ...query, exclude })?.host.id);
    return new Set(ids.map(id => id ?? 'none'));
  }

  it('chooses only a few hosts while all have the same load', () => {
    const counters = new Counters();
    expect(chosenHosts(chooserOf(healthyFleet(), counters)).size).to.be.within(2, 8);
    expect(counters.value('subset_choices_total', { place: 'subset' })).to.equal(60);
    expect(counters.value('subset_targets_total')).to.be.at.least(180);
  });

  it('chooses other hosts at once if all of the subset are unreachable, draining, failing or excluded', () => {
    const causes: readonly ((state: Fleet, first: ReadonlySet<string>) => ReadonlySet<string>)[] = [
      ({ unreachable }, first) => (first.forEach(id => unreachable.add(id)), NO_HOSTS),
      ({ draining }, first) => (first.forEach(id => draining.add(id)), NO_HOSTS),
      ({ activities }, first) => (first.forEach(id => activities.noteFailure(id)), NO_HOSTS),
      (_, first) => first,
    ];
    for (const makeUnusable of causes) {
      const state = healthyFleet();
      const chooser = chooserOf(state);
      const first = chosenHosts(chooser);
      const exclude = makeUnusable(state, first);
      const next = chosenHosts(chooser, exclude);
      expect([...next].filter(id => first.has(id) || id === 'none')).to.deep.equal([]);
    }
  });

  it('chooses among the remaining hosts, down to the last one', () => {
    const state = healthyFleet();
    const chooser = chooserOf(state);
    names.slice(1).forEach(id => state.draining.add(id));
    expect([...chosenHosts(chooser)]).to.deep.equal(['h0']);
  });

  it('chooses outside the subset if its hosts have a clearly higher load than others', () => {
    const state = healthyFleet();
    const counters = new Counters();
    const chooser = chooserOf(state, counters);
    const first = chosenHosts(chooser);
    first.forEach(id => state.loads.set(id, 20));
    names.filter(id => !first.has(id)).forEach(id => state.loads.set(id, 2));
    const next = chosenHosts(chooser);
    expect([...next].filter(id => first.has(id))).to.deep.equal([]);
    expect(counters.value('subset_choices_total', { place: 'outside' })).to.be.at.least(1);
  });

  it('prefers a host with an open connection to others with the same load', () => {
    const state = healthyFleet();
    const chooser = chooserOf(state);
    const [connected = ''] = chosenHosts(chooser);
    names.forEach(id => state.loads.set(id, 4));
    state.connected.add(connected);
    const chosen = Array.from({ length: 100 }, () => {
      return chooser.choose({ ...query, exclude: NO_HOSTS })?.host.id;
    });
    expect(chosen.filter(id => id === connected).length).to.be.greaterThan(50);
  });
});
