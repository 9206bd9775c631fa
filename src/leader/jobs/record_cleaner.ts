/**
 * Removes the records of jobs whose retention period has passed, and of jobs
 * that were cancelled and never stored. This bounds the size of the store and
 * the time that a new leader needs to read it.
 */

import type {CleanupScope} from '../../lifecycle/cleanup_scope.js';
import {instant} from '../../model/ids.js';
import {
  LEADER_KEY,
  cancelledKey,
  progressKey,
  submittedKey,
} from './records.js';
import type {LeaderSession} from '../session.js';
import type {SessionDependencies} from '../session_options.js';

const CLEANING_INTERVAL_MS = 5_000;

/** Records end as fast as clients hand in jobs, so one pass may take many. */
const PAUSE_MS = 50;

/** Added to the retention period because the clocks of daemons differ. */
const RETENTION_MARGIN_MS = 30_000;

/** A transaction holds 32 entries: three keys per job and one condition. */
const JOBS_PER_TRANSACTION = 10;

export function startRecordCleaner(
  retentionMs: number,
  session: LeaderSession,
  {store, clock, log}: SessionDependencies,
  leaderRevision: number,
  scope: CleanupScope,
): void {
  let isCleaning = false;
  /** Returns true if more records may have to be removed. */
  const clean = async (): Promise<boolean> => {
    const endedBeforeMs = clock.now() - retentionMs - RETENTION_MARGIN_MS;
    const {jobRegistry} = session;
    const time = instant(endedBeforeMs);
    const jobIds = [
      ...jobRegistry.endedBefore(time).map(({id}) => id),
      ...jobRegistry.neverStoredBefore(time),
    ].slice(0, JOBS_PER_TRANSACTION);
    if (jobIds.length === 0) return false;
    const outcome = await store.transact({
      conditions: [{key: LEADER_KEY, revision: leaderRevision}],
      puts: [],
      removals: jobIds.flatMap((id) => [
        submittedKey(id),
        cancelledKey(id),
        progressKey(id),
      ]),
    });
    if (outcome.isErr) {
      log.requestFailed('cleaning', outcome.error.message);
      return false;
    }
    if (outcome.value.kind !== 'committed') return false;
    for (const jobId of jobIds) jobRegistry.forget(jobId);
    return jobIds.length === JOBS_PER_TRANSACTION;
  };
  const cleanAll = async () => {
    while (!scope.closed && (await clean())) await scope.sleep(PAUSE_MS);
  };
  scope.every(CLEANING_INTERVAL_MS, () => {
    if (isCleaning) return;
    isCleaning = true;
    void cleanAll().finally(() => {
      isCleaning = false;
    });
  });
}
