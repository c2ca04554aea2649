/** Evacuations as store and peers tell of them. */
import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import { Gauges } from '../server/metrics.js';
import type { ObjectChange, StoredObject } from '../store/object-store.js';
import { EvacuatedDomains } from './evacuated-domains.js';

function object(name: string, revision: number): StoredObject {
  return { name, revision, value: {} };
}

function ordered(name: string, revision: number): ObjectChange {
  return { object: object(name, revision), deleted: false };
}

function removed(name: string, revision: number): ObjectChange {
  return { object: object(name, revision), deleted: true };
}

describe('evacuated failure domains', () => {
  let ended: string[];
  let domains: EvacuatedDomains;
  let gauges: Gauges;

  beforeEach(() => {
    ended = [];
    gauges = new Gauges();
    domains = new EvacuatedDomains({
      isFollowed: true,
      ended: domain => ended.push(domain),
      gauges,
      log: silentLog(),
    });
  });

  const all = (): readonly string[] => domains.all.map(({ failureDomain }) => failureDomain);

  it('are not known before a list, and known where none can be evacuated', () => {
    expect(domains.isKnown).to.equal(false);
    domains.observer.listed({ objects: [], revision: 1 });
    expect(domains.isKnown).to.equal(true);
    const never = new EvacuatedDomains({
      isFollowed: false,
      ended: () => undefined,
      gauges,
      log: silentLog(),
    });
    expect(never.isKnown).to.equal(true);
  });

  it('are told with their age', () => {
    domains.observer.listed({ objects: [object('a', 3)], revision: 3 });
    expect(gauges.text()).to.equal(
      'hingescale_evacuation_age_seconds{failure_domain="a"} 0\nhingescale_evacuations_known 1\n',
    );
  });

  it('are several at once, and end one by one', () => {
    domains.observer.listed({ objects: [object('a', 3), object('b', 5)], revision: 6 });
    domains.observer.changed([removed('a', 7)]);
    expect(all()).to.deep.equal(['b']);
    expect(ended).to.deep.equal(['a']);
  });

  it('ended and ordered again in one answer are evacuated, and have ended once', () => {
    domains.observer.listed({ objects: [object('a', 3)], revision: 3 });
    domains.observer.changed([removed('a', 4), ordered('a', 5)]);
    expect(all()).to.deep.equal(['a']);
    expect(ended).to.deep.equal(['a']);
  });

  it('ended and ordered again in two answers end with the first', () => {
    domains.observer.listed({ objects: [object('a', 3)], revision: 3 });
    domains.observer.changed([removed('a', 4)]);
    expect(domains.isEvacuated('a')).to.equal(false);
    domains.observer.changed([ordered('a', 5)]);
    expect(domains.isEvacuated('a')).to.equal(true);
  });

  it('are those of the newer order when a list or a peer skips the end between', () => {
    domains.observer.listed({ objects: [object('a', 3)], revision: 3 });
    domains.observer.changed([ordered('a', 5)]);
    expect(domains.all.map(({ revision }) => revision)).to.deep.equal([5]);
    domains.observer.listed({ objects: [object('a', 9)], revision: 9 });
    expect(domains.all.map(({ revision }) => revision)).to.deep.equal([9]);
    expect(ended).to.deep.equal([]);
  });

  it('end where a list lacks them', () => {
    domains.observer.listed({ objects: [object('a', 3), object('b', 4)], revision: 4 });
    domains.observer.listed({ objects: [object('b', 4)], revision: 8 });
    expect(all()).to.deep.equal(['b']);
    expect(ended).to.deep.equal(['a']);
  });

  it('that ended before they were seen to begin have ended all the same', () => {
    domains.observer.listed({ objects: [], revision: 1 });
    domains.observer.changed([removed('a', 3)]);
    expect(ended).to.deep.equal(['a']);
  });
});
