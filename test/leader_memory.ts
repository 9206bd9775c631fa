/**
 * Runs leader sessions one after the other against small fakes of a store and
 * of workers, which keep what they hold outside the heap, so that the growth of
 * the heap is the leader's.
 */

import {setTimeout as delay} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Result} from 'true-myth';
import {DaemonLog} from '../src/daemon/log.js';
import {
  CoordinationStore,
  eventKey,
} from '../src/interfaces/coordination_store.js';
import type {
  StoreEvent,
  StoreListing,
  StoreTransaction,
  StoreWatchAnswer,
  StoredItem,
  TransactionOutcome,
} from '../src/interfaces/coordination_store.js';
import {TaskWorkerClient} from '../src/interfaces/task_worker.js';
import type {
  LeaseRenewalOutcome,
  OrderOutcome,
  WorkerEntry,
} from '../src/interfaces/task_worker.js';
import {WorkerDirectory} from '../src/interfaces/worker_directory.js';
import type {
  WorkerChange,
  WorkerWatchAnswer,
} from '../src/interfaces/worker_directory.js';
import {cancelledKey, submittedKey} from '../src/leader/jobs/records.js';
import {LeaderLog} from '../src/leader/leader_log.js';
import type {RunPhase} from '../src/leader/jobs/runs.js';
import {LeaderSession} from '../src/leader/session.js';
import {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import {SystemClock} from '../src/lifecycle/clock.js';
import {trustedId} from '../src/model/ids.js';
import type {JobId, VmId} from '../src/model/ids.js';
import {configuration, step, submission, until} from './leader_fixture.js';

const WORKERS = 10;

/** Longer than any test, so that no lease lapses. */
const HOLD_MAXIMUM_MS = 600_000;

const LEADER_REVISION = 1;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Usable memory of the heap after all garbage was collected, in bytes. */
function usedHeapBytes(): number {
  for (let round = 0; round < 3; round += 1) collectGarbage();
  return process.memoryUsage().heapUsed;
}

/** Waits for events, or until the watcher gives up. */
class EventFeed<Event> {
  private pending: Event[] = [];
  private wake: (() => void) | undefined;

  push(events: readonly Event[]): void {
    this.pending.push(...events);
    this.wake?.();
  }

  async take(signal: AbortSignal): Promise<Event[]> {
    if (this.pending.length === 0 && !signal.aborted) {
      await new Promise<void>((resolve) => {
        this.wake = resolve;
        signal.addEventListener('abort', () => resolve(), {once: true});
      });
    }
    const taken = this.pending;
    this.pending = [];
    return taken;
  }
}

class MemoryStore extends CoordinationStore {
  private readonly items = new Map<string, {value: Buffer; revision: number}>();
  private revision = LEADER_REVISION;
  private readonly inbox = new EventFeed<StoreEvent>();

  constructor(private readonly load: MeasuredLeader) {
    super();
  }

  put(items: ReadonlyArray<readonly [string, string]>): void {
    const events = items.map(([key, value]): StoreEvent => {
      this.write(key, value);
      return {kind: 'written', item: {key, value, revision: this.revision}};
    });
    this.inbox.push(events);
  }

  private write(key: string, value: string): void {
    this.revision += 1;
    const {revision} = this;
    this.items.set(key, {value: Buffer.from(value), revision});
  }

  override get(): Promise<Result<StoredItem | undefined, never>> {
    return Promise.resolve(Result.ok(undefined));
  }

  override list(prefix: string): Promise<Result<StoreListing, never>> {
    const items = [...this.items]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, {value, revision}]) => ({key, value: `${value}`, revision}));
    return Promise.resolve(Result.ok({items, revision: this.revision}));
  }

  override async watch(
    prefix: string,
    _afterRevision: number,
    _waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoreWatchAnswer, never>> {
    const events = await this.inbox.take(signal);
    const {revision} = this;
    const matching = events.filter((event) =>
      eventKey(event).startsWith(prefix),
    );
    return Result.ok({kind: 'events', events: matching, revision});
  }

  override async transact({
    puts,
  }: StoreTransaction): Promise<Result<TransactionOutcome, never>> {
    if (!this.load.answersWrites) await new Promise(() => {});
    // As over a network, the answer does not come within the same turn.
    await delay(1);
    for (const {key, value} of puts) this.write(key, value);
    return Result.ok({kind: 'committed', revision: this.revision});
  }

  override grantLease = (): never => {
    throw new Error('a session takes no lease');
  };
  override renewLease = this.grantLease;
  override endLease = this.grantLease;
}

class MemoryDirectory extends WorkerDirectory {
  private readonly changes = new EventFeed<WorkerChange>();
  private entries: readonly WorkerEntry[] = [];

  constructor(private readonly load: MeasuredLeader) {
    super();
  }

  replace(generation: number): void {
    const tasks = this.load.hasRoom ? 1_000_000 : 0;
    const former = this.entries;
    this.entries = Array.from({length: WORKERS}, (_, index) => ({
      workerId: trustedId(`worker-${generation}-${index}`),
      incarnation: generation,
      address: `worker-${index}:1`,
      serviceId: trustedId('service'),
      zone: trustedId('zone-1'),
      rackId: undefined,
      labels: new Set<string>(),
      capacity: {
        processorMillicores: 1_000 * tasks,
        memoryMegabytes: 1_000 * tasks,
        accelerators: tasks,
      },
      isDraining: false,
      remainingMs: undefined,
      vmId: trustedId<VmId>(`vm-${index}`),
    }));
    this.changes.push([
      ...former.map(({workerId}): WorkerChange => ({kind: 'absent', workerId})),
      ...this.entries.map((entry): WorkerChange => ({kind: 'present', entry})),
    ]);
  }

  override list() {
    const {entries} = this;
    return Promise.resolve(Result.ok({entries, revision: 1}));
  }

  override async watch(
    _afterRevision: number,
    _waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<WorkerWatchAnswer, never>> {
    const changes = await this.changes.take(signal);
    return Result.ok({kind: 'changes', changes, revision: 1});
  }
}

/** Time on the clock of each worker, in milliseconds. */
function clockMs(): number {
  return Math.floor(performance.now());
}

class MemoryWorkers extends TaskWorkerClient {
  private generation = 0;

  constructor(private readonly load: MeasuredLeader) {
    super();
  }

  endBefore(generation: number): void {
    this.generation = generation;
  }

  override async start(): Promise<OrderOutcome> {
    if (!this.load.answersStarts) await new Promise(() => {});
    return {kind: 'started', clockMs: clockMs()};
  }

  override stop(): Promise<OrderOutcome> {
    return new Promise(() => {});
  }

  override pace = this.stop;

  override async renewLease(
    {incarnation}: WorkerEntry,
    {waitMs}: {waitMs: number},
    signal: AbortSignal,
  ): Promise<LeaseRenewalOutcome> {
    if (!this.load.answersRenewals) await new Promise(() => {});
    // Only the first renewal, which reads the worker's clock, does not wait.
    const {leader} = this.load;
    while (
      waitMs > 0 &&
      incarnation >= this.generation &&
      leader === this.load.leader &&
      !signal.aborted
    ) {
      await delay(20, undefined, {ref: false});
    }
    if (incarnation < this.generation) return {kind: 'gone', detail: 'ended'};
    if (signal.aborted || leader !== this.load.leader) {
      return {kind: 'unanswered', detail: 'aborted'};
    }
    return {
      kind: 'seen',
      clockMs: clockMs(),
      incarnation,
      running: [],
      ended: [],
    };
  }

  override closeConnections(): void {
    // There are none.
  }
}

export class MeasuredLeader {
  /** Whether the next workers have room for all tasks. */
  hasRoom = true;
  answersStarts = true;
  answersWrites = true;
  answersRenewals = true;
  private readonly store = new MemoryStore(this);
  private readonly directory = new MemoryDirectory(this);
  private readonly workers = new MemoryWorkers(this);
  private scope = new CleanupScope();
  leader: LeaderSession | undefined;
  private idleBytes = 0;
  private term = 0;
  private generation = 1;
  private jobIds: JobId[] = [];
  private taskCount = 0;

  private get session(): LeaderSession {
    if (this.leader === undefined) throw new Error('no leader was started');
    return this.leader;
  }

  /** Ends the former leader, if any, and starts one with an empty memory. */
  async lead(): Promise<void> {
    await this.scope.close();
    // The runs of the former leader are neither listed nor missing.
    if (this.term > 0) this.answersRenewals = false;
    this.leader = undefined;
    // Calls of the former leader end.
    await delay(100);
    if (this.term === 0) this.directory.replace(this.generation);
    const before = usedHeapBytes();
    if (this.term === 0) this.idleBytes = before;
    this.scope = new CleanupScope();
    this.term += 1;
    const leader = new LeaderSession(
      {
        store: this.store,
        workers: this.workers,
        directory: this.directory,
        clock: new SystemClock(),
        log: new LeaderLog(new DaemonLog('leader', 'fatal')),
      },
      {holdMaximumMs: HOLD_MAXIMUM_MS},
      {
        term: this.term * 100,
        leaderRevision: LEADER_REVISION,
        mayAct: () => true,
        leadershipLost: (reason) => {
          throw new Error(reason);
        },
      },
      () => configuration(),
      this.scope,
    );
    this.leader = leader;
    await leader.run();
  }

  async submit(jobs: number, tasks: number): Promise<void> {
    if (!this.hasRoom) {
      this.generation += 1;
      this.directory.replace(this.generation);
      await delay(100);
    }
    const submissions = Array.from({length: jobs}, () =>
      submission({steps: [step({taskCount: tasks})]}),
    );
    this.jobIds = submissions.map(({jobId}) => jobId);
    this.taskCount = jobs * tasks;
    this.store.put(
      submissions.map((job) => [submittedKey(job.jobId), JSON.stringify(job)]),
    );
    await until('all jobs are known', () => this.openJobs === jobs);
    // Rounds follow.
    await delay(500);
  }

  private get openJobs(): number {
    return this.session.openJobCount;
  }

  /** Waits until all tasks have runs in the phase, and nothing else happens. */
  async until(phase: RunPhase): Promise<void> {
    const tasks = this.taskCount;
    await until(`all are ${phase}`, () => this.runsIn(phase) === tasks);
    await delay(500);
  }

  private runsIn(phase: RunPhase): number {
    let count = 0;
    for (const job of this.session.jobRegistry.open) {
      for (const {runs} of job.openUnits) {
        for (const run of runs) {
          if (run.phase === phase) count += 1;
        }
      }
    }
    return count;
  }

  /** All workers end, and others come on their VMs. */
  async replaceWorkers(): Promise<void> {
    this.generation += 1;
    this.workers.endBefore(this.generation);
    this.directory.replace(this.generation);
    await until('all runs are lost', () => this.hasLosses());
  }

  private hasLosses(): boolean {
    return [...this.session.jobRegistry.open].every((job) =>
      [...job.openUnits].every(({crashes}) => crashes.toRecord().length > 0),
    );
  }

  async cancelAll(): Promise<void> {
    this.store.put(this.jobIds.map((jobId) => [cancelledKey(jobId), '{}']));
    await until('no job is open', () => this.openJobs === 0);
    await delay(500);
  }

  /** Sizes in bytes; `tasks` is the number of tasks that were submitted. */
  measure(): {countedBytes: number; usedBytes: number; tasks: number} {
    const {workBytes: countedBytes} = this.session;
    const usedBytes = usedHeapBytes() - this.idleBytes;
    return {countedBytes, usedBytes, tasks: this.taskCount};
  }

  async close(): Promise<void> {
    await this.scope.close();
    this.leader = undefined;
  }
}
