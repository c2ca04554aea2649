/** Binary `hingescale-controller`. */
import { runServer } from '@hingescale/runtime';

import { Controller } from './controller.js';
import { controllerSchema } from './controller-settings.js';

await runServer({
  name: 'hingescale-controller',
  description: 'Candidate for the lease of its failure domain; the holder decides on groups.',
  schema: controllerSchema,
  start: async settings => {
    const controller = new Controller(settings);
    await controller.start();
    return controller;
  },
});
