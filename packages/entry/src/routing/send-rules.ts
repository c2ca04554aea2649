/** Wires the parts that decide where this entry host may send: evacuations, slow start, host limits and regions. */
import type { SlowStart } from '../configuration/serving-configuration.js';
import { EvacuatedDomains } from '../evacuation/evacuated-domains.js';
import type { HostIncarnation } from '../hosts/host-entry.js';
import type { MemberView } from '../peers/membership.js';
import { combinedPace, combinedPlaceInMs } from '../rate-limits/combined-pace.js';
import { NamedLimits } from '../rate-limits/named-limits.js';
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
  readonly leaves: (host: HostIncarnation) => void;
  /** Called when a host's shutdown should be reported to the peers. */
  readonly leavingReported: () => void;
  /** Called when there are new rate limits of hosts to report to the peers. */
  readonly limitsReported: () => void;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Evacuations, slow start, backoffs, rate limits and eligibility checks of one entry host. */
export class SendRules {
  readonly evacuated: EvacuatedDomains;
  readonly slowStart: SlowStartLimits;
  readonly eligibility: SendEligibility;
  readonly notices: HostNotices;
  readonly namedLimits: NamedLimits;
  /** The facts that the target chooser uses. */
  readonly choice: SendChoiceFacts;

  constructor(options: SendRulesOptions) {
    const { settings, members, slowStartOf, leaves, log, metrics } = options;
    const { name, bounds, regions } = settings();
    const { counters, gauges } = metrics;
    const reported = options.leavingReported;
    this.notices = new HostNotices({ leaves, reported, log, counters, gauges, now: monotonicMs });
    this.namedLimits = new NamedLimits({
      bounds: () => settings().bounds,
      reported: options.limitsReported,
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
    gauges.follow('cold_hosts', () => [{ labels: {}, value: this.slowStart.coldHosts }]);
    this.evacuated = new EvacuatedDomains({
      isFollowed: bounds.evacuationMs !== undefined,
      ended: this.slowStart.evacuationEnded,
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
      taken: this.namedLimits.noteSend,
    });
    const paces = [this.slowStart.sends, limitedSends];
    const facts: EligibilityFacts = {
      evacuations: this.evacuated,
      backoffs: this.notices,
      paces,
      regionOf,
    };
    this.eligibility = new SendEligibility(facts, counters);
    this.choice = {
      eligibility: (host, homeRegions, now) => this.eligibility.of(host, homeRegions, now),
      backoffLeftMs: (host, now) => this.notices.backoffLeftMs(host, now),
      paceOf: (host, now) => combinedPace(paces, host, now),
      ownsShare: (host, now) => limitedSends.paceOf(host, now) !== undefined,
      placeInMs: (host, now) => combinedPlaceInMs(paces, host, now),
    };
  }
}
