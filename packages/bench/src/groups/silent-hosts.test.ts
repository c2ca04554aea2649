/** Guards against orders about groups whose members were not heard for a moment: a sound group was dissolved that way. */
import type {
  DecisionInput,
  Group,
  GroupState,
  HostSnapshot,
  HostStateReport,
} from '@hingescale/core';
import { applyChanges, decide, emptyLedger, reconcile, stateAgeKey } from '@hingescale/core';
import { expect } from 'chai';

import { scenario } from './scenario.js';

const GROUP_SIZE = 4;
const LONG_MS = 600_000;
const CONTENT = { model: 'lm-pool', version: '1', adapters: [] };

const { configuration, hosts } = scenario('acquiring');
const [{ fabricDomain, failureDomain }] = hosts;
const members = hosts
  .filter(host => host.fabricDomain === fabricDomain)
  .slice(0, 2 * GROUP_SIZE)
  .map(host => host.id);

type Answering = Pick<HostSnapshot, 'silentMs' | 'isMissing' | 'mayReturn'> & {
  readonly answerAgeMs?: number;
};

const ANSWERS: Answering = { silentMs: 0, isMissing: false, mayReturn: false };
const UNHEARD: Answering = { silentMs: 2_000, isMissing: false, mayReturn: true };
const RETURNING: Answering = { silentMs: 20_000, isMissing: true, mayReturn: true };
const MISSING: Answering = { silentMs: 20_000, isMissing: true, mayReturn: false };

/** Two groups in a state for some time, with what is known of each of their members in turn. */
function inputOf(
  state: GroupState,
  answering: readonly Answering[],
  ageMs = LONG_MS,
): DecisionInput {
  const base = { fabricDomain, reason: '', alternatives: [] };
  const ledger = applyChanges(
    emptyLedger(fabricDomain, failureDomain),
    ['a', 'b'].flatMap((group, index) => [
      {
        ...base,
        group,
        kind: 'form',
        content: CONTENT,
        members: members.slice(index * GROUP_SIZE, (index + 1) * GROUP_SIZE),
      } as const,
      { ...base, group, kind: 'move', state: 'ready' } as const,
      ...(state === 'ready' ? [] : [{ ...base, group, kind: 'move', state } as const]),
    ]),
  );
  const facts = members.map((id, index): [string, HostSnapshot] => {
    const host = hosts.find(candidate => candidate.id === id) as (typeof hosts)[number];
    const group = ledger.groups[Math.floor(index / GROUP_SIZE)];
    const report = reportOf(id, group);
    return [id, { host, report, losses: 0, answerAgeMs: 0, ...answering[index] }];
  });
  return {
    failureDomain,
    configuration,
    hosts: new Map(facts),
    ledgers: [ledger],
    ages: new Map(ledger.groups.map(group => [stateAgeKey(group), ageMs])),
    times: { certificateMs: 1_500, drainMs: 2 * LONG_MS },
    remoteGroups: [],
    absentDomains: [],
  };
}

function reportOf(host: string, { id, epoch }: Group): HostStateReport {
  const content = { model: CONTENT.model, version: CONTENT.version, adapters: [] };
  return { host, incarnation: 'i', group: id, epoch, loaded: true, running: 0, ...content };
}

function movesOf(input: DecisionInput): string[] {
  const forced = input.ledgers.flatMap(ledger => reconcile(input, ledger));
  const orders = forced.length > 0 ? forced : decide(input);
  return orders.map(order => `${order.group} ${order.kind === 'move' ? order.state : order.kind}`);
}

function times(count: number, answering: Answering): Answering[] {
  return Array.from({ length: count }, () => answering);
}

describe('groups whose members are not heard', () => {
  it('stay as they are while nothing is known of them', () => {
    expect(movesOf(inputOf('ready', times(8, UNHEARD)))).to.deep.equal([]);
    expect(movesOf(inputOf('draining', times(8, UNHEARD)))).to.deep.equal([]);
    expect(movesOf(inputOf('suspended', times(8, UNHEARD)))).to.deep.equal([]);
  });

  it('are suspended once members are missing', () => {
    const facts = [...times(7, ANSWERS), MISSING];
    expect(movesOf(inputOf('ready', facts))).to.deep.equal(['b suspended']);
  });

  it('are not given up for each other while their members return one by one', () => {
    const facts = [...times(3, ANSWERS), ...times(5, RETURNING)];
    expect(movesOf(inputOf('suspended', facts))).to.deep.equal([]);
  });

  it('have no work left only by an answer from after the last request could be sent to them', () => {
    const before = times(8, { ...ANSWERS, answerAgeMs: 400 });
    expect(movesOf(inputOf('draining', before, 1_600))).to.deep.equal([]);
    const after = times(8, { ...ANSWERS, answerAgeMs: 50 });
    expect(movesOf(inputOf('draining', after, 1_600))).to.deep.equal(['a fencing', 'b fencing']);
  });

  it('are given up for each other when their members stay away', () => {
    const facts = [...times(3, ANSWERS), MISSING, ...times(3, ANSWERS), MISSING];
    expect(movesOf(inputOf('suspended', facts))).to.deep.equal(['b fencing']);
  });
});
