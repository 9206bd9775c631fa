/**
 * An emulated site within one process: implements the abstract clients of the
 * store, the workers, the worker directory and the advisor, and injects the
 * kinds of faults that the platform has.
 */

import {Result} from 'true-myth';
import {
  RefusedError,
  TimeoutError,
  UnavailableError,
  UnknownEffectError,
  NotFoundError,
} from '../src/model/errors.js';
import {trustedId} from '../src/model/ids.js';
import type {RackId, ServiceId, VmId, WorkerId} from '../src/model/ids.js';
import type {TaskShape} from '../src/model/submissions.js';
import type {RandomSource} from '../src/lifecycle/random.js';
import {CoordinationStore} from '../src/interfaces/coordination_store.js';
import type {
  StoreLease,
  StoreListing,
  StoreReadFailure,
  StoreTransaction,
  StoreWatchAnswer,
  StoreWriteFailure,
  StoredItem,
  StorePut,
  TransactionOutcome,
} from '../src/interfaces/coordination_store.js';
import {TaskWorkerClient} from '../src/interfaces/task_worker.js';
import type {
  LeaseRenewalOutcome,
  LeaseRenewalRequest,
  OrderOutcome,
  PaceOrder,
  RunName,
  StartOrder,
  WorkerEntry,
} from '../src/interfaces/task_worker.js';
import type {WorkerDirectory} from '../src/interfaces/worker_directory.js';
import type {EmulatedAdvisor} from './advisor.js';
import type {EmulatedDaemon} from './daemon.js';
import {EmulatedDirectory, WORKER_PREFIX} from './directory.js';
import type {OrderFaults, StoreFaults} from './faults.js';
import {Ledger} from './ledger.js';
import {StoreState} from './store_state.js';
import {EmulatedVms} from './vms.js';
import {EmulatedWorker} from './worker_state.js';
import {EmulatedZones} from './zones.js';

const REMEDY = 'this fault was injected by the emulator';

/** Time after which an injected lost call is reported as unanswered. */
const UNANSWERED_AFTER_MS = 40;

export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** One daemon's client of the emulated store. */
export class EmulatedStore extends CoordinationStore {
  constructor(
    private readonly state: StoreState,
    private readonly faults: StoreFaults,
    private readonly random: RandomSource,
  ) {
    super();
  }

  override async get(
    key: string,
  ): Promise<Result<StoredItem | undefined, StoreReadFailure>> {
    const failure = await this.readFailure();
    return failure ?? Result.ok(this.state.get(key));
  }

  override async list(
    prefix: string,
  ): Promise<Result<StoreListing, StoreReadFailure>> {
    const failure = await this.readFailure();
    return failure ?? Result.ok(this.state.list(prefix));
  }

  override async watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<StoreWatchAnswer, StoreReadFailure>> {
    const failure = await this.readFailure();
    if (failure !== undefined) return failure;
    const endsAt = Date.now() + waitMs;
    for (;;) {
      if (this.faults.failingPrefix === prefix) {
        return Result.err(new UnavailableError('store status 503', REMEDY));
      }
      const answer = this.state.eventsAfter(prefix, afterRevision);
      const isOver = Date.now() >= endsAt || signal.aborted;
      if (answer.kind === 'historyLost' || answer.events.length > 0 || isOver) {
        return Result.ok(answer);
      }
      await this.nextChange(endsAt - Date.now(), signal);
    }
  }

  override async transact(
    transaction: StoreTransaction,
  ): Promise<Result<TransactionOutcome, StoreWriteFailure>> {
    const failure = await this.writeFailure();
    if (failure !== undefined) return Result.err(failure);
    if (this.random.next() < this.faults.lostAnswers) {
      setTimeout(() => this.state.transact(transaction), this.faults.lateMs);
      await pause(UNANSWERED_AFTER_MS);
      return Result.err(new UnknownEffectError('store answer lost', REMEDY));
    }
    const outcome = this.state.transact(transaction);
    return outcome.kind === 'noSuchLease'
      ? Result.err(new NotFoundError('store lease not found', REMEDY))
      : Result.ok(outcome);
  }

  override async grantLease(
    ttlMs: number,
  ): Promise<Result<StoreLease, StoreWriteFailure>> {
    const failure = await this.writeFailure();
    if (failure !== undefined) return Result.err(failure);
    return Result.ok({
      lease: this.state.grantLease(ttlMs, Date.now()),
      ttlMs,
    });
  }

  override async renewLease(
    lease: number,
  ): Promise<Result<void, StoreWriteFailure>> {
    const failure = await this.writeFailure();
    if (failure !== undefined) return Result.err(failure);
    return this.state.renewLease(lease, Date.now())
      ? Result.ok(undefined)
      : Result.err(new NotFoundError('store lease has ended', REMEDY));
  }

  override async endLease(
    lease: number,
  ): Promise<Result<void, StoreWriteFailure>> {
    const failure = await this.writeFailure();
    if (failure !== undefined) return Result.err(failure);
    this.state.endLease(lease);
    return Result.ok(undefined);
  }

  private async nextChange(waitMs: number, signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        stop();
        signal.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, Math.max(0, waitMs));
      const stop = this.state.onChange(finish);
      signal.addEventListener('abort', finish);
    });
  }

  private async readFailure(): Promise<
    Result<never, StoreReadFailure> | undefined
  > {
    await pause(this.faults.slowMs);
    switch (this.faults.down) {
      case undefined:
        return undefined;
      case 'refused':
        return Result.err(new UnavailableError('store status 503', REMEDY));
      case 'silent':
        await pause(UNANSWERED_AFTER_MS);
        return Result.err(new TimeoutError('no answer from the store', REMEDY));
    }
  }

  private async writeFailure(): Promise<StoreWriteFailure | undefined> {
    await pause(this.faults.slowMs);
    switch (this.faults.down) {
      case undefined:
        return undefined;
      case 'refused':
        return new RefusedError('store status 429', REMEDY);
      case 'silent':
        await pause(UNANSWERED_AFTER_MS);
        return new UnavailableError('no connection to the store', REMEDY);
    }
  }
}

/** One daemon's client of the emulated workers. */
export class EmulatedWorkers extends TaskWorkerClient {
  constructor(
    private readonly site: EmulatedSite,
    private readonly faults: OrderFaults,
    private readonly random: RandomSource,
  ) {
    super();
  }

  override start(
    worker: WorkerEntry,
    order: StartOrder,
  ): Promise<OrderOutcome> {
    const {advisor} = this.site;
    if (this.faults.rejectedTasks.has(order.task)) {
      return Promise.resolve({kind: 'rejected', detail: 'status 400'});
    }
    if (advisor?.accepts(order, worker) === false) {
      return Promise.resolve({kind: 'notAdmitted', clockMs: 1});
    }
    return this.order(worker, (target) => target.start(order, Date.now()));
  }

  override stop(
    worker: WorkerEntry,
    run: RunName,
    fence: number,
  ): Promise<OrderOutcome> {
    return this.order(worker, (target) => target.stop(run, fence, Date.now()));
  }

  override pace(worker: WorkerEntry, order: PaceOrder): Promise<OrderOutcome> {
    return this.order(worker, (target) => target.pace(order, Date.now()));
  }

  override async renewLease(
    worker: WorkerEntry,
    request: LeaseRenewalRequest,
    signal: AbortSignal,
  ): Promise<LeaseRenewalOutcome> {
    const endsAt = Date.now() + request.waitMs;
    const {renewalTransitMs} = this.faults;
    if (renewalTransitMs > 0) await pause(renewalTransitMs);
    const incarnation = this.reachableWorker(worker)?.entry.incarnation;
    for (;;) {
      const {heldRenewals} = this.faults;
      if (heldRenewals !== undefined) {
        heldRenewals.push(() =>
          this.reachableWorker(worker)?.renewLease(request, Date.now()),
        );
        await pause(UNANSWERED_AFTER_MS);
        return {kind: 'unanswered', detail: 'the link is frozen'};
      }
      await pause(this.faults.renewalMs);
      const target = this.reachableWorker(worker);
      // A crash ends pending calls: sequence numbers belong to one incarnation.
      const isSameIncarnation = target?.entry.incarnation === incarnation;
      if (target === undefined || !isSameIncarnation || signal.aborted) {
        const isCut = this.faults.unreachable.has(worker.workerId);
        const wasDown = incarnation === undefined;
        const isGone = wasDown && !isCut && this.hasEnded(worker);
        const kind = isGone ? 'gone' : 'unanswered';
        return {kind, detail: 'the worker is unreachable'};
      }
      const outcome = target.renewLease(request, Date.now());
      const hasUpdate = outcome.kind !== 'seen' || outcome.ended.length > 0;
      if (hasUpdate || Date.now() >= endsAt) return outcome;
      await pause(4);
    }
  }

  override closeConnections({address}: WorkerEntry): void {
    for (const {entry, isUp} of this.site.workers.values()) {
      if (!isUp || entry.address !== address) continue;
      this.site.ledger.violations.push(
        `FAULT: connections to ${entry.workerId} are closed while it runs`,
      );
    }
  }

  private async order(
    worker: WorkerEntry,
    carryOut: (target: EmulatedWorker) => OrderOutcome,
  ): Promise<OrderOutcome> {
    await pause(1);
    const target = this.reachableWorker(worker);
    if (this.hasEnded(worker)) {
      // Its address refuses connections, so that the order was not sent.
      return {kind: 'unhealthy'};
    }
    const isUnanswering = this.faults.unanswering.has(worker.workerId);
    if (target === undefined || isUnanswering) {
      if (target !== undefined) carryOut(target);
      await pause(UNANSWERED_AFTER_MS);
      return {kind: 'unknown', detail: 'no answer from the worker'};
    }
    if (this.random.next() >= this.faults.lateShare) return carryOut(target);
    setTimeout(() => carryOut(target), this.faults.lateMs);
    return {kind: 'unknown', detail: 'no answer from the worker'};
  }

  /** The worker has ended; a successor may already be at its address. */
  private hasEnded({workerId}: WorkerEntry): boolean {
    return this.site.workers.get(workerId)?.isUp === false;
  }

  private reachableWorker(worker: WorkerEntry): EmulatedWorker | undefined {
    if (this.faults.unreachable.has(worker.workerId)) return undefined;
    const target = this.site.workers.get(worker.workerId);
    return target?.isUp === true ? target : undefined;
  }
}

export interface EmulatedSiteOptions {
  readonly racks: number;
  readonly workersPerRack: number;
  readonly acceleratorsPerWorker: number;
  /** Upper bound of the lease that a worker accepts. */
  readonly holdMaximumMs: number;
  /** Time after which no start may rely on a capacity that was reduced. */
  readonly capacityNoticeMs?: number;
  /** VMs in the standby pool. */
  readonly standbyVms?: number;
  /** Address of a VM's worker; any name where calls stay in process. */
  readonly addressOf?: (vmId: VmId) => string;
  /** Speed of a VM's workers as a share of full speed; 1 if not given. */
  readonly speedOf?: (vmId: VmId) => number;
  /** Zones, one after the other for each rack and standby VM. */
  readonly zones?: EmulatedZones['names'];
  /** Time after which no start may follow the evacuation of its zone. */
  readonly evacuationBoundMs?: number;
  /** Encodes a worker's directory entry as the key and value in the store. */
  readonly registrationOf?: (entry: WorkerEntry) => StorePut;
}

const CAPACITY_NOTICE_MS = 300;

const SERVICE = 'service';
export const STANDBY_POOL = trustedId<ServiceId>('standby');

/** Interval at which store leases expire and the workers' work advances. */
const TICK_INTERVAL_MS = 5;

export class EmulatedSite {
  readonly store = new StoreState();
  readonly ledger: Ledger;
  readonly zones: EmulatedZones;
  readonly workers = new Map<WorkerId, EmulatedWorker>();
  readonly vms = new EmulatedVms(this);
  /** Running daemons by name. */
  readonly daemons = new Map<string, EmulatedDaemon>();
  readonly standbyPools: ReadonlySet<ServiceId> = new Set([STANDBY_POOL]);
  /** If set, workers accept only starts that carry a valid ticket. */
  advisor: EmulatedAdvisor | undefined;
  /** While true, store leases do not expire. */
  isLeaseExpiryPaused = false;
  private readonly registeredKeys = new Map<WorkerId, string>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: EmulatedSiteOptions) {
    const {racks, workersPerRack, standbyVms = 0} = options;
    this.ledger = new Ledger(options.evacuationBoundMs);
    this.zones = new EmulatedZones(this.store, this.ledger, options.zones);
    for (let rack = 0; rack < racks; rack += 1) {
      for (let index = 0; index < workersPerRack; index += 1) {
        const vmId = trustedId<VmId>(`vm-${rack}-${index}`);
        const poolId = trustedId<ServiceId>(SERVICE);
        this.vms.add(vmId, poolId, this.addWorker(vmId, poolId, 1));
      }
    }
    for (let index = 0; index < standbyVms; index += 1) {
      const vmId = trustedId<VmId>(`vm-standby-${index}`);
      this.vms.add(vmId, STANDBY_POOL, undefined);
    }
    this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
  }

  get capacity(): TaskShape {
    return {
      processorMillicores: 32_000,
      memoryMegabytes: 65_536,
      accelerators: this.options.acceleratorsPerWorker,
    };
  }

  /** Starts a worker on a VM; its id contains the VM and the incarnation. */
  addWorker(vmId: VmId, serviceId: ServiceId, incarnation: number): WorkerId {
    const place = vmId.replace('vm-', '');
    const name = incarnation === 1 ? place : `${place}-life-${incarnation}`;
    const workerId = trustedId<WorkerId>(`worker-${name}`);
    const rackName = `rack-${place.split('-')[0] ?? ''}`;
    const entry: WorkerEntry = {
      workerId,
      incarnation,
      address: this.options.addressOf?.(vmId) ?? `${vmId}:1`,
      serviceId,
      zone: this.zones.zoneOf(vmId),
      rackId: trustedId<RackId>(rackName),
      labels: new Set(['kind', rackName]),
      capacity: this.capacity,
      isDraining: false,
      remainingMs: undefined,
      vmId,
    };
    const worker = new EmulatedWorker(
      entry,
      Date.now(),
      this.options.holdMaximumMs,
      this.ledger,
      () => this.vms.crash(vmId),
    );
    worker.faults.speed = this.options.speedOf?.(vmId) ?? 1;
    this.workers.set(workerId, worker);
    this.register(workerId);
    return workerId;
  }

  /** The worker ends without notice; its directory entry remains for now. */
  crash(workerId: WorkerId): void {
    const worker = this.workers.get(workerId);
    if (worker === undefined) return;
    const now = Date.now();
    worker.advance(now);
    this.ledger.workerCrashed(worker, now);
    worker.endNow(now);
  }

  /** Removes a worker that has ended. */
  forget(workerId: WorkerId): void {
    this.workers.delete(workerId);
    this.unregister(workerId);
  }

  /** An order takes the worker's VM down; all its runs end. */
  removeWorker(workerId: WorkerId): void {
    const worker = this.workers.get(workerId);
    worker?.reportStopOfAllRuns(Date.now());
    worker?.endNow(Date.now());
    this.forget(workerId);
  }

  /** Writes the worker's directory entry, as its heartbeat does on a change. */
  register(workerId: WorkerId): void {
    const entry = this.workers.get(workerId)?.entry;
    if (entry === undefined) return;
    const {key, value} = this.registrationOf(entry);
    this.registeredKeys.set(workerId, key);
    this.store.put(key, value);
  }

  setCapacity(workerId: WorkerId, capacity: TaskShape): void {
    const {capacityNoticeMs = CAPACITY_NOTICE_MS} = this.options;
    const now = Date.now();
    this.workers
      .get(workerId)
      ?.setCapacity(capacity, now, now + capacityNoticeMs);
    this.register(workerId);
  }

  /** Removes the entry, as the platform does for an unresponsive worker. */
  unregister(workerId: WorkerId): void {
    const key = this.registeredKeys.get(workerId);
    if (key !== undefined) this.store.removeKey(key);
  }

  /** The worker that currently runs on a VM. */
  workerOn(vmId: VmId): EmulatedWorker | undefined {
    return [...this.workers.values()].find(
      ({entry, isUp}) => isUp && entry.vmId === vmId,
    );
  }

  private registrationOf(entry: WorkerEntry): StorePut {
    const {registrationOf} = this.options;
    if (registrationOf !== undefined) return registrationOf(entry);
    const key = `${WORKER_PREFIX}${entry.workerId}`;
    return {key, value: String(entry.incarnation)};
  }

  /** The worker crashes and restarts as a new incarnation under its id. */
  restart(workerId: WorkerId): void {
    const worker = this.workers.get(workerId);
    if (worker?.isUp !== true) return;
    this.crash(workerId);
    worker.startAgain(Date.now());
    this.vms.workerRestarted(worker.entry);
    this.register(workerId);
  }

  directoryFor(store: CoordinationStore): WorkerDirectory {
    return new EmulatedDirectory(store, this);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    const now = Date.now();
    if (!this.isLeaseExpiryPaused) this.store.expireLeases(now);
    for (const worker of this.workers.values()) {
      if (worker.isUp) worker.advance(now);
    }
  }
}
