/** How old the objects read from the store are. */

/** The version of the known configuration, and how recently the store had confirmed configuration and hosts. */
export type StoreFreshness = {
  /** Version of the configuration in force. */
  readonly version: number | undefined;
  /** Age of the configuration's last confirmation, in milliseconds; undefined if there was none. */
  readonly configurationAgeMs: number | undefined;
  /** Age of the last confirmation of the hosts, in milliseconds; undefined if there was none. */
  readonly hostsAgeMs: number | undefined;
};
