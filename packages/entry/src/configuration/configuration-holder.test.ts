/** Tests which of several received configurations is in force, and by which age it still rejects requests. */
import { expect } from 'chai';

import { elapsedMs } from '../server/elapsed-time.js';
import { silentLog } from '../server/log.js';
import type { StoredObject } from '../store/object-store.js';
import { ConfigurationHolder } from './configuration-holder.js';
import type { ServingConfiguration } from './serving-configuration.js';

const NAME = 'main';
const APPLY_MS = 400;

/** Reads the version from the value; any other value is invalid. */
function read(value: unknown): ServingConfiguration {
  if (typeof value !== 'number') {
    throw new Error('no version');
  }
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version: value, routes: [], services: [], workspaces: undefined, limits };
}

function holderOf(
  ...changes: readonly (readonly [revision: number, value: unknown])[]
): ConfigurationHolder {
  const holder = new ConfigurationHolder({
    read,
    objectName: NAME,
    applyMs: APPLY_MS,
    log: silentLog(),
  });
  const objects: readonly StoredObject[] = changes.map(([revision, value]) => ({
    name: NAME,
    revision,
    value,
  }));
  holder.applyChanges(objects.map(object => ({ object, deleted: false })));
  return holder;
}

describe('the configuration in force', () => {
  it('is the last of several changes in one answer', () => {
    expect(holderOf([1, 4], [2, 5], [3, 9]).table?.version).to.equal(9);
  });

  // Guards against a change that is rejected in a series of changes ending the series, or coming into force.
  it('is not replaced by an invalid one between two valid ones', () => {
    expect(holderOf([1, 4], [2, 'invalid']).table?.version).to.equal(4);
    expect(holderOf([1, 4], [2, 'invalid'], [3, 6]).table?.version).to.equal(6);
  });

  it('never goes back to an older version, whatever its revision', () => {
    expect(holderOf([1, 6], [2, 4]).table?.version).to.equal(6);
  });

  // Guards against the rejection of a route or key that a version in force elsewhere already has.
  it('rejects what it does not contain only until a newer one would have to be in force', () => {
    const holder = holderOf([1, 4]);
    expect(holder.isConfirmedInTime).to.equal(false);
    holder.confirm(elapsedMs() - APPLY_MS + 100, 'peer');
    expect(holder.isConfirmedInTime).to.equal(true);
    const outdated = holderOf([1, 4]);
    outdated.confirm(elapsedMs() - APPLY_MS - 1, 'peer');
    expect(outdated.isConfirmedInTime).to.equal(false);
  });
});
