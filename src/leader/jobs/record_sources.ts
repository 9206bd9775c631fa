/**
 * What a new leader reads from the store: the workers, the submissions and
 * cancellations, which it then follows, and the progress records, which nobody
 * else writes while it leads.
 */

import type {CleanupScope} from '../../lifecycle/cleanup_scope.js';
import {watchChanges} from '../../interfaces/coordination_store.js';
import type {
  CoordinationStore,
  StoredItem,
} from '../../interfaces/coordination_store.js';
import type {WorkerEntry} from '../../interfaces/task_worker.js';
import type {
  WorkerChange,
  WorkerDirectory,
} from '../../interfaces/worker_directory.js';
import type {LeaderLog} from '../leader_log.js';
import type {FollowedSource} from '../prefix_follower.js';
import {INBOX_PREFIX, PROGRESS_PREFIX} from './records.js';

const RETRY_MS = 200;

export function workerSource(
  directory: WorkerDirectory,
): FollowedSource<readonly WorkerEntry[], WorkerChange> {
  return {
    list: async () =>
      (await directory.list()).map(({entries, revision}) => ({
        state: entries,
        revision,
      })),
    watch: (revision, waitMs, signal) =>
      directory.watch(revision, waitMs, signal),
  };
}

/** A listing is returned only after `required` has been read. */
export function inboxSource(
  store: CoordinationStore,
  required: Promise<unknown>,
): FollowedSource<readonly StoredItem[], StoredItem> {
  return {
    list: async () => {
      const [listed] = await Promise.all([store.list(INBOX_PREFIX), required]);
      return listed.map(({items, revision}) => ({state: items, revision}));
    },
    watch: (revision, waitMs, signal) =>
      watchChanges(store, INBOX_PREFIX, revision, waitMs, signal, (event) =>
        event.kind === 'written' ? [event.item] : [],
      ),
  };
}

/** Returns the records by key; none if the scope closes before an answer. */
export async function readProgress(
  store: CoordinationStore,
  scope: CleanupScope,
  log: LeaderLog,
): Promise<Map<string, StoredItem>> {
  while (!scope.closed) {
    const listed = await store.list(PROGRESS_PREFIX);
    if (listed.isOk) {
      return new Map(listed.value.items.map((item) => [item.key, item]));
    }
    log.requestFailed('progress', listed.error.message);
    await scope.sleep(RETRY_MS);
  }
  return new Map();
}
