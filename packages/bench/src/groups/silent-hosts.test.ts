/** Guards against orders for groups whose members are silent for a moment: this once dissolved a healthy group. */
import type {
  DecisionInput,
  Group,
  GroupState,
  HostSnapshot,
  HostStateReport,
} from '@hingescale/core';
import { applyChanges, decide, emptyLedger, reconcile, stateAgeKey } from '@hingescale/core';
import { expect } from 'chai';

import { buildScenario } from './scenario.js';

const GROUP_SIZE = 4;
const LONG_STATE_AGE_MS = 600_000;
const CONTENT = { model: 'lm-pool', version: '1', adapters: [] };

const { configuration, hosts } = buildScenario('acquiring');
const [{ fabricDomain, failureDomain }] = hosts;
const members = hosts
  .filter(host => host.fabricDomain === fabricDomain)
  .slice(0, 2 * GROUP_SIZE)
  .map(host => host.id);

type AnswerState = Pick<HostSnapshot, 'silentMs' | 'isMissing' | 'mayReturn'> & {
  readonly answerAgeMs?: number;
};

const ANSWERING: AnswerState = { silentMs: 0, isMissing: false, mayReturn: false };
const SILENT: AnswerState = { silentMs: 2_000, isMissing: false, mayReturn: true };
const RETURNING: AnswerState = { silentMs: 20_000, isMissing: true, mayReturn: true };
const MISSING: AnswerState = { silentMs: 20_000, isMissing: true, mayReturn: false };

/** Input with two groups that have been in a state for `ageMs`, and the answer state of each member in order. */
function inputOf(
  state: GroupState,
  answers: readonly AnswerState[],
  ageMs = LONG_STATE_AGE_MS,
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
  const snapshots = members.map((id, index): [string, HostSnapshot] => {
    const host = hosts.find(candidate => candidate.id === id) as (typeof hosts)[number];
    const group = ledger.groups[Math.floor(index / GROUP_SIZE)];
    const report = reportOf(id, group);
    return [id, { host, report, losses: 0, answerAgeMs: 0, ...answers[index] }];
  });
  return {
    failureDomain,
    configuration,
    hosts: new Map(snapshots),
    ledgers: [ledger],
    ages: new Map(ledger.groups.map(group => [stateAgeKey(group), ageMs])),
    times: { certificateMs: 1_500, drainMs: 2 * LONG_STATE_AGE_MS },
    remoteGroups: [],
    absentDomains: [],
  };
}

function reportOf(host: string, { id, epoch }: Group): HostStateReport {
  const content = { model: CONTENT.model, version: CONTENT.version, adapters: [] };
  return { host, incarnation: 'i', group: id, epoch, loaded: true, running: 0, ...content };
}

function movesOf(input: DecisionInput): string[] {
  const required = input.ledgers.flatMap(ledger => reconcile(input, ledger));
  const orders = required.length > 0 ? required : decide(input);
  return orders.map(order => `${order.group} ${order.kind === 'move' ? order.state : order.kind}`);
}

function repeat(count: number, state: AnswerState): AnswerState[] {
  return Array.from({ length: count }, () => state);
}

describe('groups whose members are silent', () => {
  it('keep their state while their members are silent but not yet missing', () => {
    expect(movesOf(inputOf('ready', repeat(8, SILENT)))).to.deep.equal([]);
    expect(movesOf(inputOf('draining', repeat(8, SILENT)))).to.deep.equal([]);
    expect(movesOf(inputOf('suspended', repeat(8, SILENT)))).to.deep.equal([]);
  });

  it('are suspended once members are missing', () => {
    const snapshots = [...repeat(7, ANSWERING), MISSING];
    expect(movesOf(inputOf('ready', snapshots))).to.deep.equal(['b suspended']);
  });

  it('are not dissolved in favour of each other while their members return one by one', () => {
    const snapshots = [...repeat(3, ANSWERING), ...repeat(5, RETURNING)];
    expect(movesOf(inputOf('suspended', snapshots))).to.deep.equal([]);
  });

  it('count as drained only by an answer from after the last request could be sent to them', () => {
    const before = repeat(8, { ...ANSWERING, answerAgeMs: 400 });
    expect(movesOf(inputOf('draining', before, 1_600))).to.deep.equal([]);
    const after = repeat(8, { ...ANSWERING, answerAgeMs: 50 });
    expect(movesOf(inputOf('draining', after, 1_600))).to.deep.equal(['a fencing', 'b fencing']);
  });

  it('are dissolved in favour of each other when their members stay missing', () => {
    const snapshots = [...repeat(3, ANSWERING), MISSING, ...repeat(3, ANSWERING), MISSING];
    expect(movesOf(inputOf('suspended', snapshots))).to.deep.equal(['b fencing']);
  });
});
