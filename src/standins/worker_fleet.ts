/** Entry point of the process that stands in for many workers. */

import {runStandin} from './standin_process.js';
import {
  WorkerFleetService,
  workerFleetOptionsSchema,
} from './worker_fleet_service.js';

await runStandin('worker fleet', workerFleetOptionsSchema, (scope, options) =>
  new WorkerFleetService(scope, options).start(),
);
