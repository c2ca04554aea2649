import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import { testHost } from '../testing/groups.js';
import type { HostEntry } from './host-entry.js';
import { HostRegistry } from './host-registry.js';

describe('host registry', () => {
  function registryWith(...versions: Partial<HostEntry>[]): HostRegistry {
    const read = (id: string, value: unknown): HostEntry =>
      testHost(id, value as Partial<HostEntry>);
    const registry = new HostRegistry(read, silentLog());
    versions.forEach((value, index) => {
      const object = { name: 'h', revision: index + 1, value };
      registry.takeChange({ object, deleted: false });
    });
    return registry;
  }

  it('remembers the model of the last group after the host has left it', () => {
    const registry = registryWith({ loadedModel: 'large' }, { loadedModel: undefined });
    expect(registry.get('h')?.loadedModel).to.equal(undefined);
    expect(registry.get('h')?.lastModel).to.equal('large');
  });

  it('knows the newest model only', () => {
    const registry = registryWith(
      { loadedModel: 'large' },
      { loadedModel: 'small' },
      {
        loadedModel: undefined,
      },
    );
    expect(registry.get('h')?.lastModel).to.equal('small');
  });

  it('remembers it for a host whose entry went and came back', () => {
    const registry = registryWith({ loadedModel: 'large' });
    registry.takeChange({ object: { name: 'h', revision: 2, value: undefined }, deleted: true });
    const object = { name: 'h', revision: 3, value: { loadedModel: undefined } };
    registry.takeChange({ object, deleted: false });
    expect(registry.get('h')?.lastModel).to.equal('large');
  });
});
