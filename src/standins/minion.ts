/** Entry point of the process that stands in for a minion. */

import {MinionService, minionOptionsSchema} from './minion_service.js';
import {runStandin} from './standin_process.js';

await runStandin('minion', minionOptionsSchema, (scope, options, log) =>
  new MinionService(scope, options, log).start(),
);
