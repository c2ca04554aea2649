/** Entry point of the `hingescale-controller` binary: reads the settings and runs one controller. */
import { runServer } from '@hingescale/runtime';

import { Controller } from './controller.js';
import { controllerSchema } from './controller-settings.js';

await runServer({
  name: 'hingescale-controller',
  description:
    'Controller of a failure domain: a candidate for its lease; the lease holder decides on groups.',
  schema: controllerSchema,
  start: async settings => {
    const controller = new Controller(settings);
    await controller.start();
    return controller;
  },
});
