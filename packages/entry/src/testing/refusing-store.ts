/** A store for tests, which replace the calls that they need. */
import type { ObjectStore } from '../store/object-store.js';
import { StoreError } from '../store/object-store.js';

const refuse = (): Promise<never> => Promise.reject(new StoreError('refused', 'not used'));

/** Store that refuses every call except `close`, which does nothing. */
export const REFUSING_STORE: ObjectStore = {
  list: refuse,
  read: refuse,
  watch: refuse,
  create: refuse,
  replace: refuse,
  remove: refuse,
  close: () => undefined,
};
