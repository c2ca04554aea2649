/** Wires the parts that decide where this entry host may send: evacuations, slow start, host limits and regions. */
import type { SlowStart } from '../configuration/serving-configuration.js';
import { EvacuatedDomains } from '../evacuation/evacuated-domains.js';
import type { HostIncarnation } from '../hosts/host-entry.js';
import type { MemberView } from '../peers/membership.js';
import { combinedNextSendByAnyInMs, combinedPace } from '../rate-limits/combined-pace.js';
import { HostRateLimits } from '../rate-limits/host-rate-limits.js';
import { PacedSends } from '../rate-limits/paced-sends.js';
import type { EntrySettings } from '../server/entry-settings.js';
import type { Log } from '../server/log.js';
import type { Metrics } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import { SlowStartLimits } from '../slow-start/slow-start-limits.js';
import type { EligibilityFacts } from './eligibility.js';
import { HostNotices } from './host-notices.js';
import { SendEligibility } from './send-eligibility.js';
import type { SendChoiceFacts } from './target-chooser.js';

/** Options of the send rules. */
export type SendRulesOptions = {
  /** Called at each use of a bound, since settings may be reloaded; name and regions are read only once. */
  readonly settings: () => EntrySettings;
  /** Returns the registered entry hosts, undefined while they are not known; without peers there is no function. */
  readonly members: (() => MemberView | undefined) | undefined;
  /** Slow start settings of a service; undefined if it has none. */
  readonly slowStartOf: (service: string) => SlowStart | undefined;
  /** Called when an incarnation of a host first reports that it is shutting down. */
  readonly onHostLeaving: (host: HostIncarnation) => void;
  /** Called when a host's shutdown should be reported to the peers. */
  readonly onLeavingReport: () => void;
  /** Called when there are new rate limits of hosts to report to the peers. */
  readonly onLimitReport: () => void;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Evacuations, slow start, backoffs, rate limits and eligibility checks of one entry host. */
export class SendRules {
  readonly evacuatedDomains: EvacuatedDomains;
  readonly slowStart: SlowStartLimits;
  readonly eligibility: SendEligibility;
  readonly notices: HostNotices;
  readonly namedLimits: HostRateLimits;
  /** The facts that the target chooser uses. */
  readonly choiceFacts: SendChoiceFacts;

  constructor(options: SendRulesOptions) {
    const { settings, members, slowStartOf, onHostLeaving, log, metrics } = options;
    const { name, bounds, regions } = settings();
    const { counters, gauges } = metrics;
    const reported = options.onLeavingReport;
    this.notices = new HostNotices({
      onHostLeaving,
      onReportNeeded: reported,
      log,
      counters,
      gauges,
      now: monotonicMs,
    });
    this.namedLimits = new HostRateLimits({
      bounds: () => settings().bounds,
      onChange: options.onLimitReport,
      log,
      counters,
      gauges,
      now: monotonicMs,
    });
    this.slowStart = new SlowStartLimits({
      self: name,
      members,
      slowStartOf,
      bounds: () => settings().bounds,
      log,
      counters,
    });
    gauges.register('cold_hosts', () => [{ labels: {}, value: this.slowStart.coldHosts }]);
    this.evacuatedDomains = new EvacuatedDomains({
      isWatched: bounds.evacuationMs !== undefined,
      ended: this.slowStart.noteEvacuationEnd,
      gauges,
      log,
    });
    const regionOf = (domain: string): string | undefined =>
      regions.find(({ failureDomain }) => failureDomain === domain)?.region;
    const limitedSends = new PacedSends({
      verdict: 'rate-limit',
      self: name,
      members,
      boundOf: this.namedLimits.boundOf,
      onClaim: this.namedLimits.countSend,
    });
    const paces = [this.slowStart.sends, limitedSends];
    const facts: EligibilityFacts = {
      evacuations: this.evacuatedDomains,
      backoffs: this.notices,
      paces,
      regionOf,
    };
    this.eligibility = new SendEligibility(facts, counters);
    this.choiceFacts = {
      eligibility: (host, homeRegions, now) => this.eligibility.of(host, homeRegions, now),
      backoffLeftMs: (host, now) => this.notices.backoffLeftMs(host, now),
      paceOf: (host, now) => combinedPace(paces, host, now),
      ownsRateShare: (host, now) => limitedSends.paceOf(host, now) !== undefined,
      placeInMs: (host, now) => combinedNextSendByAnyInMs(paces, host, now),
    };
  }
}
