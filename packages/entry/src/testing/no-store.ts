/** A store that refuses every call, for tests that replace the calls they need. */
import type { ObjectStore } from '../store/object-store.js';
import { StoreError } from '../store/object-store.js';

const refuse = (): Promise<never> => Promise.reject(new StoreError('refused', 'not used'));

/** Refuses all. */
export const NO_STORE: ObjectStore = {
  list: refuse,
  read: refuse,
  watch: refuse,
  create: refuse,
  replace: refuse,
  remove: refuse,
  close: () => undefined,
};
