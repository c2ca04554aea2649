import { expect } from 'chai';

import type { Member } from '../peers/member.js';
import type { ForwardingStatus } from '../peers/peer-messages.js';
import { PeerDirectory } from './peer-directory.js';

const STATUS: ForwardingStatus = { port: 9, accepts: true, reached: ['s'], load: 0 };
const NONE: ReadonlySet<string> = new Set();

function memberOf(name: string, failureDomain = 'a'): Member {
  return { name, address: `127.0.0.1:${name.length}`, failureDomain, power: 1 };
}

/** A directory of the given members, which answer with these statuses; members without one do not answer. */
function directoryOf(
  members: readonly Member[],
  statuses: ReadonlyMap<string, ForwardingStatus>,
  clock = { now: 0 },
): { readonly directory: PeerDirectory; readonly asked: string[] } {
  const asked: string[] = [];
  const directory = new PeerDirectory({
    self: { name: 'self', failureDomain: 'a' },
    members: () => members,
    ask: ({ name }) => {
      asked.push(name);
      const status = statuses.get(name);
      return status === undefined
        ? Promise.reject(new Error('unknown request'))
        : Promise.resolve(status);
    },
    now: () => clock.now,
  });
  return { directory, asked };
}

describe('the directory of peers that take forwarded requests', () => {
  const mayUse = (): boolean => true;

  it('chooses a peer in the own failure domain if one reaches the service', async () => {
    const members = [memberOf('near'), memberOf('far', 'b')];
    const statuses = new Map([
      ['near', STATUS],
      ['far', STATUS],
    ]);
    const { directory } = directoryOf(members, statuses);
    await directory.refresh(['s']);
    expect(directory.choose('s', mayUse, NONE)?.name).to.equal('near');
    expect(directory.choose('s', domain => domain === 'b', NONE)?.name).to.equal('far');
  });

  it('leaves out a peer that could not be connected to until it has answered again', async () => {
    const clock = { now: 0 };
    const { directory } = directoryOf([memberOf('p')], new Map([['p', STATUS]]), clock);
    await directory.refresh(['s']);
    clock.now = 10;
    directory.noteFailed('p');
    expect(directory.choose('s', mayUse, NONE)).to.equal(undefined);
    clock.now = 20;
    await directory.refresh(['s']);
    expect(directory.choose('s', mayUse, NONE)?.name).to.equal('p');
  });

  it('chooses no peer that is isolated too, declines requests, or does not know forwarding', async () => {
    const members = ['isolated', 'declining', 'older'].map(name => memberOf(name));
    const statuses = new Map([
      ['isolated', { ...STATUS, reached: [] }],
      ['declining', { ...STATUS, accepts: false }],
    ]);
    const { directory } = directoryOf(members, statuses);
    await directory.refresh(['s']);
    expect(directory.choose('s', mayUse, NONE)).to.equal(undefined);
  });

  it('does not use an old status', async () => {
    const clock = { now: 0 };
    const { directory } = directoryOf([memberOf('p')], new Map([['p', STATUS]]), clock);
    await directory.refresh(['s']);
    clock.now = 2_000;
    expect(directory.choose('s', mayUse, NONE)).to.equal(undefined);
  });

  it('prefers the less loaded of two peers, by their own count and by requests in progress from here', async () => {
    const statuses = new Map([
      ['p1', { ...STATUS, load: 5 }],
      ['p2', { ...STATUS, load: 3 }],
    ]);
    const { directory } = directoryOf([memberOf('p1'), memberOf('p2')], statuses);
    await directory.refresh(['s']);
    expect(directory.choose('s', mayUse, NONE)?.name).to.equal('p2');
    [1, 2, 3].forEach(() => {
      directory.noteSent('p2');
    });
    expect(directory.choose('s', mayUse, NONE)?.name).to.equal('p1');
  });

  // Guards against entry hosts that all ask each other: with 195 of them and half cut off, 9,500 questions a round.
  it('asks a few of many peers in a round, and finds one although most are isolated', async () => {
    const members = Array.from({ length: 195 }, (_, index) =>
      memberOf(`p${index}`, 'abc'.charAt(index % 3)),
    );
    const statuses = new Map(
      members.map(({ name }, index) => [
        name,
        index % 10 === 0 ? STATUS : { ...STATUS, reached: [] },
      ]),
    );
    const { directory, asked } = directoryOf(members, statuses);
    let rounds = 0;
    while (!directory.hasPeerFor('s')) {
      const before = asked.length;
      await directory.refresh(['s']);
      expect(asked.length - before).to.be.at.most(8);
      rounds += 1;
      expect(rounds).to.be.at.most(40);
    }
  });
});
