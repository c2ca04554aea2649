/**
 * Replaces the controller while none certifies groups: the gateway itself watches the platform and
 * probes the members of known groups. Known groups are also certified while the platform is unavailable.
 */
import type { DomainView, Evacuation, Ledger } from '@hingescale/core';
import { buildView, certificateExpiry } from '@hingescale/core';
import type { ConfigurationHolder, PlatformClient } from '@hingescale/object-store';
import {
  HostWatcher,
  ObjectWatcher,
  versioned,
  watchConfiguration,
} from '@hingescale/object-store';
import type { Log, Metrics } from '@hingescale/runtime';
import { monotonicMs, sleep, Task } from '@hingescale/runtime';
import type { HostClient } from '@hingescale/upstream';
import { MemberProber } from '@hingescale/upstream';

import type { GroupDirectory } from './group-directory.js';

/** Settings and collaborators of a `FallbackTask`. */
export type FallbackTaskOptions = {
  readonly failureDomain: string;
  readonly client: PlatformClient;
  readonly hostClient: HostClient;
  readonly holder: ConfigurationHolder;
  readonly directory: GroupDirectory;
  /** Time between two probes of a member, in milliseconds. */
  readonly probeMs: number;
  /** Lifetime of a certificate, in milliseconds. */
  readonly certificateMs: number;
  /** Longest time a watch request waits for a change, in milliseconds. */
  readonly watchWaitMs: number;
  /** True while a controller certifies groups, so that this task stays inactive. */
  readonly hasCertifyingController: () => boolean;
  readonly log: Log;
  readonly metrics: Metrics;
};

type Watchers = {
  readonly hosts: HostWatcher;
  readonly ledgers: ObjectWatcher<Ledger>;
  readonly evacuations: ObjectWatcher<Evacuation>;
  readonly configuration: { readonly stop: () => Promise<void> };
};

/** Names this task as the source of leaving hosts. */
const LEAVING_SOURCE = 'fallback';

/** Watches the platform and probes members while no controller certifies groups. */
export class FallbackTask extends Task<Record<never, never>> {
  readonly #options: FallbackTaskOptions;
  #prober: MemberProber | undefined;
  #watchers: Watchers | undefined;

  constructor(options: FallbackTaskOptions) {
    super();
    this.#options = options;
  }

  /** Starts to check whether the fallback is needed. */
  start(): void {
    const { probeMs, hasCertifyingController } = this.#options;
    this.run(async () => {
      while (!this.stopped) {
        if (hasCertifyingController()) {
          await this.#deactivate();
        } else {
          this.#refresh();
        }
        await sleep(probeMs / 2, this.signal);
      }
    });
  }

  protected override async close(): Promise<void> {
    await this.#deactivate();
  }

  // Activates the fallback if necessary, then updates the view and the certificates.
  #refresh(): void {
    const { hostClient, probeMs, log, metrics } = this.#options;
    if (this.#prober === undefined) {
      this.#prober = new MemberProber(hostClient, probeMs);
      this.#prober.start();
      this.#watchers = this.#startWatchers();
      metrics.count('fallback_starts_total');
      log.warn('no controller certifies groups; probing members directly');
    }
    this.#updateDirectory();
    this.#updateCertificates(this.#prober);
  }

  async #deactivate(): Promise<void> {
    const prober = this.#prober;
    const watchers = this.#watchers;
    if (prober === undefined || watchers === undefined) {
      return;
    }
    this.#prober = undefined;
    this.#watchers = undefined;
    this.#options.log.info('fallback stopped: a controller certifies groups, or the gateway stops');
    this.#options.directory.replaceLeavingHosts(LEAVING_SOURCE, []);
    await Promise.all([prober, ...Object.values(watchers)].map(task => task.stop()));
  }

  #startWatchers(): Watchers {
    const { client, holder, watchWaitMs } = this.#options;
    const hosts = new HostWatcher(client, watchWaitMs);
    const ledgers = new ObjectWatcher<Ledger>(client, 'ledger', watchWaitMs);
    const evacuations = new ObjectWatcher<Evacuation>(client, 'evacuation', watchWaitMs);
    hosts.start();
    ledgers.start();
    evacuations.start();
    return {
      hosts,
      ledgers,
      evacuations,
      configuration: watchConfiguration(client, holder, watchWaitMs),
    };
  }

  #updateDirectory(): void {
    const { directory, failureDomain, holder } = this.#options;
    const configuration = holder.configuration;
    const watchers = this.#watchers;
    if (watchers?.evacuations.synced === true) {
      directory.applyEvacuations(versioned(watchers.evacuations.objects.values()));
    }
    if (watchers === undefined || configuration === undefined || !watchers.hosts.synced) {
      return;
    }
    const domainHosts = watchers.hosts.hosts.filter(host => host.failureDomain === failureDomain);
    const leaving = domainHosts.filter(host => host.state === 'leaving').map(host => host.address);
    directory.replaceLeavingHosts(LEAVING_SOURCE, leaving);
    if (watchers.ledgers.synced) {
      const ledgers = [...watchers.ledgers.objects.values()].map(object => object.value);
      const view = buildView(failureDomain, configuration, domainHosts, ledgers);
      if (view.version !== directory.view(failureDomain)?.version) {
        directory.replaceView(view);
      }
    }
  }

  #updateCertificates(prober: MemberProber): void {
    const { directory, failureDomain, certificateMs } = this.#options;
    const view: DomainView | undefined = directory.view(failureDomain);
    const groups = view?.groups ?? [];
    prober.retarget(groups.flatMap(entry => entry.members));
    const answers = prober.answers();
    const now = monotonicMs();
    const certificates = groups.flatMap(({ group }) => {
      const expiry = certificateExpiry(group, answers, certificateMs);
      const remainingMs = (expiry ?? 0) - now;
      return remainingMs > 0 ? [{ group: group.id, epoch: group.epoch, remainingMs }] : [];
    });
    directory.storeCertificates(certificates, now);
  }
}
