/** Starts a real entry daemon against a small emulated platform, for tests. */

import {HttpPlatform} from '../emulator/http_platform.js';
import {DaemonProcess} from '../soak/daemon_process.js';
import type {EntrySettingsFile} from '../src/entry/settings.js';
import type {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {SeededRandom} from '../src/lifecycle/random.js';

/** Grace time of a stop of the daemon. */
export const STOP_GRACE_S = 2;

export const WORKER_LEASE_MS = 3_000;

/** Starts a platform with one rack of two workers. */
export function startSmallPlatform(scope: CleanupScope): Promise<HttpPlatform> {
  return HttpPlatform.start(
    {
      racks: 1,
      workersPerRack: 2,
      acceleratorsPerWorker: 8,
      holdMaximumMs: WORKER_LEASE_MS,
    },
    new SeededRandom(1),
    scope,
    (_vmId, address) => Promise.resolve(address),
  );
}

/** Returns a daemon of a platform without queues; it is not started yet. */
export async function createEntryDaemon(
  scope: CleanupScope,
): Promise<DaemonProcess> {
  const platform = await startSmallPlatform(scope);
  platform.configure({version: 1, routes: []});
  return createDaemonOf(platform, scope);
}

/** Returns a daemon that is not started yet. */
export async function createDaemonOf(
  platform: HttpPlatform,
  scope: CleanupScope,
  clientLimits: EntrySettingsFile['clientLimits'] = {},
): Promise<DaemonProcess> {
  return DaemonProcess.create(
    'entry-1',
    platform,
    await platform.openVmService(),
    {workerLeaseMs: WORKER_LEASE_MS, stopGraceS: STOP_GRACE_S, clientLimits},
    scope,
  );
}
