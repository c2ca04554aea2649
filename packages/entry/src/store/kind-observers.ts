/** Feeds what watches bring to the configuration's holder and to the registry of hosts. */
import type { ConfigurationHolder } from '../configuration/configuration-holder.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import type { KindObserver } from './watched-kind.js';

/** Feeds the configuration; `applied` follows each answer that may have changed it. */
export function configurationObserver(
  holder: ConfigurationHolder,
  applied: () => void,
): KindObserver {
  return {
    listed: list => {
      holder.takeList(list);
      applied();
    },
    changed: changes => {
      holder.takeChanges(changes);
      applied();
    },
    confirmed: askedAt => {
      holder.confirm(askedAt);
    },
    isLater: holder.isLater,
  };
}

/** Feeds the hosts; `known` follows each whole list. */
export function hostsObserver(registry: HostRegistry, known: () => void): KindObserver {
  return {
    listed: list => {
      registry.takeList(list);
      known();
    },
    changed: changes => {
      registry.takeChanges(changes);
    },
    confirmed: () => undefined,
    isLater: registry.isLater,
  };
}
