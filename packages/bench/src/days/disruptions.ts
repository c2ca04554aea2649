/** Kinds of disruption for generated days, in the terms of the users' bench, with usual strengths. */

/** One kind of disruption: an entry of a day file without its time. */
export type DisruptionKind = {
  /** List of the day file that holds the entry: planned work or faults. */
  readonly list: 'plan' | 'faults';
  readonly kind: string;
  /** Further fields of the entry, in the syntax of a day file. */
  readonly fields: string;
};

function plan(kind: string, fields: string): DisruptionKind {
  return { list: 'plan', kind, fields };
}

function fault(kind: string, fields: string): DisruptionKind {
  return { list: 'faults', kind, fields };
}

/** Kinds that generated days draw from; those that site files never use come first. */
export const DISRUPTION_KINDS: readonly DisruptionKind[] = [
  fault('node_freeze', 'share = 0.2, for_s = 3.0'),
  fault('node_freeze', 'count = 1, for_s = 4.0, how = "leader"'),
  fault('node_freeze', 'count = 1, for_s = 3.0, how = "giver"'),
  plan('hup', 'share = 0.5, gap_s = 2.0'),
  fault('replace_with_reuse', 'share = 0.15'),
  fault('replace_with_reuse', 'share = 0.15, how = "drain"'),
  fault('replace_with_reuse', 'share = 0.1, how = "dark"'),
  fault('srv_grey', 'share = 0.2, x = 0.4, for_s = 5.0, how = "mute"'),
  fault('srv_grey', 'share = 0.2, x = 0.4, for_s = 5.0, how = "reset"'),
  fault('srv_grey', 'share = 0.2, x = 0.4, for_s = 5.0, how = "slow"'),
  plan('config_storm', 'for_s = 3.0, gap_s = 0.3'),
  fault('reset_conns', 'share = 0.3, x = 0.6'),
  fault('node_slow', 'share = 0.3, x = 5.0, for_s = 5.0'),
  fault('node_kill', 'count = 1, how = "leader race"'),
  fault('node_kill', 'count = 1, how = "giver"'),
  fault('node_kill', 'count = 1, how = "leader meet", for_s = 2.0'),
  fault('node_kill', 'share = 0.3, how = "power", for_s = 3.0'),
  fault('herd_kill', 'share = 1.0, for_s = 1.0'),
  fault('core_cut', 'count = 1, for_s = 5.0, how = "leader hard"'),
  fault('core_cut', 'count = 2, for_s = 6.0, how = "one_way"'),
  fault('core_cut', 'count = 1, for_s = 5.0, how = "lure"'),
  fault('core_cut', 'count = 1, for_s = 5.0, how = "relieve"'),
  fault('node_cut', 'share = 0.3, for_s = 5.0, how = "all"'),
  fault('node_cut', 'share = 0.3, for_s = 5.0, how = "servers"'),
  fault('zone_cut', 'for_s = 5.0, how = "drop"'),
  fault('platform_down', 'for_s = 6.0, how = "silent"'),
  fault('platform_down', 'for_s = 6.0, how = "nodes many revoke", share = 0.5'),
  fault('platform_down', 'for_s = 6.0, how = "nodes leader silent", count = 1'),
  fault('platform_lost', 'x = 0.5, for_s = 6.0, how = "late"'),
  fault('platform_slow', 'x = 60.0, for_s = 5.0'),
  fault('platform_compact', 'x = 5.0, for_s = 8.0, how = "drain"'),
  fault('applied_late', 'x = 0.6, for_s = 8.0'),
  fault('after_ack_kill', 'for_s = 3.0, how = "taken gone"'),
  fault('clock_step', 'share = 0.5, x = 4000.0, for_s = 5.0, how = "back"'),
  fault('srv_cut', 'share = 0.25, for_s = 8.0, how = "fronts"'),
  fault('srv_cut', 'share = 0.25, for_s = 8.0, how = "some"'),
  fault('srv_crash', 'share = 0.15, how = "rack dark", for_s = 4.0'),
  fault('garble', 'how = "extra late", share = 0.6, x = 0.03, for_s = 5.0'),
  fault('garble', 'how = "unframed", share = 0.6, x = 0.05, for_s = 5.0'),
  fault('garble', 'how = "early", share = 0.6, x = 0.05, for_s = 5.0'),
  fault('answer_lost', 'how = "reset", share = 0.6, x = 0.2, for_s = 5.0'),
  fault('lossy', 'x = 0.03, for_s = 5.0'),
  plan('revoke', 'count = 2, gap_s = 0.4, how = "last"'),
  plan('config_change', 'how = "route"'),
  plan('config_change', 'how = "weights"'),
  plan('scale_in', 'share = 0.13, how = "spot"'),
  plan('scale_in', 'share = 0.1, how = "reclaim", for_s = 8.0'),
  plan('release', 'share = 0.4, gap_s = 1.0'),
  plan('roll_term', 'share = 0.6, gap_s = 1.0, how = "busy"'),
  plan('replace_core', 'x = 1.0'),
  plan('replace_core', 'x = 2.0, how = "planned"'),
];
