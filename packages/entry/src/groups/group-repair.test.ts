import { expect } from 'chai';

import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { HostEntry, MembershipState } from '../hosts/host-entry.js';
import { testHost, testKnownState } from '../testing/groups.js';
import { planRelease, planRepair } from './group-repair.js';
import type { KnownGroupState } from './known-group-state.js';
import { collectReplicaGroups } from './replica-groups.js';

const PROFILE: EngineProfile = {
  models: [{ name: 'm', size: 2, pace: 1, workShare: 1, loadMs: 1, warmMs: 1 }],
  slots: 1,
  loadsPerSecond: 1,
  loadsAtOnce: 1,
  stagedModelsKept: 1,
};

function member(id: string, rank: number, state: MembershipState, accepting = true): HostEntry {
  return testHost(id, { accepting, membership: { group: 'g', epoch: 1, rank, state } });
}

function repair(hosts: readonly HostEntry[], change: Partial<KnownGroupState> = {}): string {
  const known = testKnownState(change);
  const [group] = collectReplicaGroups(hosts);
  const planned = group === undefined ? undefined : planRepair(group, PROFILE, known, 10_000);
  return planned === undefined ? 'nothing' : `${planned.order.kind} ${planned.reason}`;
}

function release(change: Partial<KnownGroupState>, missingForMs: number): readonly string[] {
  const head = { host: member('h', 0, 'open'), missingSince: 10_000 - missingForMs, left: false };
  const known = testKnownState({ heads: new Map([['g', head]]), ...change });
  const members = [member('x', 1, 'ready')];
  const [group] = collectReplicaGroups(members);
  const planned = group === undefined ? [] : planRelease(group, known, 10_000);
  return planned.map(({ host, order }) => `${host.id} ${order.kind}`);
}

describe('release of the members of a group without its head', () => {
  it('orders them to leave, since the head may still serve requests', () => {
    expect(release({}, 5_000)).to.deep.equal(['x leave']);
  });

  it('does not wait until the entry is removed where the head itself does not answer', () => {
    const open = [member('h', 0, 'open'), member('x', 1, 'ready')];
    const [group] = collectReplicaGroups(open);
    const released = (silentForMs: number): readonly string[] => {
      const silent = new Map([['h', 10_000 - silentForMs]]);
      const planned =
        group === undefined
          ? []
          : planRelease(group, testKnownState({ unresponsiveHosts: silent }), 10_000);
      return planned.map(({ host, order }) => `${host.id} ${order.kind}`);
    };
    expect(released(200)).to.deep.equal([]);
    expect(released(1_000)).to.deep.equal(['x leave']);
  });

  it('waits while the entry of the head may be written again', () => {
    expect(release({}, 1_000)).to.deep.equal([]);
    expect(release({ entriesMayReturn: true }, 5_000)).to.deep.equal([]);
  });

  it('waits where most entries of the fabric domain were removed at once, as in a network partition', () => {
    expect(release({ lapsedDomains: new Set(['d0']) }, 5_000)).to.deep.equal([]);
    expect(release({ lapsedDomains: new Set(['d1']) }, 5_000)).to.deep.equal(['x leave']);
  });

  it('waits where a member has only just begun to answer again, since the head may do so too', () => {
    const open = [member('h', 0, 'open'), member('x', 1, 'ready')];
    const [group] = collectReplicaGroups(open);
    const silent = new Map([['h', 5_000]]);
    const known = testKnownState({ unresponsiveHosts: silent, recoveredHosts: new Set(['x']) });
    expect(group === undefined ? undefined : planRelease(group, known, 10_000)).to.deep.equal([]);
  });
});

describe('repair of a group', () => {
  it('waits for the answer of a member whose entry was removed, and decides by it', () => {
    const hosts = [member('h', 0, 'open')];
    const departed = member('x', 1, 'ready');
    expect(repair(hosts, { hostsBeingProbed: [departed] })).to.equal('nothing');
    expect(repair(hosts, { unlistedHosts: new Map([['x', departed]]) })).to.equal('nothing');
    expect(repair(hosts, {})).to.equal('leave member-lost');
  });

  const open = [member('h', 0, 'open'), member('x', 1, 'ready')];

  it('plans no order for a complete group', () => {
    expect(repair(open)).to.equal('nothing');
  });

  it('orders the head to leave when a member is missing or does not answer', () => {
    expect(repair([member('h', 0, 'open')])).to.equal('leave member-lost');
    expect(repair(open, { unresponsiveHosts: new Map([['x', 9_000]]) })).to.equal(
      'leave member-lost',
    );
  });

  it('keeps the group after an outage of the store while the entry of a member may be written again', () => {
    const headOnly = [member('h', 0, 'open')];
    expect(repair(headOnly, { entriesMayReturn: true })).to.equal('nothing');
    expect(
      repair(open, { entriesMayReturn: true, unresponsiveHosts: new Map([['x', 9_000]]) }),
    ).to.equal('leave member-lost');
  });

  it('keeps the group while a member whose entry was removed still answers', () => {
    const unlisted = new Map([['x', member('x', 1, 'ready')]]);
    expect(repair([member('h', 0, 'open')], { unlistedHosts: unlisted })).to.equal('nothing');
  });

  it('plans no order when the head is unreachable, or was until a moment ago', () => {
    const unresponsive = new Map([
      ['h', 9_000],
      ['x', 9_000],
    ]);
    expect(repair(open, { unresponsiveHosts: unresponsive })).to.equal('nothing');
    const justBack = new Set(['h']);
    expect(
      repair(open, { unresponsiveHosts: new Map([['x', 9_000]]), recoveredHosts: justBack }),
    ).to.equal('nothing');
  });

  it('closes the group when a member is leaving, so that requests in progress finish', () => {
    const leaving = [member('h', 0, 'open'), member('x', 1, 'ready', false)];
    expect(repair(leaving)).to.equal('close member-leaving');
  });

  it('gives requests time to finish before it dissolves a group for another', () => {
    const closing = [member('h', 0, 'closing'), member('x', 1, 'ready')];
    const dissolvingFor = (ms: number): ReadonlyMap<string, number> =>
      new Map([['g', 10_000 - ms]]);
    expect(repair(open, { dissolving: dissolvingFor(0) })).to.equal('close needed-elsewhere');
    expect(repair(closing, { dissolving: dissolvingFor(300) })).to.equal('nothing');
    expect(repair(closing, { dissolving: dissolvingFor(1_000) })).to.equal(
      'leave needed-elsewhere',
    );
    const done = [member('h', 0, 'ready'), member('x', 1, 'ready')];
    expect(repair(done, { dissolving: dissolvingFor(300) })).to.equal('leave needed-elsewhere');
  });

  it('opens the group when all members are ready', () => {
    const ready = [member('h', 0, 'ready'), member('x', 1, 'ready')];
    expect(repair(ready)).to.equal('open members-ready');
  });
});
