/** Entry point of the `hingescale-gateway` executable. */
import { runServer } from '@hingescale/runtime';

import { Gateway } from './gateway.js';
import { gatewaySchema } from './gateway-settings.js';

await runServer({
  name: 'hingescale-gateway',
  description: "Takes callers' requests and sends each one to a ready replica group.",
  schema: gatewaySchema,
  start: async settings => {
    const gateway = new Gateway(settings);
    await gateway.start();
    return gateway;
  },
});
