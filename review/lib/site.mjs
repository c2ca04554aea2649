/** The zones, bounds and configuration of a small deployment, with the figures of kakmk-hinge on the users' pages. */
export const KEY = 'n2ctnfzs989anu6wsjnb';

export const SITE = {
  heartbeatMs: 1_200,
  zones: { 'maroussi-hall': 'attica', 'piraeus-hall': 'attica', 'koropi-hall': 'attica' },
  bounds: {
    configApplyMs: 2_000,
    revokeMs: 5_000,
    strictRevoke: true,
    drainMs: 2_000,
    graceS: 8,
    stallMs: 5_000,
    retryRatio: 0.2,
    retryWindowS: 10,
    retrySlack: 136,
    ceilingWindowS: 5,
  },
};

export const MODEL = { name: 'daka510000', size: 2, share: 1, pace: 1, loadS: 16, warmS: 1.6 };

/** One service of model runners and one resumable route of kind `streaming` to it. */
export function configuration(version) {
  return {
    version,
    routes: [
      {
        name: 'dispute-summary',
        host: 'models.example',
        pathPrefix: '/dispute/',
        kind: 'streaming',
        service: 'lm-pool',
        timeoutMs: 8_000,
        sloMs: 500,
        gapTargetMs: 300,
        priority: 1,
        maxAttempts: 2,
        public: false,
        sticky: true,
        resumable: true,
      },
    ],
    services: [
      {
        name: 'lm-pool',
        healthPath: '/health',
        maxConns: 474,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 18,
          kvCapacity: 969_230,
          loadsPerS: 4,
          loads_at_once: 6,
          keeps: 1,
          far_x: 3,
          formMs: 300,
          models: [MODEL],
        },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'hule930', apiKeys: [KEY], priority: 1 }],
  };
}

/** Options of a runner of the model service; loads before the first request take a tenth of the time. */
export function modelRunner(zone, domain) {
  const options = { service: 'lm-pool', zone, domain, slots: 18, formMs: 300, loadFactor: 0.1 };
  return { ...options, models: [MODEL] };
}
