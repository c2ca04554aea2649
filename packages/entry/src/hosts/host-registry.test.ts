import { expect } from 'chai';

import type { Log } from '../server/log.js';
import { silentLog } from '../server/log.js';
import { testHost, testHostReading } from '../testing/groups.js';
import type { HostEntry, HostParseResult } from './host-entry.js';
import { incarnationOf, isRoutable } from './host-entry.js';
import { HostRegistry } from './host-registry.js';

describe('host registry', () => {
  function registryWith(...versions: Partial<HostEntry>[]): HostRegistry {
    const read = (id: string, value: unknown): HostParseResult =>
      testHostReading(testHost(id, value as Partial<HostEntry>));
    const registry = new HostRegistry(read, silentLog());
    versions.forEach((value, index) => {
      const object = { name: 'h', revision: index + 1, value };
      registry.applyChanges([{ object, deleted: false }]);
    });
    return registry;
  }

  it('remembers the model of the last group after the host has left it', () => {
    const registry = registryWith({ loadedModel: 'large' }, { loadedModel: undefined });
    expect(registry.get('h')?.loadedModel).to.equal(undefined);
    expect(registry.get('h')?.lastModel).to.equal('large');
  });

  it('applies the announced shutdown of a host before its entry, which may contradict it or be written again', () => {
    const registry = registryWith({ startedAt: 7 });
    const { version } = registry;
    registry.recordShutdown({ id: 'h', startedAt: 7 });
    expect(registry.get('h')?.accepting).to.equal(false);
    expect(registry.version).to.be.above(version);
    const put = (revision: number, startedAt: number): void => {
      const object = { name: 'h', revision, value: { startedAt } };
      registry.applyChanges([{ object, deleted: false }]);
    };
    put(2, 7);
    expect(registry.get('h')?.accepting).to.equal(false);
    registry.applyList({ revision: 3, objects: [] });
    put(4, 7);
    expect(registry.get('h')?.accepting).to.equal(false);
    // Another start of the host has not announced a shutdown.
    put(5, 8);
    expect(registry.get('h')?.accepting).to.equal(true);
    registry.recordShutdown({ id: 'h', startedAt: 7 });
    expect(registry.get('h')?.accepting).to.equal(true);
  });

  it('remembers only the newest model', () => {
    const registry = registryWith(
      { loadedModel: 'large' },
      { loadedModel: 'small' },
      {
        loadedModel: undefined,
      },
    );
    expect(registry.get('h')?.lastModel).to.equal('small');
  });

  it('reports for each entry whether its incarnation is known, back or new, and which hosts were removed', () => {
    const batches: string[] = [];
    const read = (id: string): HostParseResult => testHostReading(testHost(id));
    const registry = new HostRegistry(read, silentLog(), ({ applied, departed }) => {
      const entries = applied.map(
        ({ entry, revision, standing }) => `${entry.id}@${revision} ${standing}`,
      );
      batches.push([...entries, ...departed.map(({ id }) => `${id} gone`)].join(', '));
    });
    const object = (name: string, revision: number) => ({ name, revision, value: null });
    registry.applyList({ revision: 2, objects: [object('x', 1), object('y', 2)] });
    registry.applyChanges([
      { object: object('x', 3), deleted: false },
      { object: object('y', 4), deleted: true },
      { object: object('never-known', 5), deleted: true },
      { object: object('z', 6), deleted: false },
    ]);
    registry.applyChanges([{ object: object('y', 7), deleted: false }]);
    registry.applyChanges([{ object: object('y', 2), deleted: false }]);
    expect(batches).to.deep.equal([
      'x@1 first, y@2 first',
      'x@3 known, z@6 new, y gone',
      'y@7 back',
      '',
    ]);
  });

  it('applies the changes of one answer as a single change', async () => {
    const registry = registryWith();
    let changeEvents = 0;
    registry.messages.on('changed', () => {
      changeEvents += 1;
    });
    const versionBefore = registry.version;
    registry.applyChanges(
      Array.from({ length: 50 }, (_unused, index) => ({
        object: { name: `h${index}`, revision: index + 1, value: {} },
        deleted: false,
      })),
    );
    await new Promise(resolve => setTimeout(resolve, 5));
    expect(registry.version - versionBefore).to.equal(1);
    expect(changeEvents).to.equal(1);
  });

  it('logs one line for many arrivals, so that the first list does not suppress other lines', () => {
    const lines: string[] = [];
    const log = { ...silentLog(), info: (message: string) => lines.push(message) };
    const registry = new HostRegistry(id => testHostReading(testHost(id)), log as Log);
    const objects = Array.from({ length: 900 }, (_unused, index) => ({
      name: `h${index}`,
      revision: 1,
      value: {},
    }));
    registry.applyList({ objects, revision: 1 });
    registry.applyChanges([{ object: { name: 'late', revision: 2, value: {} }, deleted: false }]);
    expect(lines).to.deep.equal(['hosts arrived', 'host arrived']);
  });

  it('remembers the last model of a host whose entry was removed and written again', () => {
    const registry = registryWith({ loadedModel: 'large' });
    registry.applyChanges([
      { object: { name: 'h', revision: 2, value: undefined }, deleted: true },
    ]);
    const object = { name: 'h', revision: 3, value: { loadedModel: undefined } };
    registry.applyChanges([{ object, deleted: false }]);
    expect(registry.get('h')?.lastModel).to.equal('large');
  });
});

describe('routable hosts', () => {
  it('are heads of groups and hosts of plain services, determined by their entries alone', () => {
    const member = (rank: number): HostEntry =>
      testHost('m', { membership: { group: 'g', epoch: 1, rank, state: 'joining' } });
    expect(isRoutable(member(0))).to.equal(true);
    expect(isRoutable(member(1))).to.equal(false);
    expect(isRoutable(testHost('free'))).to.equal(false);
    expect(isRoutable(testHost('plain', { fabricDomain: undefined }))).to.equal(true);
    expect(isRoutable(undefined)).to.equal(false);
  });

  it('treats a restart under the same id as another host, without the state of the earlier start', () => {
    const batches: string[] = [];
    const read = (id: string, value: unknown): HostParseResult =>
      testHostReading(testHost(id, value as Partial<HostEntry>));
    const registry = new HostRegistry(read, silentLog(), ({ applied, departed }) => {
      const entries = applied.map(({ entry, standing }) => `${incarnationOf(entry)} ${standing}`);
      batches.push(
        [...departed.map(entry => `${incarnationOf(entry)} gone`), ...entries].join(', '),
      );
    });
    const write = (revision: number, value: Partial<HostEntry>): void => {
      registry.applyChanges([{ object: { name: 'h', revision, value }, deleted: false }]);
    };
    registry.applyList({ objects: [], revision: 0 });
    write(1, { startedAt: 10, loadedModel: 'large' });
    write(2, { startedAt: 20, loadedModel: undefined });
    expect(registry.get('h')?.lastModel).to.equal(undefined);
    // A late entry of the earlier start.
    write(3, { startedAt: 10, loadedModel: 'large' });
    expect(registry.get('h')?.startedAt).to.equal(20);
    registry.applyChanges([{ object: { name: 'h', revision: 4, value: null }, deleted: true }]);
    write(5, { startedAt: 20 });
    write(6, { startedAt: 30 });
    expect(batches).to.deep.equal([
      '',
      'h@10 new',
      'h@10 gone, h@20 new',
      '',
      'h@20 gone',
      'h@20 back',
      'h@20 gone, h@30 new',
    ]);
  });
});
