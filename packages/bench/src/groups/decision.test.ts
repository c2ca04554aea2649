/** The group decision on small fakes: legality, convergence, crashes, and golden sessions. */
import type { DecisionInput, Group, LedgerChange } from '@hingescale/core';
import { applyChanges, decide, emptyLedger, reconcile } from '@hingescale/core';
import { expectGolden } from '@hingescale/proofs';
import { expect } from 'chai';
import fc from 'fast-check';

import type { Decide } from './fleet.js';
import { Fleet } from './fleet.js';
import { decideNaively } from './naive.js';
import type { Scenario, ScenarioName } from './scenario.js';
import { scenario } from './scenario.js';
import { makeTrace } from './trace.js';

const USERS: readonly ScenarioName[] = ['acquiring', 'caudal'];
const PROPERTY = { seed: 20261202, numRuns: 12 };

describe('group decision', () => {
  for (const name of USERS) {
    for (const [who, decision] of [
      ['ours', decide],
      ['naive', decideNaively],
    ] as const) {
      it(`${name}, ${who}: every order is legal, whatever happens`, () => {
        fc.assert(
          fc.property(fc.nat(10_000), seed => {
            const fleet = shortened(name, 2);
            const played = new Fleet(fleet, decision, {
              onOrder: order => {
                expectInFabric(fleet, order);
              },
            });
            // Each order is applied by the state machine, and each ledger is checked after it.
            played.run(makeTrace(fleet.hosts, fleet.days, seed));
          }),
          PROPERTY,
        );
      });
    }

    it(`${name}: a fleet that is whole again gets no orders and lacks no replica`, () => {
      fc.assert(
        fc.property(fc.nat(10_000), seed => {
          const played = playedOut(name, decide, seed);
          expect(played.ordersWhenQuiet()).to.deep.equal([]);
          expectAllReady(name, played);
        }),
        PROPERTY,
      );
    });

    it(`${name}: killed at any step, the next holder goes on from the ledger alone`, () => {
      fc.assert(
        fc.property(fc.nat(10_000), fc.infiniteStream(fc.nat(3)), (seed, dice) => {
          const crashes = (): boolean => dice.next().value === 0;
          const played = playedOut(name, decide, seed, crashes);
          expectAllReady(name, played);
        }),
        PROPERTY,
      );
    });

    it(`${name}: golden session of a day`, () => {
      const fleet = shortened(name, 3);
      const lines: string[] = [];
      const onOrder = (order: LedgerChange, at: number): void => {
        lines.push(describeOrder(order, at));
      };
      new Fleet(fleet, decide, { onOrder }).run(makeTrace(fleet.hosts, fleet.days, 11));
      expectGolden(`decision-${name}.txt`, lines.join('\n') + '\n');
    });
  }

  it('members that were not heard yet are not missing', () => {
    const { input, group } = readyGroup(undefined);
    expect(reconcile(input, input.ledgers[0])).to.deep.equal([]);
    expect(group.state).to.equal('ready');
  });

  it('members that fell silent are missing', () => {
    const { input } = readyGroup(2_000);
    expect(reconcile(input, input.ledgers[0])).to.have.nested.property('[0].state', 'suspended');
  });
});

function shortened(name: ScenarioName, days: number): Scenario {
  return { ...scenario(name), days };
}

function playedOut(
  name: ScenarioName,
  decision: Decide,
  seed: number,
  crashes?: () => boolean,
): Fleet {
  const fleet = shortened(name, 1);
  const played = new Fleet(fleet, decision, { crashes });
  played.run(makeTrace(fleet.hosts, fleet.days, seed));
  played.calmDown();
  return played;
}

function expectAllReady(name: ScenarioName, played: Fleet): void {
  const groups = played.ledgers().flatMap(ledger => ledger.groups);
  expect(groups.map(group => group.state)).to.deep.equal(groups.map(() => 'ready'));
  for (const [model, { replicas }] of scenario(name).configuration.models) {
    expect(groups.filter(group => group.content.model === model)).to.have.length(replicas);
  }
}

function expectInFabric(fleet: Scenario, order: LedgerChange): void {
  if (order.kind !== 'form') {
    return;
  }
  const hosts = new Map(fleet.hosts.map(host => [host.id, host]));
  const model = fleet.configuration.models.get(order.content.model);
  expect(order.members).to.have.length(model?.hosts ?? 0);
  for (const member of order.members) {
    expect(hosts.get(member)?.fabricDomain).to.equal(order.fabricDomain);
  }
}

function describeOrder(order: LedgerChange, at: number): string {
  const what = order.kind === 'move' ? `move to ${order.state}` : order.kind;
  return `${at.toFixed(1).padStart(9)} ${order.group || order.fabricDomain}: ${what}: ${order.reason}`;
}

function readyGroup(silentMs: number | undefined): { input: DecisionInput; group: Group } {
  const { configuration, hosts } = scenario('acquiring');
  const [first] = hosts;
  const members = hosts.slice(0, 4).map(host => host.id);
  const empty = emptyLedger(first.fabricDomain, first.failureDomain);
  const base = { fabricDomain: first.fabricDomain, group: 'g', reason: '', alternatives: [] };
  const content = { model: 'lm-pool', version: '1', adapters: [] };
  const ledger = applyChanges(empty, [
    { ...base, kind: 'form', content, members },
    { ...base, kind: 'move', state: 'ready' },
  ]);
  const silence = {
    answerAgeMs: 0,
    silentMs: silentMs ?? 0,
    isMissing: (silentMs ?? 0) > 0,
    mayReturn: false,
  };
  const facts = hosts
    .slice(0, 4)
    .map(host => [host.id, { host, report: undefined, ...silence, losses: 0 }] as const);
  const input: DecisionInput = {
    failureDomain: first.failureDomain,
    configuration,
    hosts: new Map(facts),
    ledgers: [ledger],
    ages: new Map(),
    times: { certificateMs: 1_500, drainMs: 1_000 },
    remoteGroups: [],
    absentDomains: [],
  };
  return { input, group: ledger.groups[0] };
}
