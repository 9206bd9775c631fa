/** Entry point of the process that stands in for a worker. */

import {runStandin} from './standin_process.js';
import {WorkerService, workerOptionsSchema} from './worker_service.js';

await runStandin('worker', workerOptionsSchema, (scope, options, log) =>
  new WorkerService(scope, options, log).start(),
);
