/**
 * Runs leaders in one process on an emulated site, for tests of leader
 * election, takeover of runs and orders under faults.
 */

import {setTimeout as delay} from 'node:timers/promises';
import {EmulatedDaemon} from '../emulator/daemon.js';
import {EmulatedSite, STANDBY_POOL} from '../emulator/site.js';
import {cancelledKey, submittedKey} from '../src/leader/jobs/records.js';
import {WorkerState} from '../src/leader/workers/worker_state.js';
import {trustedId} from '../src/model/ids.js';
import type {
  AvailabilityZone,
  CustomerId,
  JobId,
  VmId,
  WorkerId,
} from '../src/model/ids.js';
import {HostedConfiguration} from '../src/model/queues.js';
import type {Step, Submission} from '../src/model/submissions.js';

/** Longest lease of a worker, shorter than on real sites to speed up tests. */
export const HOLD_MAXIMUM_MS = 4_000;

/** Time limit of a wait; only a failing test reaches it. */
const WAIT_LIMIT_MS = 20_000;

export async function until(
  what: string,
  condition: () => boolean,
): Promise<void> {
  const limit = Date.now() + WAIT_LIMIT_MS;
  while (!condition()) {
    if (Date.now() > limit) throw new Error(`timed out waiting until: ${what}`);
    await delay(2);
  }
}

/** How long a ticket of the queue `advised` is valid. */
export const TICKET_VALID_MS = 900;

/**
 * Three queues, `urgent`, `patient` and `advised`, and two customers, of which
 * `owner` has a guarantee and `guest` has none.
 */
export function configuration(version = 1): HostedConfiguration {
  const queue = (name: string, priority: number) => ({
    queueId: trustedId<Submission['queueId']>(name),
    host: `${name}.example`,
    pathPrefix: '/jobs/',
    isPublic: false,
    serviceId: trustedId<Submission['serviceId']>('service'),
    priority,
    maximumAttempts: 3,
    objectiveFactor: 2,
    targetLatencyMs: 500,
  });
  return new HostedConfiguration(
    version,
    [
      queue('urgent', 0),
      queue('patient', 2),
      {
        ...queue('advised', 2),
        advice: {decideMs: 5, perWorkerMs: 1, validMs: TICKET_VALID_MS},
      },
    ],
    [
      {
        customerId: trustedId('owner'),
        keys: ['owner-key'],
        guaranteedAccelerators: 16,
      },
      {
        customerId: trustedId('guest'),
        keys: ['guest-key'],
        guaranteedAccelerators: 0,
      },
    ],
    {maximumBodyBytes: 10_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000},
    new Set([STANDBY_POOL]),
  );
}

export function step(changes: Partial<Step> = {}): Step {
  return {
    taskCount: 1,
    shape: {
      processorMillicores: 1_000,
      memoryMegabytes: 1_000,
      accelerators: 1,
    },
    estimatedMs: 100,
    after: [],
    ...changes,
  };
}

let jobNumber = 0;

export function submission(changes: Partial<Submission> = {}): Submission {
  jobNumber += 1;
  return {
    jobId: trustedId(jobNumber.toString(16).padStart(16, '0')),
    queueId: trustedId('patient'),
    serviceId: trustedId('service'),
    customerId: trustedId<CustomerId>('guest'),
    specification: 'text',
    steps: [step()],
    occurrences: 0,
    firstDueAt: 0,
    intervalMs: 0,
    submittedAt: Date.now(),
    ...changes,
  };
}

/** A worker without runs on a VM of its own, as the leader sees it. */
export function idleWorker(name: string, incarnation: number): WorkerState {
  return new WorkerState({
    workerId: trustedId(name),
    incarnation,
    address: `${name}:1`,
    serviceId: trustedId('service'),
    zone: trustedId('zone-1'),
    rackId: undefined,
    labels: new Set(),
    capacity: {processorMillicores: 0, memoryMegabytes: 0, accelerators: 0},
    isDraining: false,
    remainingMs: undefined,
    vmId: trustedId<VmId>(`vm-of-${name}`),
  });
}

/** An emulated site and its daemons; `close` stops all of them. */
export class LeaderFixture {
  readonly site: EmulatedSite;
  private readonly daemons: EmulatedDaemon[] = [];

  constructor(
    racks = 2,
    workersPerRack = 2,
    standbyVms = 0,
    private readonly evacuation?: {
      readonly zones: readonly AvailabilityZone[];
      readonly evacuationBoundMs: number;
    },
  ) {
    this.site = new EmulatedSite({
      ...evacuation,
      racks,
      workersPerRack,
      acceleratorsPerWorker: 8,
      holdMaximumMs: HOLD_MAXIMUM_MS,
      standbyVms,
    });
  }

  addDaemon(name: string, noticeMs = 0, handoverMs = 0): EmulatedDaemon {
    const seed = this.daemons.length + 1;
    const daemon = new EmulatedDaemon(this.site, {
      name,
      seed,
      holdMaximumMs: HOLD_MAXIMUM_MS,
      configuration: configuration(),
      noticeMs,
      handoverMs,
      evacuationBoundMs: this.evacuation?.evacuationBoundMs,
      logLevel: (process.env['TEST_LOG_LEVEL'] ?? 'fatal') as 'fatal',
    });
    this.daemons.push(daemon);
    return daemon;
  }

  /** Adds a daemon and waits until it is the leader. */
  async startLeader(name = 'first', noticeMs = 0): Promise<EmulatedDaemon> {
    const daemon = this.addDaemon(name, noticeMs);
    await until(`${name} leads`, () => daemon.isLeader);
    return daemon;
  }

  /** Stores a submission, as a daemon does when it accepts a job. */
  submit(
    job: Submission,
    workMs: number,
    failingTask?: number,
    firstWorkMs?: number,
  ): JobId {
    this.site.ledger.jobSubmitted(job, workMs, failingTask, firstWorkMs);
    this.site.store.put(submittedKey(job.jobId), JSON.stringify(job));
    return job.jobId;
  }

  cancel(jobId: JobId): void {
    this.site.ledger.jobCancelled(jobId, Date.now());
    this.site.store.put(cancelledKey(jobId), '{}');
  }

  /** Waits for a state that the leader reports; the ledger checks each. */
  untilState(
    leader: EmulatedDaemon,
    jobId: JobId,
    state: string,
  ): Promise<void> {
    return until(`${jobId} is ${state}`, () => {
      const shown = leader.leadership.session?.stateOf(jobId);
      if (shown !== undefined) this.site.ledger.checkState(jobId, shown);
      return shown === state;
    });
  }

  get runCount(): number {
    let count = 0;
    for (const {runNames} of this.site.workers.values()) {
      count += runNames.length;
    }
    return count;
  }

  busyWorkers(): WorkerId[] {
    return [...this.site.workers.values()]
      .filter((worker) => worker.runNames.length > 0)
      .map(({entry}) => entry.workerId);
  }

  async close(): Promise<void> {
    for (const daemon of this.daemons) await daemon.kill();
    this.site.close();
  }
}
