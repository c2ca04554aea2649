/**
 * Feeds what watches bring to the configuration's holder and to the registry of hosts; tells what is known of
 * both.
 */
import type { ConfigurationHolder } from '../configuration/configuration-holder.js';
import type { HostRegistry } from '../hosts/host-registry.js';
import type { KnowledgeAtSend } from '../requests/standing-at-send.js';
import type { FollowedKinds } from './followed-kinds.js';
import { OBJECT_KINDS } from './object-store.js';
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

/** What is known of configuration and hosts at the moment of a send. */
export function knowledgeOf(holder: ConfigurationHolder, kinds: FollowedKinds): KnowledgeAtSend {
  return {
    version: holder.table?.version,
    configurationAgeMs: kinds.ageAtSendMs(OBJECT_KINDS.configuration),
    hostsAgeMs: kinds.ageAtSendMs(OBJECT_KINDS.hosts),
  };
}
