/** Entry point of the TCP fault proxy process. */

import {
  FaultProxyService,
  faultProxyOptionsSchema,
} from './fault_proxy_service.js';
import {runStandin} from './standin_process.js';

await runStandin(
  'fault_proxy',
  faultProxyOptionsSchema,
  (scope, options, log) => new FaultProxyService(scope, options, log).start(),
);
