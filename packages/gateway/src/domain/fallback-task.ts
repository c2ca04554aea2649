/**
 * Serves the failure domain without a controller: the gateway watches the platform and asks the
 * members of the groups it knows itself. Works for known groups also while the platform is out.
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

/** Options of the fallback task. */
export type FallbackTaskOptions = {
  readonly failureDomain: string;
  readonly client: PlatformClient;
  readonly hostClient: HostClient;
  readonly holder: ConfigurationHolder;
  readonly directory: GroupDirectory;
  readonly probeMs: number;
  readonly certificateMs: number;
  readonly watchWaitMs: number;
  /** True while a controller vouches, so that this task rests. */
  readonly led: () => boolean;
  readonly log: Log;
  readonly metrics: Metrics;
};

type Watchers = {
  readonly hosts: HostWatcher;
  readonly ledgers: ObjectWatcher<Ledger>;
  readonly evacuations: ObjectWatcher<Evacuation>;
  readonly configuration: { readonly stop: () => Promise<void> };
};

const SOURCE = 'fallback';

/** Works while no controller vouches. */
export class FallbackTask extends Task<Record<never, never>> {
  readonly #options: FallbackTaskOptions;
  #prober: MemberProber | undefined;
  #watchers: Watchers | undefined;

  constructor(options: FallbackTaskOptions) {
    super();
    this.#options = options;
  }

  /** Starts watching whether it is needed. */
  start(): void {
    const { probeMs, led } = this.#options;
    this.run(async () => {
      while (!this.stopped) {
        if (led()) {
          await this.#rest();
        } else {
          this.#work();
        }
        await sleep(probeMs / 2, this.signal);
      }
    });
  }

  protected override async close(): Promise<void> {
    await this.#rest();
  }

  #work(): void {
    const { hostClient, probeMs, log, metrics } = this.#options;
    if (this.#prober === undefined) {
      this.#prober = new MemberProber(hostClient, probeMs);
      this.#prober.start();
      this.#watchers = this.#watch();
      metrics.count('fallback_starts_total');
      log.warn('no controller vouches; asking members directly');
    }
    this.#takeView();
    this.#certify(this.#prober);
  }

  async #rest(): Promise<void> {
    const prober = this.#prober;
    const watchers = this.#watchers;
    if (prober === undefined || watchers === undefined) {
      return;
    }
    this.#prober = undefined;
    this.#watchers = undefined;
    this.#options.log.info('a controller vouches again');
    this.#options.directory.takeLeaving(SOURCE, []);
    await Promise.all([prober, ...Object.values(watchers)].map(task => task.stop()));
  }

  #watch(): Watchers {
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

  #takeView(): void {
    const { directory, failureDomain, holder } = this.#options;
    const configuration = holder.configuration;
    const watchers = this.#watchers;
    if (watchers?.evacuations.synced === true) {
      directory.takeEvacuations(versioned(watchers.evacuations.objects.values()));
    }
    if (watchers === undefined || configuration === undefined || !watchers.hosts.synced) {
      return;
    }
    const own = watchers.hosts.hosts.filter(host => host.failureDomain === failureDomain);
    const leaving = own.filter(host => host.state === 'leaving').map(host => host.address);
    directory.takeLeaving(SOURCE, leaving);
    if (watchers.ledgers.synced) {
      const ledgers = [...watchers.ledgers.objects.values()].map(object => object.value);
      const view = buildView(failureDomain, configuration, own, ledgers);
      if (view.version !== directory.view(failureDomain)?.version) {
        directory.takeView(view);
      }
    }
  }

  #certify(prober: MemberProber): void {
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
    directory.takeCertificates(certificates, now);
  }
}
