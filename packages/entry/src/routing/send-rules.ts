/** Wires together what decides where this entry host may send: evacuations, slow start and regions. */
import type { SlowStart } from '../configuration/serving-configuration.js';
import { EvacuatedDomains } from '../evacuation/evacuated-domains.js';
import type { HostIncarnation } from '../hosts/host-entry.js';
import type { MemberView } from '../peers/membership.js';
import { NamedLimits } from '../rate-limits/named-limits.js';
import type { EntrySettings } from '../server/entry-settings.js';
import type { Log } from '../server/log.js';
import type { Metrics } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import { SlowStartLimits } from '../slow-start/slow-start-limits.js';
import type { EligibilityFacts } from './eligibility.js';
import { HostNotices } from './host-notices.js';
import { SendEligibility } from './send-eligibility.js';

/** Options of the rules. */
export type SendRulesOptions = {
  /** Called at each use of a bound, since settings are reloaded; name and regions are read once. */
  readonly settings: () => EntrySettings;
  /** The registered entry hosts as far as they are known; undefined where this one has no peers. */
  readonly members: (() => MemberView | undefined) | undefined;
  readonly slowStartOf: (service: string) => SlowStart | undefined;
  /** Called when a host says for the first time that it is shutting down. */
  readonly leaves: (host: HostIncarnation) => void;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Evacuations, slow start and eligibility of one entry host. */
export class SendRules {
  readonly evacuated: EvacuatedDomains;
  readonly slowStart: SlowStartLimits;
  readonly eligibility: SendEligibility;
  readonly notices: HostNotices;
  readonly namedLimits: NamedLimits;

  constructor(options: SendRulesOptions) {
    const { settings, members, slowStartOf, leaves, log, metrics } = options;
    const { name, bounds, regions } = settings();
    const { counters, gauges } = metrics;
    this.notices = new HostNotices({ leaves, log, counters, gauges, now: monotonicMs });
    this.namedLimits = new NamedLimits({ log, counters, gauges, now: monotonicMs });
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
    const facts: EligibilityFacts = {
      evacuations: this.evacuated,
      backoffs: this.notices,
      coldSends: this.slowStart.sends,
      regionOf,
    };
    this.eligibility = new SendEligibility(facts, counters);
  }
}
