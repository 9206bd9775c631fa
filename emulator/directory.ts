/** The directory of an emulated site's workers, as one daemon reads it. */

import type {Result} from 'true-myth';
import {trustedId} from '../src/model/ids.js';
import type {WorkerId} from '../src/model/ids.js';
import {eventKey, watchChanges} from '../src/interfaces/coordination_store.js';
import type {
  CoordinationStore,
  StoreReadFailure,
} from '../src/interfaces/coordination_store.js';
import type {WorkerEntry} from '../src/interfaces/task_worker.js';
import {
  WorkerDirectory,
  type WorkerChange,
  type WorkerListing,
  type WorkerWatchAnswer,
} from '../src/interfaces/worker_directory.js';
import type {EmulatedSite} from './site.js';

/** Prefix of the store keys that hold the directory's entries. */
export const WORKER_PREFIX = 'workers/';

export class EmulatedDirectory extends WorkerDirectory {
  constructor(
    private readonly store: CoordinationStore,
    private readonly site: EmulatedSite,
  ) {
    super();
  }

  override async list(): Promise<Result<WorkerListing, StoreReadFailure>> {
    const listed = await this.store.list(WORKER_PREFIX);
    return listed.map(({items, revision}) => ({
      entries: items.flatMap(({key}) => this.entryOf(key) ?? []),
      revision,
    }));
  }

  override watch(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<WorkerWatchAnswer, StoreReadFailure>> {
    return watchChanges<WorkerChange>(
      this.store,
      WORKER_PREFIX,
      afterRevision,
      waitMs,
      signal,
      (event) => {
        const workerId = workerIdOf(eventKey(event));
        const entry = this.site.workers.get(workerId)?.entry;
        return event.kind === 'written' && entry !== undefined
          ? [{kind: 'present', entry}]
          : [{kind: 'absent', workerId}];
      },
    );
  }

  private entryOf(key: string): WorkerEntry | undefined {
    return this.site.workers.get(workerIdOf(key))?.entry;
  }
}

function workerIdOf(key: string): WorkerId {
  return trustedId(key.slice(WORKER_PREFIX.length));
}
