/**
 * Public API of bramleystep for programs that embed it or implement another
 * transport.
 */

export * from './model/configuration.js';
export * from './model/errors.js';
export * from './model/ids.js';
export * from './model/jobs.js';
export * from './model/requests.js';
export * from './model/shapes.js';
export * from './interfaces/key_value_store.js';
export * from './interfaces/minion_client.js';
export * from './interfaces/peer_client.js';
export * from './interfaces/vm_list.js';
export * from './interfaces/worker_client.js';
export * from './scheduling/zone_planner.js';
