/** Tests the known evacuations against lists and changes from the store and from peers. */
import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import { Gauges } from '../server/metrics.js';
import type { ObjectChange, StoredObject } from '../store/object-store.js';
import { EvacuatedDomains } from './evacuated-domains.js';

function evacuationObject(name: string, revision: number): StoredObject {
  return { name, revision, value: {} };
}

function orderedChange(name: string, revision: number): ObjectChange {
  return { object: evacuationObject(name, revision), deleted: false };
}

function removedChange(name: string, revision: number): ObjectChange {
  return { object: evacuationObject(name, revision), deleted: true };
}

describe('evacuated failure domains', () => {
  let ended: string[];
  let domains: EvacuatedDomains;
  let gauges: Gauges;

  beforeEach(() => {
    ended = [];
    gauges = new Gauges();
    domains = new EvacuatedDomains({
      isWatched: true,
      ended: domain => ended.push(domain),
      gauges,
      log: silentLog(),
    });
  });

  const domainNames = (): readonly string[] =>
    domains.all.map(({ failureDomain }) => failureDomain);

  it('are unknown until the first list, and known from the start if evacuations are not configured', () => {
    expect(domains.isKnown).to.equal(false);
    domains.observer.listed({ objects: [], revision: 1 });
    expect(domains.isKnown).to.equal(true);
    const unwatched = new EvacuatedDomains({
      isWatched: false,
      ended: () => undefined,
      gauges,
      log: silentLog(),
    });
    expect(unwatched.isKnown).to.equal(true);
  });

  it('are exported as a metric with their age', () => {
    domains.observer.listed({ objects: [evacuationObject('a', 3)], revision: 3 });
    expect(gauges.text()).to.equal(
      'hingescale_evacuation_age_seconds{failure_domain="a"} 0\nhingescale_evacuations_known 1\n',
    );
  });

  it('can be several at once and end one by one', () => {
    domains.observer.listed({
      objects: [evacuationObject('a', 3), evacuationObject('b', 5)],
      revision: 6,
    });
    domains.observer.changed([removedChange('a', 7)]);
    expect(domainNames()).to.deep.equal(['b']);
    expect(ended).to.deep.equal(['a']);
  });

  it('stay evacuated after an end and a new order in the same answer, with one end reported', () => {
    domains.observer.listed({ objects: [evacuationObject('a', 3)], revision: 3 });
    domains.observer.changed([removedChange('a', 4), orderedChange('a', 5)]);
    expect(domainNames()).to.deep.equal(['a']);
    expect(ended).to.deep.equal(['a']);
  });

  it('end with the first of two answers when the second one contains a new order', () => {
    domains.observer.listed({ objects: [evacuationObject('a', 3)], revision: 3 });
    domains.observer.changed([removedChange('a', 4)]);
    expect(domains.isEvacuated('a')).to.equal(false);
    domains.observer.changed([orderedChange('a', 5)]);
    expect(domains.isEvacuated('a')).to.equal(true);
  });

  it('take the revision of a newer order when a list or a peer skips the end in between', () => {
    domains.observer.listed({ objects: [evacuationObject('a', 3)], revision: 3 });
    domains.observer.changed([orderedChange('a', 5)]);
    expect(domains.all.map(({ revision }) => revision)).to.deep.equal([5]);
    domains.observer.listed({ objects: [evacuationObject('a', 9)], revision: 9 });
    expect(domains.all.map(({ revision }) => revision)).to.deep.equal([9]);
    expect(ended).to.deep.equal([]);
  });

  it('end when a list does not contain them', () => {
    domains.observer.listed({
      objects: [evacuationObject('a', 3), evacuationObject('b', 4)],
      revision: 4,
    });
    domains.observer.listed({ objects: [evacuationObject('b', 4)], revision: 8 });
    expect(domainNames()).to.deep.equal(['b']);
    expect(ended).to.deep.equal(['a']);
  });

  it('are reported as ended even if their start was missed', () => {
    domains.observer.listed({ objects: [], revision: 1 });
    domains.observer.changed([removedChange('a', 3)]);
    expect(ended).to.deep.equal(['a']);
  });
});
