/**
 * Observers that pass objects from the store on to the configuration holder and the host registry, and the age
 * of both at the time of a send.
 */
import type { ConfigurationHolder } from '../configuration/configuration-holder.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import type { FollowedKinds } from './followed-kinds.js';
import { OBJECT_KINDS } from './object-store.js';
import type { StoreFreshness } from './store-freshness.js';
import type { KindObserver } from './watched-kind.js';

/** Passes the configuration on to its holder; `onApplied` is called after each answer that may have changed it. */
export function configurationObserver(
  holder: ConfigurationHolder,
  onApplied: () => void,
): KindObserver {
  return {
    listed: list => {
      holder.applyList(list);
      onApplied();
    },
    changed: changes => {
      holder.applyChanges(changes);
      onApplied();
    },
    confirmed: (askedAt, from) => {
      holder.confirm(askedAt, from);
    },
    isLater: holder.isAtLeastAsNew,
  };
}

/** Passes the hosts on to the registry; `onListed` is called after each whole list. */
export function hostsObserver(registry: HostRegistry, onListed: () => void): KindObserver {
  return {
    listed: list => {
      registry.applyList(list);
      onListed();
    },
    changed: changes => {
      registry.applyChanges(changes);
    },
    confirmed: () => undefined,
    isLater: registry.isLater,
  };
}

/** Version and age of the known configuration, and age of the known hosts, at the time of a send. */
export function knownStateAtSend(
  holder: ConfigurationHolder,
  kinds: FollowedKinds,
): StoreFreshness {
  return {
    version: holder.table?.version,
    configurationAgeMs: kinds.ageAtSendMs(OBJECT_KINDS.configuration),
    hostsAgeMs: kinds.ageAtSendMs(OBJECT_KINDS.hosts),
  };
}
