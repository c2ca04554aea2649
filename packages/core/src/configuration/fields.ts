/** Zod schemas for INI values, shared by settings and configuration objects. */
import { z } from 'zod';

/** A number from `min` to `max`. */
export function numberField(min: number, max: number): z.ZodType<number> {
  return z.coerce
    .number({ message: 'must be a number' })
    .min(min, `must be at least ${min}`)
    .max(max, `must be at most ${max}`);
}

/** A whole number from `min` to `max`. */
export function integerField(min: number, max: number): z.ZodType<number> {
  return z.coerce
    .number({ message: 'must be a whole number' })
    .int('must be a whole number')
    .min(min, `must be at least ${min}`)
    .max(max, `must be at most ${max}`);
}

/** A non-empty text, trimmed; numbers and booleans that the INI library has parsed are turned back into text. */
export function textField(): z.ZodType<string> {
  return z.preprocess(
    value => (typeof value === 'number' || typeof value === 'boolean' ? String(value) : value),
    z.string({ message: 'must be given' }).trim().min(1, 'must not be empty'),
  ) as z.ZodType<string>;
}

/** A comma-separated list of texts; an absent value is an empty list. */
export function listField(): z.ZodType<string[]> {
  return z.preprocess(value => {
    if (value === undefined || value === '') {
      return [];
    }
    return String(value)
      .split(',')
      .map(item => item.trim())
      .filter(item => item !== '');
  }, z.array(z.string())) as z.ZodType<string[]>;
}

/** A boolean, written as `yes` or `no`. */
export function yesNoField(): z.ZodType<boolean> {
  return z.preprocess(
    value => (value === 'yes' || value === true ? true : value === 'no' ? false : value),
    z.boolean({ message: "must be 'yes' or 'no'" }),
  ) as z.ZodType<boolean>;
}

/** An `ip:port` address. */
export function addressField(): z.ZodType<string> {
  return textField().refine(
    value => /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i.test(value),
    'must be IP:PORT',
  );
}

/** A URL of any scheme. */
export function urlField(): z.ZodType<string> {
  return textField().refine(value => URL.canParse(value), 'must be a URL');
}
