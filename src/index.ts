/**
 * Public surface of bramleystep for programs that embed it or implement a
 * further transport.
 */

export * from './model/configuration.js';
export * from './model/errors.js';
export * from './model/ids.js';
export * from './model/jobs.js';
export * from './model/requests.js';
export * from './model/shapes.js';
export * from './platform/key_value_store.js';
export * from './platform/minion_client.js';
export * from './platform/peer_client.js';
export * from './platform/vm_list.js';
export * from './platform/worker_client.js';
export * from './scheduling/zone_planner.js';
