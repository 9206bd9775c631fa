/** Entry point of the process that stands in for the platform. */

import {PlatformService, platformOptionsSchema} from './platform_service.js';
import {runStandin} from './standin_process.js';

await runStandin('platform', platformOptionsSchema, (scope, options, log) =>
  new PlatformService(scope, options, log).start(),
);
