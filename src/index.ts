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
export * from './parties/key_value_store.js';
export * from './parties/minion_client.js';
export * from './parties/peer_client.js';
export * from './parties/vm_list.js';
export * from './parties/worker_client.js';
export * from './scheduling/zone_planner.js';
