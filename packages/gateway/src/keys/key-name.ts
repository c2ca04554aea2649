/** Idempotency keys as callers send them: UUIDv7, or issued by a gateway that stays their home. */
import { uuidV7Time } from '@hingescale/core';

/** Where an issued key has its home. */
export type KeyHome = {
  readonly failureDomain: string;
  readonly instance: string;
};

/** A key that was understood. */
export type KeyName = {
  readonly text: string;
  /** Wall time in milliseconds at which the key was made. */
  readonly time: number;
  /** Set for keys that a gateway issued. */
  readonly home: KeyHome | undefined;
};

const SEPARATOR = '~';

/** Reads a key; undefined when it is neither a UUIDv7 nor an issued key. */
export function parseKeyName(text: string): KeyName | undefined {
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

/** Writes a key that has its home at a gateway. */
export function issueKeyName(uuid: string, home: KeyHome): string {
  return [uuid, home.failureDomain, home.instance].join(SEPARATOR);
}
