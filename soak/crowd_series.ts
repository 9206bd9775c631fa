/**
 * Clients outside all limits during a soak, one small crowd after the other,
 * each at one address of one daemon. The limits are low enough for its size.
 */

import type {HttpPlatform} from '../emulator/http_platform.js';
import type {EntrySettingsFile} from '../src/entry/settings.js';
import type {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {RandomSource} from '../src/lifecycle/random.js';
import {CALLER_HOST} from './callers.js';
import {
  Crowd,
  LARGE_CHUNK_BYTES,
  readinessAhead,
  unfinishedBody,
} from './crowd.js';
import type {DaemonProcess} from './daemon_process.js';
import {FaultSeries} from './fault_series.js';
import type {SeriesOptions} from './fault_series.js';
import {pick} from './random_choice.js';

/** A crowd of `CROWD_SIZE` exceeds these at each address. */
export const LOW_CLIENT_LIMITS: EntrySettingsFile['clientLimits'] = {
  memoryMb: 160,
  maximumDescriptors: 300,
  connections: 40,
  unfinishedRequests: 16,
  heldMb: 2,
};

const OPTIONS: SeriesOptions = {
  rounds: [1, 1],
  gapMs: [0, 0],
  pauseMs: [500, 2_000],
};
const CROWD_SIZE = 60;
const CROWD_MS = [2_000, 4_000] as const;

const JOB_PATH = '/patient/00000000000000aa';

export class CrowdSeries extends FaultSeries {
  constructor(
    platform: HttpPlatform,
    private readonly daemons: readonly DaemonProcess[],
    random: RandomSource,
    scope: CleanupScope,
  ) {
    super(platform, random, scope, OPTIONS);
  }

  protected override async playRound(): Promise<void> {
    const {settings, peerAddress} = pick(this.random, this.daemons);
    const address = pick(this.random, [
      settings.callerAddress,
      settings.readinessAddress,
      peerAddress,
    ]);
    const crowd = new Crowd(address, CROWD_SIZE, textsOf);
    await this.scope.sleep(this.between(CROWD_MS));
    crowd.leave();
  }
}

/** A third of the members each: requests ahead, large and small chunks. */
function textsOf(member: number): Iterable<string> {
  if (member % 3 === 0) return readinessAhead();
  const chunkBytes = member % 3 === 1 ? LARGE_CHUNK_BYTES : 1;
  return unfinishedBody(CALLER_HOST, JOB_PATH, chunkBytes);
}
