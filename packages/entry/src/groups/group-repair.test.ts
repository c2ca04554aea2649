import { expect } from 'chai';

import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { HostEntry, MembershipState } from '../hosts/host-entry.js';
import type { GroupBeliefs } from './group-beliefs.js';
import { repairOf } from './group-repair.js';
import { replicaGroups } from './replica-groups.js';

const PROFILE: EngineProfile = {
  models: [{ name: 'm', size: 2, pace: 1, workShare: 1, loadMs: 1, warmMs: 1 }],
  slots: 1,
  loadsPerSecond: 1,
  loadsAtOnce: 1,
};

function member(id: string, rank: number, state: MembershipState, accepting = true): HostEntry {
  return {
    id,
    service: 'lm',
    ip: '127.0.0.1',
    port: 1,
    failureDomain: 'a',
    accepting,
    fabricDomain: 'd0',
    stagedModels: [],
    loadedModel: 'm',
    membership: { group: 'g', epoch: 1, rank, state },
  };
}

function repair(hosts: readonly HostEntry[], change: Partial<GroupBeliefs> = {}): string {
  const beliefs: GroupBeliefs = {
    formations: new Map(),
    stagings: new Map(),
    heads: new Map(),
    incompleteSince: new Map(),
    silent: new Set(),
    justBack: new Set(),
    unlisted: new Map(),
    busy: new Set(),
    loadsLeft: 1,
    ...change,
  };
  const [group] = replicaGroups(hosts);
  const planned = group === undefined ? undefined : repairOf(group, PROFILE, beliefs, 10_000);
  return planned === undefined ? 'nothing' : `${planned.order.kind} ${planned.reason}`;
}

describe('repair of a group', () => {
  const open = [member('h', 0, 'open'), member('x', 1, 'ready')];

  it('leaves a whole group alone', () => {
    expect(repair(open)).to.equal('nothing');
  });

  it('dissolves it at the head when a member is gone or silent', () => {
    expect(repair([member('h', 0, 'open')])).to.equal('leave member-lost');
    expect(repair(open, { silent: new Set(['x']) })).to.equal('leave member-lost');
  });

  it('keeps it while a member whose entry went still answers', () => {
    const unlisted = new Map([['x', member('x', 1, 'ready')]]);
    expect(repair([member('h', 0, 'open')], { unlisted })).to.equal('nothing');
  });

  it('leaves it alone when the head is out of reach, or was until a moment ago', () => {
    expect(repair(open, { silent: new Set(['h', 'x']) })).to.equal('nothing');
    const justBack = new Set(['h']);
    expect(repair(open, { silent: new Set(['x']), justBack })).to.equal('nothing');
  });

  it('closes it when a member is leaving, so that requests in progress finish', () => {
    const leaving = [member('h', 0, 'open'), member('x', 1, 'ready', false)];
    expect(repair(leaving)).to.equal('close member-leaving');
  });

  it('opens it when all members are ready', () => {
    const ready = [member('h', 0, 'ready'), member('x', 1, 'ready')];
    expect(repair(ready)).to.equal('open members-ready');
  });
});
