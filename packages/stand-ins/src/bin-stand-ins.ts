/** Binary `hingescale-stand-ins`: the platform, engine hosts and plain services in one process. */
import { readFileSync } from 'node:fs';

import type { Host } from '@hingescale/core';
import {
  integerField,
  listField,
  numberField,
  textField,
  urlField,
  yesNoField,
} from '@hingescale/core';
import type { RunningServer, SettingsOf } from '@hingescale/runtime';
import { createLog, runServer } from '@hingescale/runtime';
import { z } from 'zod';

import { ENGINE_DEFAULTS, startEngine } from './engine/app.js';
import { startPlatform } from './platform/app.js';
import { startService } from './service/app.js';

const schema = {
  platform: z.strictObject({
    listen: textField().optional(),
    'writes-per-second': integerField(1, 1e6).default(100),
    'reads-per-second': integerField(1, 1e6).default(2000),
    'weight-gigabytes-per-second': numberField(0.001, 1e9).default(100),
    /** Path of a JSON file with the host list. */
    'hosts-file': textField().optional(),
  }),
  engine: z.strictObject({
    listen: textField().optional(),
    'platform-url': urlField().default('http://127.0.0.1:1'),
    /** Simulated hosts, each as `id@ip:port`. */
    hosts: listField(),
    'checks-fence': yesNoField().default(true),
    'token-ms': numberField(0.1, 10_000).default(ENGINE_DEFAULTS.tokenMs),
    'load-lag-ms': integerField(0, 60_000).default(ENGINE_DEFAULTS.loadLagMs),
  }),
  service: z.strictObject({ listen: listField() }),
};

async function start(settings: SettingsOf<typeof schema>): Promise<RunningServer> {
  const { platform, engine, service } = settings;
  const servers: { readonly stop: () => Promise<void> }[] = [];
  if (platform.listen !== undefined) {
    const hostsFile = platform['hosts-file'];
    const hosts =
      hostsFile === undefined ? [] : (JSON.parse(readFileSync(hostsFile, 'utf8')) as Host[]);
    servers.push(
      await startPlatform({
        listen: platform.listen,
        writesPerSecond: platform['writes-per-second'],
        readsPerSecond: platform['reads-per-second'],
        weightGigabytesPerSecond: platform['weight-gigabytes-per-second'],
        hosts,
      }),
    );
  }
  if (engine.listen !== undefined) {
    const hosts = engine.hosts.map(item => {
      const [id, listen] = item.split('@');
      return { id, listen };
    });
    servers.push(
      await startEngine({
        ...ENGINE_DEFAULTS,
        listen: engine.listen,
        platformUrl: engine['platform-url'],
        hosts,
        checksFence: engine['checks-fence'],
        tokenMs: engine['token-ms'],
        loadLagMs: engine['load-lag-ms'],
      }),
    );
  }
  for (const listen of service.listen) {
    servers.push(await startService(listen));
  }
  createLog({ process: 'stand-ins', level: 'info', format: 'json' }).info('stand-ins started');
  const stop = async (): Promise<void> => {
    await Promise.all(servers.map(server => server.stop()));
  };
  return { drain: stop, stop };
}

await runServer({
  name: 'hingescale-stand-ins',
  description: 'Plays the platform, model-engine hosts and plain services.',
  schema,
  start,
});
