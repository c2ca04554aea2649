/** Choice of a target where some hosts have reported rate limits. */
import { expect } from 'chai';

import type { Service } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { HostRegistry } from '../hosts/host-registry.js';
import { silentLog } from '../server/log.js';
import { testHostReading } from '../testing/groups.js';
import type { Eligibility } from './eligibility.js';
import { claimIfEligible, eligibilityOf } from './eligibility.js';
import { HostActivities } from './host-activity.js';
import type { ChooserOptions, TargetQuery } from './target-chooser.js';
import { TargetChooser } from './target-chooser.js';

const SERVICE: Service = { name: 's', maxConnections: 10, slowStart: undefined, engine: undefined };
const QUERY: TargetQuery = {
  service: SERVICE,
  model: undefined,
  homeRegions: [],
  exclude: new Set(),
};
const HOST_IDS = Array.from({ length: 30 }, (_, index) => `h${index}`);

function chooserOf(options: Partial<ChooserOptions>, names = HOST_IDS): TargetChooser {
  const registry = new HostRegistry(
    (id, value) => testHostReading({ ...(value as HostEntry), id }),
    silentLog(),
  );
  const value = { service: 's', ip: '127.0.0.1', port: 1, accepting: true, failureDomain: 'a' };
  registry.applyList({
    objects: names.map(name => ({ name, revision: 1, value })),
    revision: 1,
  });
  return new TargetChooser(registry, new HostActivities(), {
    failureDomain: 'a',
    eligibility: () => 'eligible',
    peerRequestsAt: () => 0,
    ...options,
  });
}

describe('choice among hosts with rate limits', () => {
  it('prefers a host of whose limit this entry host owns a share, so that no allowance is lost', () => {
    const chooser = chooserOf({ ownsRateShare: ({ id }) => id === 'h7' });
    const chosen = Array.from({ length: 50 }, () => chooser.choose(QUERY)?.host.id);
    expect(chosen.filter(id => id === 'h7').length).to.be.at.least(45);
  });

  it('does not choose such a host while its load is much higher than that of others', () => {
    const chooser = chooserOf({
      ownsRateShare: ({ id }) => id === 'h7',
      peerRequestsAt: id => (id === 'h7' ? 40 : 0),
    });
    const chosen = Array.from({ length: 50 }, () => chooser.choose(QUERY)?.host.id);
    expect(chosen).to.not.include('h7');
  });

  it('returns when the first limited host accepts a request, only if no other host is eligible', () => {
    const placeInMs = ({ id }: HostEntry): number => (id === 'h0' ? 900 : 400);
    const options = { eligibility: (): Eligibility => 'rate-limit', placeInMs };
    expect(chooserOf(options, ['h0', 'h1']).placeInMs(QUERY)).to.equal(400);
    const mixed = (host: HostEntry): Eligibility => (host.id === 'h0' ? 'eligible' : 'rate-limit');
    const chooser = chooserOf({ ...options, eligibility: mixed }, ['h0', 'h1']);
    expect(chooser.placeInMs(QUERY)).to.equal(undefined);
  });

  it('applies the smallest of several allowances, and uses none if one of them is used up', () => {
    const host = { id: 'h', accepting: true, failureDomain: 'a' } as HostEntry;
    const used: string[] = [];
    const pace = (verdict: 'cold-limit' | 'rate-limit', room: boolean) => ({
      verdict,
      hasRoom: () => room,
      take: () => used.push(verdict) > 0,
      write: () => room,
      giveBack: () => undefined,
    });
    const facts = {
      evacuations: { isKnown: true, isEvacuated: () => false },
      backoffs: { backoffLeftMs: () => 0 },
      regionOf: () => undefined,
    };
    const oneExhausted = { ...facts, paces: [pace('cold-limit', true), pace('rate-limit', false)] };
    expect(eligibilityOf(host, [], oneExhausted, 0)).to.equal('rate-limit');
    expect(claimIfEligible(host, [], oneExhausted, 0)).to.equal('rate-limit');
    expect(used).to.deep.equal([]);
    const bothAvailable = { ...facts, paces: [pace('cold-limit', true), pace('rate-limit', true)] };
    expect(claimIfEligible(host, [], bothAvailable, 0)).to.equal('eligible');
    expect(used).to.deep.equal(['cold-limit', 'rate-limit']);
  });
});
