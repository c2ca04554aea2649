/** Tests of the group decision on a simulated fleet: legality, convergence, crashes, golden sessions. */
import type { DecisionInput, Group, LedgerChange } from '@hingescale/core';
import { applyChanges, decide, emptyLedger, reconcile } from '@hingescale/core';
import { expectGolden } from '@hingescale/proofs';
import { expect } from 'chai';
import fc from 'fast-check';

import type { Decide } from './fleet.js';
import { Fleet } from './fleet.js';
import { decideNaively } from './naive.js';
import type { Scenario, ScenarioName } from './scenario.js';
import { buildScenario } from './scenario.js';
import { makeTrace } from './trace.js';

const USER_SCENARIOS: readonly ScenarioName[] = ['acquiring', 'caudal'];
const PROPERTY = { seed: 20261202, numRuns: 12 };

describe('group decision', () => {
  for (const name of USER_SCENARIOS) {
    for (const [label, decision] of [
      ['ours', decide],
      ['naive', decideNaively],
    ] as const) {
      it(`${name}, ${label}: every order is legal, whatever events the trace holds`, () => {
        fc.assert(
          fc.property(fc.nat(10_000), seed => {
            const fleet = shortScenario(name, 2);
            const simulated = new Fleet(fleet, decision, {
              onOrder: order => {
                expectInFabric(fleet, order);
              },
            });
            // The fleet applies each order through the state machine and checks the ledger after it.
            simulated.run(makeTrace(fleet.hosts, fleet.days, seed));
          }),
          PROPERTY,
        );
      });
    }

    it(`${name}: a recovered fleet gets no orders and has all its replicas`, () => {
      fc.assert(
        fc.property(fc.nat(10_000), seed => {
          const simulated = runAndRecover(name, decide, seed);
          expect(simulated.ordersWhenIdle()).to.deep.equal([]);
          expectAllReady(name, simulated);
        }),
        PROPERTY,
      );
    });

    it(`${name}: after a crash at any step, the next lease holder continues from the ledger alone`, () => {
      fc.assert(
        fc.property(fc.nat(10_000), fc.infiniteStream(fc.nat(3)), (seed, dice) => {
          const crashes = (): boolean => dice.next().value === 0;
          const simulated = runAndRecover(name, decide, seed, crashes);
          expectAllReady(name, simulated);
        }),
        PROPERTY,
      );
    });

    it(`${name}: golden session of three days`, () => {
      const fleet = shortScenario(name, 3);
      const lines: string[] = [];
      const onOrder = (order: LedgerChange, at: number): void => {
        lines.push(describeOrder(order, at));
      };
      new Fleet(fleet, decide, { onOrder }).run(makeTrace(fleet.hosts, fleet.days, 11));
      expectGolden(`decision-${name}.txt`, lines.join('\n') + '\n');
    });
  }

  it('members that have not reported yet are not missing', () => {
    const { input, group } = readyGroup(undefined);
    expect(reconcile(input, input.ledgers[0])).to.deep.equal([]);
    expect(group.state).to.equal('ready');
  });

  it('members that stopped answering are missing', () => {
    const { input } = readyGroup(2_000);
    expect(reconcile(input, input.ledgers[0])).to.have.nested.property('[0].state', 'suspended');
  });
});

function shortScenario(name: ScenarioName, days: number): Scenario {
  return { ...buildScenario(name), days };
}

function runAndRecover(
  name: ScenarioName,
  decision: Decide,
  seed: number,
  crashes?: () => boolean,
): Fleet {
  const fleet = shortScenario(name, 1);
  const simulated = new Fleet(fleet, decision, { shouldCrash: crashes });
  simulated.run(makeTrace(fleet.hosts, fleet.days, seed));
  simulated.recoverHosts();
  return simulated;
}

function expectAllReady(name: ScenarioName, simulated: Fleet): void {
  const groups = simulated.ledgers().flatMap(ledger => ledger.groups);
  expect(groups.map(group => group.state)).to.deep.equal(groups.map(() => 'ready'));
  for (const [model, { replicas }] of buildScenario(name).configuration.models) {
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
  const change = order.kind === 'move' ? `move to ${order.state}` : order.kind;
  return `${at.toFixed(1).padStart(9)} ${order.group || order.fabricDomain}: ${change}: ${order.reason}`;
}

function readyGroup(silentMs: number | undefined): { input: DecisionInput; group: Group } {
  const { configuration, hosts } = buildScenario('acquiring');
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
  const snapshots = hosts
    .slice(0, 4)
    .map(host => [host.id, { host, report: undefined, ...silence, losses: 0 }] as const);
  const input: DecisionInput = {
    failureDomain: first.failureDomain,
    configuration,
    hosts: new Map(snapshots),
    ledgers: [ledger],
    ages: new Map(),
    times: { certificateMs: 1_500, drainMs: 1_000 },
    remoteGroups: [],
    absentDomains: [],
  };
  return { input, group: ledger.groups[0] };
}
