/** Guards against refusing requests after a certificate has expired and before its timer has run. */
import type { DomainView } from '@hingescale/core';
import type { Log } from '@hingescale/runtime';
import { Metrics, monotonicMs } from '@hingescale/runtime';
import { expect } from 'chai';

import { GroupDirectory } from './group-directory.js';

const CERTIFICATE_MS = 40;

const GROUP = { id: 'g1', epoch: 1, state: 'ready', content: { model: 'm' } };
const VIEW = {
  failureDomain: 'd',
  version: '1',
  groups: [{ group: GROUP, failureDomain: 'd', members: [] }],
  leaving: [],
} as unknown as DomainView;

describe('groups whose certificates expire', () => {
  let directory: GroupDirectory;
  let resumedAt: number;

  beforeEach(() => {
    const log = { info: () => undefined, warn: () => undefined } as unknown as Log;
    resumedAt = -Infinity;
    directory = new GroupDirectory(log, new Metrics(), () => resumedAt);
    directory.replaceView(VIEW);
    directory.applyEvacuations([]);
    const certificate = { group: 'g1', epoch: 1, remainingMs: CERTIFICATE_MS };
    directory.storeCertificates([certificate], monotonicMs());
  });

  afterEach(() => {
    directory.close();
  });

  it('are certified before the expiry, with no renewal time left to wait', () => {
    expect(directory.certified('g1', 1)).to.equal(true);
    expect(directory.renewalLeftMs('m')).to.equal(0);
  });

  it('are expected to be renewed from the expiry on, even before the timer has run', () => {
    const until = monotonicMs() + 2 * CERTIFICATE_MS;
    while (monotonicMs() < until) {
      // Blocks the event loop, as a suspension of the process does.
    }
    expect(directory.certified('g1', 1)).to.equal(false);
    expect(directory.usable('m')).to.deep.equal([]);
    expect(directory.renewalLeftMs('m')).to.be.greaterThan(1_000);
  });

  it('are awaited for a limited time, which excludes a suspension of this process', () => {
    const since = monotonicMs() - 2_000;
    expect(directory.renewalLeftSince(since)).to.be.below(0);
    resumedAt = monotonicMs();
    expect(directory.renewalLeftSince(since)).to.be.greaterThan(1_000);
  });
});
