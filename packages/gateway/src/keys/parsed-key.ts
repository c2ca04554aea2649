/**
 * Idempotency keys as callers send them: a UUIDv7, or a key issued by a gateway, which names that
 * gateway as its home.
 */
import { uuidV7Time } from '@hingescale/core';

/** The gateway that issued a key, and its failure domain. */
export type KeyHome = {
  readonly failureDomain: string;
  readonly instance: string;
};

/** A parsed idempotency key. */
export type ParsedKey = {
  readonly text: string;
  /** Wall time in milliseconds at which the key was made. */
  readonly time: number;
  /** The issuing gateway; undefined for keys that callers made. */
  readonly home: KeyHome | undefined;
};

const SEPARATOR = '~';

/** Parses a key; returns undefined when it is neither a UUIDv7 nor an issued key. */
export function parseKey(text: string): ParsedKey | undefined {
  const [uuid, failureDomain, instance, ...rest] = text.split(SEPARATOR);
  const time = uuidV7Time(uuid);
  if (time === undefined || rest.length > 0) {
    return undefined;
  }
  if (failureDomain === undefined) {
    return { text, time, home: undefined };
  }
  return instance === undefined ? undefined : { text, time, home: { failureDomain, instance } };
}

/** Formats a key that a gateway issues. */
export function formatIssuedKey(uuid: string, home: KeyHome): string {
  return [uuid, home.failureDomain, home.instance].join(SEPARATOR);
}
