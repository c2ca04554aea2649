/** Guards against refusing requests in the moment between the end of a certificate and the timer that notices it. */
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

describe('groups whose certificates run out', () => {
  let directory: GroupDirectory;
  let resumedAt: number;

  beforeEach(() => {
    const log = { info: () => undefined, warn: () => undefined } as unknown as Log;
    resumedAt = -Infinity;
    directory = new GroupDirectory(log, new Metrics(), () => resumedAt);
    directory.takeView(VIEW);
    directory.takeEvacuations([]);
    const certificate = { group: 'g1', epoch: 1, remainingMs: CERTIFICATE_MS };
    directory.takeCertificates([certificate], monotonicMs());
  });

  afterEach(() => {
    directory.close();
  });

  it('are certified until then, and not expected to be renewed', () => {
    expect(directory.certified('g1', 1)).to.equal(true);
    expect(directory.renewalLeftMs('m')).to.equal(0);
  });

  it('are expected to be renewed at once, also before any timer has run', () => {
    const until = monotonicMs() + 2 * CERTIFICATE_MS;
    while (monotonicMs() < until) {
      // Blocks the event loop, as a suspension of the process does.
    }
    expect(directory.certified('g1', 1)).to.equal(false);
    expect(directory.usable('m')).to.deep.equal([]);
    expect(directory.renewalLeftMs('m')).to.be.greaterThan(1_000);
  });

  it('are not waited for longer than a moment, in which this process has run', () => {
    const since = monotonicMs() - 2_000;
    expect(directory.renewalLeftSince(since)).to.be.below(0);
    resumedAt = monotonicMs();
    expect(directory.renewalLeftSince(since)).to.be.greaterThan(1_000);
  });
});
