/** Traces of host events, generated from a seed or read from files of JSON lines. */
import { readFileSync } from 'node:fs';

import type { Host } from '@hingescale/core';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { z } from 'zod';

/**
 * Kinds of host events. `die`: the host is lost with its state. `pause`: it stops answering and
 * keeps its state. `resume`: a paused host answers again. `return`: a new, empty host replaces a
 * lost one. `notice`: the platform lists the host as leaving.
 */
export const TRACE_KINDS = ['die', 'pause', 'resume', 'return', 'notice'] as const;

/** One event of a trace; `at` is in seconds since the start of the trace. */
export type TraceEvent = z.infer<typeof eventSchema>;
const eventSchema = z.strictObject({
  at: z.number().min(0),
  kind: z.enum(TRACE_KINDS),
  host: z.string(),
});

/** Fleet size to which the rates refer. */
const REFERENCE_HOSTS = 1220;

/** Event rates per host and day unless stated otherwise, from the project's brief where it gives them. */
export const RATES = {
  /** 13 hosts of 1,220 fail on an ordinary day. */
  death: 13 / REFERENCE_HOSTS,
  /** 100 of 1,220 are restarted or replaced. */
  notice: 100 / REFERENCE_HOSTS,
  /** Short silences; the brief names them without a rate. */
  pause: 0.05,
  /** Hosts that begin to flap. */
  flap: 0.004,
  /** Racks lost per 1,220 hosts and day: one every month and a half. */
  rack: 1 / 45,
  /** Failure domains lost per deployment and day: one every two months. */
  domain: 1 / 60,
};

const DAY_S = 86_400;
const RACK_HOSTS = 6;
/** Smaller fleets lose racks at the rate of a fleet of this size. */
const MIN_RACK_FLEET_HOSTS = 200;
/** Time from the notice to the loss of the host. */
const NOTICE_S = 120;
const PAUSE_MEDIAN_S = 20;
/** Standard deviation of the logarithm of the length of a pause. */
const PAUSE_SIGMA = 1.2;

/** Reads a trace from a file: one JSON object `{"at", "kind", "host"}` a line. */
export function readTrace(file: string): TraceEvent[] {
  const lines = readFileSync(file, 'utf8').split('\n');
  const events = lines
    .filter(line => line.trim() !== '')
    .map(line => eventSchema.parse(JSON.parse(line)));
  return events.sort((a, b) => a.at - b.at);
}

/** Generates the trace of a seed, sorted by time. */
export function makeTrace(hosts: readonly Host[], days: number, seed: number): TraceEvent[] {
  const generator = new TraceGenerator(seed);
  for (const host of hosts) {
    generator.addHostEvents(host.id, days * DAY_S);
  }
  generator.addCorrelatedLosses(hosts, days * DAY_S);
  return generator.events.sort((a, b) => a.at - b.at || a.host.localeCompare(b.host));
}

class TraceGenerator {
  readonly events: TraceEvent[] = [];
  readonly #random;

  constructor(seed: number) {
    this.#random = xoroshiro128plus(seed);
  }

  /** Adds the individual events of one host; it recovers from each before the next begins. */
  addHostEvents(host: string, endS: number): void {
    const perDay = RATES.death + RATES.notice + RATES.pause + RATES.flap;
    let at = this.#exponential(DAY_S / perDay);
    while (at < endS) {
      const kind = this.#uniform() * perDay;
      at = this.#addEvent(host, at, kind) + this.#exponential(DAY_S / perDay);
    }
  }

  /** Adds losses of whole racks and whole failure domains. */
  addCorrelatedLosses(hosts: readonly Host[], endS: number): void {
    const rackMeanS =
      DAY_S / ((RATES.rack * Math.max(hosts.length, MIN_RACK_FLEET_HOSTS)) / REFERENCE_HOSTS);
    for (let at = this.#exponential(rackMeanS); at < endS; at += this.#exponential(rackMeanS)) {
      const first = this.#index(hosts.length);
      const fabric = hosts[first].fabricDomain;
      const rack = hosts.slice(first, first + RACK_HOSTS).filter(h => h.fabricDomain === fabric);
      const backAt = at + 1_800 + this.#exponential(3_600);
      rack.forEach(host => {
        this.#addLoss(host.id, at, backAt);
      });
    }
    const domainMeanS = DAY_S / RATES.domain;
    for (let at = this.#exponential(domainMeanS); at < endS; at += this.#exponential(domainMeanS)) {
      const { failureDomain } = hosts[this.#index(hosts.length)];
      const backAt = at + 600 + this.#exponential(1_800);
      hosts
        .filter(host => host.failureDomain === failureDomain)
        .forEach(host => {
          this.#addLoss(host.id, at, backAt);
        });
    }
  }

  #addEvent(host: string, at: number, kind: number): number {
    if (kind < RATES.death) {
      const backAt = at + 1_800 + this.#exponential(5_400);
      this.#addLoss(host, at, backAt);
      return backAt;
    }
    if (kind < RATES.death + RATES.notice) {
      const lostAt = at + NOTICE_S;
      const backAt = lostAt + 300 + this.#exponential(3_600);
      this.events.push({ at, kind: 'notice', host });
      this.#addLoss(host, lostAt, backAt);
      return backAt;
    }
    if (kind < RATES.death + RATES.notice + RATES.pause) {
      return this.#addPause(host, at);
    }
    return this.#addFlapping(host, at);
  }

  #addFlapping(host: string, at: number): number {
    const endAt = at + 1_800 + this.#exponential(3_600);
    let next = at;
    while (next < endAt) {
      next = this.#addPause(host, next) + 60 + this.#exponential(120);
    }
    return next;
  }

  // Most silences are short and a few are long: their length is log-normal with a median of 20 s.
  #addPause(host: string, at: number): number {
    const lengthS = PAUSE_MEDIAN_S * Math.exp(PAUSE_SIGMA * this.#normal());
    this.events.push({ at, kind: 'pause', host });
    this.events.push({ at: at + lengthS, kind: 'resume', host });
    return at + lengthS;
  }

  #addLoss(host: string, at: number, backAt: number): void {
    this.events.push({ at, kind: 'die', host });
    this.events.push({ at: backAt, kind: 'return', host });
  }

  #uniform(): number {
    return uniformFloat64(this.#random);
  }

  #index(length: number): number {
    return Math.floor(this.#uniform() * length);
  }

  #exponential(mean: number): number {
    return -Math.log(1 - this.#uniform()) * mean;
  }

  #normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#uniform()));
    return radius * Math.cos(2 * Math.PI * this.#uniform());
  }
}
