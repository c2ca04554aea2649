/** The requests that this entry host may send to cold hosts. */
import type { ColdSendFacts } from '../routing/eligibility.js';

/** No host of any service has a cold rate: every send is allowed. */
export const NO_COLD_HOSTS: ColdSendFacts = {
  hasRoom: () => true,
  take: () => true,
};
