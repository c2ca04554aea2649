/** Guards against draining the only serving group, after which callers are refused until another group has loaded. */
import type { DecisionInput, HostSnapshot, HostStateReport } from '@hingescale/core';
import { applyChanges, decide, emptyLedger, setCordon, stateAgeKey } from '@hingescale/core';
import { expect } from 'chai';

import { buildScenario } from './scenario.js';

const GROUP_SIZE = 4;
const CONTENT = { model: 'lm-pool', version: '1', adapters: [] };
const BASE = { reason: '', alternatives: [] };

const { configuration: declared, hosts } = buildScenario('acquiring');
const [{ fabricDomain, failureDomain }] = hosts;
const fabricHosts = hosts.filter(host => host.fabricDomain === fabricDomain);

/**
 * Input with ready group a on the first hosts, an optional group b and some free hosts. The first
 * host is cordoned when the operator drains it, or listed as leaving when the platform reclaims it.
 */
function inputOf(
  other: 'loading' | 'ready' | undefined,
  free: number,
  drainedBy: string,
): DecisionInput {
  const count = GROUP_SIZE * (other === undefined ? 1 : 2);
  const present = fabricHosts.slice(0, count + free);
  const form = (group: string, from: number) =>
    ({
      ...BASE,
      fabricDomain,
      group,
      kind: 'form',
      content: CONTENT,
      members: present.slice(from, from + GROUP_SIZE).map(host => host.id),
    }) as const;
  const ready = (group: string) =>
    ({ ...BASE, fabricDomain, group, kind: 'move', state: 'ready' }) as const;
  const ledger = applyChanges(emptyLedger(fabricDomain, failureDomain), [
    form('a', 0),
    ready('a'),
    ...(other === undefined ? [] : [form('b', GROUP_SIZE)]),
    ...(other === 'ready' ? [ready('b')] : []),
  ]);
  const isOperator = drainedBy === 'operator';
  const snapshots = present.map((host, index): [string, HostSnapshot] => {
    const group = ledger.groups.find(({ members }) => members.includes(host.id));
    const state = index === 0 && !isOperator ? ('leaving' as const) : host.state;
    const report = { host: host.id, incarnation: 'i', group: group?.id ?? null, epoch: 1 };
    return [
      host.id,
      {
        host: { ...host, state },
        report: report as unknown as HostStateReport,
        answerAgeMs: 0,
        silentMs: 0,
        isMissing: false,
        mayReturn: false,
        losses: 0,
      },
    ];
  });
  const cordoned = isOperator ? setCordon(ledger, present[0]?.id ?? '', true) : ledger;
  const model = declared.models.get(CONTENT.model);
  const singleReplica =
    model === undefined ? [] : [[CONTENT.model, { ...model, replicas: 1 }] as const];
  return {
    failureDomain,
    configuration: { ...declared, models: new Map(singleReplica) },
    hosts: new Map(snapshots),
    ledgers: [cordoned],
    ages: new Map(ledger.groups.map(group => [stateAgeKey(group), 1_000])),
    times: { certificateMs: 1_500, drainMs: 60_000 },
    remoteGroups: [],
    absentDomains: [],
  };
}

function ordersOf(input: DecisionInput): string[] {
  return decide(input).map(order =>
    order.kind === 'move' ? `${order.group} ${order.state}` : order.kind,
  );
}

describe('a host that is drained, in the only group of its model', () => {
  it('has its group replaced first, and the replacement does not count as a surplus replica', () => {
    expect(ordersOf(inputOf(undefined, GROUP_SIZE, 'operator'))).to.deep.equal(['form']);
    expect(ordersOf(inputOf('loading', 0, 'operator'))).to.deep.equal([]);
  });

  it('has its group drained once the replacement is ready', () => {
    expect(ordersOf(inputOf('ready', 0, 'operator'))).to.deep.equal(['a draining']);
  });

  it('has its group drained at once where nothing can replace it', () => {
    expect(ordersOf(inputOf(undefined, GROUP_SIZE - 1, 'operator'))).to.include('a draining');
  });

  it('has its group drained only once it is known whether there are free hosts', () => {
    const input = inputOf(undefined, GROUP_SIZE, 'operator');
    const hosts = new Map(
      [...input.hosts].map(([id, snapshot]) => [
        id,
        { ...snapshot, silentMs: 2_000, mayReturn: true },
      ]),
    );
    expect(ordersOf({ ...input, hosts })).to.deep.equal([]);
  });

  it('has its group drained at once where the platform reclaims it', () => {
    expect(ordersOf(inputOf(undefined, GROUP_SIZE, 'platform'))).to.include('a draining');
  });
});
