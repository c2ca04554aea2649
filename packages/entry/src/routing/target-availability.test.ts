import { expect } from 'chai';

import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { ReplicaGroup } from '../groups/replica-groups.js';
import type { HostEntry, MembershipState } from '../hosts/host-entry.js';
import { formingMs } from './target-availability.js';

const ENGINE: EngineProfile = {
  models: [{ name: 'm', size: 2, pace: 1, workShare: 1, loadMs: 12_000, warmMs: 1_100 }],
  slots: 4,
  loadsPerSecond: 4,
  loadsAtOnce: 4,
  stagedModelsKept: 1,
};
const anyHost = (): boolean => true;

function group(state: MembershipState, staged: readonly string[] = [], model = 'm'): ReplicaGroup {
  const membership = { group: 'g', epoch: 1, rank: 0, state };
  const head = { id: 'h', failureDomain: 'a', stagedModels: staged, membership } as unknown;
  const rest = { name: 'g', epoch: 1, members: [], fabricDomain: 'd' };
  return { ...rest, head: head as HostEntry, model };
}

describe('a group that is forming', () => {
  it('serves first if it is ready, later if its weights are staged, latest if they are not', () => {
    const [ready, warm, loading] = [group('ready'), group('joining', ['m']), group('joining')].map(
      forming => formingMs([forming], ENGINE, 'm', anyHost),
    );
    expect(ready).to.be.below(1_000);
    expect(warm).to.be.within(1_100, 2_100);
    expect(loading).to.be.within(12_000, 13_000);
  });

  it('counts only for its model, and only if its head may receive the request', () => {
    expect(formingMs([group('ready', [], 'n')], ENGINE, 'm', anyHost)).to.equal(undefined);
    expect(formingMs([group('ready')], ENGINE, 'm', () => false)).to.equal(undefined);
    expect(formingMs([group('broken'), group('open')], ENGINE, 'm', anyHost)).to.equal(undefined);
    expect(formingMs([group('joining'), group('ready')], ENGINE, 'm', anyHost)).to.be.below(1_000);
  });
});
