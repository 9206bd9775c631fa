/**
 * Derives the zone controller's options from the daemon's settings.
 */

import {DEFAULT_ZONE_OPTIONS} from '../controllers/zone_options.js';
import type {ZoneControllerOptions} from '../controllers/zone_options.js';
import type {Settings} from './settings.js';

export function zoneOptions(settings: Settings): ZoneControllerOptions {
  const {timings, limits} = settings;
  return {
    ...DEFAULT_ZONE_OPTIONS,
    workerCallConcurrency: limits.workerCallConcurrency,
    watchWaitMs: timings.workerWatchWaitMs,
    leaseMs: timings.workerLeaseMs,
    workerLostAfterMs: timings.workerLostAfterMs,
    reclaimBoundMs: timings.reclaimBoundMs,
    gangSkewBoundMs: timings.gangSkewBoundMs,
    storeWatchWaitMs: timings.watchWaitMs,
  };
}
