/**
 * In-memory fakes of the dependencies of request processing. Faults are taken
 * from a list, one per call; when it is empty, calls succeed.
 */

import {Result} from 'true-myth';
import {Clock} from '../src/lifecycle/clock.js';
import {SeededRandom} from '../src/lifecycle/random.js';
import type {Configuration, WorkClass} from '../src/model/configuration.js';
import {
  ConflictError,
  TimeoutError,
  UnavailableError,
  UnknownEffectError,
} from '../src/model/errors.js';
import type {CallError} from '../src/model/errors.js';
import {instant, trustedId} from '../src/model/ids.js';
import type {
  AvailabilityZone,
  CallerKey,
  CustomerId,
  DaemonId,
  Instant,
  RequestId,
  VmId,
} from '../src/model/ids.js';
import type {
  Outcome,
  RequestSubmission,
  ServiceRequest,
} from '../src/model/requests.js';
import type {StoreEntry} from '../src/interfaces/key_value_store.js';
import {MinionClient} from '../src/interfaces/minion_client.js';
import type {MinionResult} from '../src/interfaces/minion_client.js';
import {dispatchSchema} from '../src/interfaces/peer_client.js';
import type {Dispatch} from '../src/interfaces/peer_client.js';
import type {MinionVm} from '../src/interfaces/vm_list.js';
import {RequestDirectory} from '../src/requests/directory.js';
import type {
  ClaimStore,
  MinionCandidate,
  RequestPeers,
} from '../src/requests/directory.js';
import {RequestService} from '../src/requests/request_service.js';

export const ZONE = trustedId<AvailabilityZone>('zone-a');
export const CUSTOMER_ID = trustedId<CustomerId>('club');
const START = 1_000_000;
const RETENTION_MS = 3_600_000;

export class FakeClock extends Clock {
  private time = START;

  override now(): Instant {
    return instant(this.time);
  }

  advance(milliseconds: number): void {
    this.time += milliseconds;
  }
}

/** Runs pending microtasks and I/O callbacks until `done` returns true. */
export async function waitUntil(done: () => boolean): Promise<void> {
  while (!done()) await new Promise((resolve) => setImmediate(resolve));
}

/** Awaited before each effect of a fake; tests reorder effects with it. */
export type Pause = (label: string) => Promise<void>;
const NO_PAUSE: Pause = () => Promise.resolve();

export type WriteFault =
  | 'none'
  | 'unavailable'
  | 'lost-before'
  | 'lost-after'
  /** Applied after the next successful read, unless the key has changed. */
  | 'late';

export class FakeStore implements ClaimStore {
  readonly entries = new Map<string, StoreEntry>();
  writeFaults: WriteFault[] = [];
  unavailable = false;
  /** Number of the next reads that fail. */
  failingReads = 0;
  writes = 0;
  writesInFlight = 0;
  mostWritesInFlight = 0;
  pause = NO_PAUSE;
  private revision = 0;
  private readonly lateWrites: Array<() => void> = [];

  async get(key: string) {
    await this.pause('store get');
    if (this.unavailable || this.failingReads > 0) {
      this.failingReads -= 1;
      return Result.err<StoreEntry | undefined, UnavailableError>(UNREACHABLE);
    }
    const entry = this.entries.get(key);
    this.deliverLateWrites();
    return Result.ok<StoreEntry | undefined, UnavailableError>(entry);
  }

  async put(key: string, value: string, expected: number) {
    this.writes += 1;
    this.writesInFlight += 1;
    this.mostWritesInFlight = Math.max(
      this.mostWritesInFlight,
      this.writesInFlight,
    );
    await this.pause('store put');
    await Promise.resolve();
    this.writesInFlight -= 1;
    return this.write(key, value, expected);
  }

  deliverLateWrites(): void {
    for (const write of this.lateWrites.splice(0)) write();
  }

  private write(key: string, value: string, expected: number) {
    const fault = this.writeFaults.shift() ?? 'none';
    if (this.unavailable || fault === 'unavailable') {
      return Result.err<number, UnavailableError>(UNREACHABLE);
    }
    if (fault === 'late') {
      this.lateWrites.push(() => this.apply(key, value, expected));
    }
    if (fault === 'lost-after') this.apply(key, value, expected);
    if (fault !== 'none') {
      return Result.err<number, UnknownEffectError>(ANSWER_LOST);
    }
    if (this.apply(key, value, expected)) {
      return Result.ok<number, ConflictError>(this.revision);
    }
    return Result.err<number, ConflictError>(
      new ConflictError('another revision', 'read the key again'),
    );
  }

  private apply(key: string, value: string, expected: number): boolean {
    if ((this.entries.get(key)?.revision ?? 0) !== expected) return false;
    this.revision += 1;
    this.entries.set(key, {key, value, revision: this.revision});
    return true;
  }
}

export type MinionFault =
  | 'none'
  | 'refused'
  | 'unreachable'
  /** The request ran and its answer is lost. */
  | 'lost-answer'
  | 'lost-request'
  /** The request ran and its answer did not arrive in time. */
  | 'no-answer'
  | 'throws'
  | 'leaving';

export class FakeMinions extends MinionClient {
  faults: MinionFault[] = [];
  /** Requests in the order in which minions ran them. */
  readonly ran: ServiceRequest[] = [];
  readonly calledMinions: VmId[] = [];
  callCount = 0;
  /** If set, requests wait for it before they end. */
  gate: Promise<unknown> | undefined;
  pause = NO_PAUSE;

  runsOf(requestId: RequestId): number {
    return this.ran.filter((r) => r.requestId === requestId).length;
  }

  override async run(
    minion: MinionVm,
    request: ServiceRequest,
  ): Promise<MinionResult> {
    this.callCount += 1;
    this.calledMinions.push(minion.vmId);
    const fault = this.faults.shift() ?? 'none';
    await this.pause(`run ${request.payload}`);
    const message = fault;
    if (fault === 'refused' || fault === 'unreachable') {
      return {kind: 'notRun', reason: fault, message, leaving: false};
    }
    if (fault !== 'lost-request') this.ran.push(request);
    await this.gate;
    await this.pause(`answer ${request.payload}`);
    if (fault === 'throws') throw new Error('the client failed');
    if (fault === 'no-answer') {
      return {kind: 'unknown', reason: 'no-answer-in-time', message};
    }
    if (fault === 'lost-answer' || fault === 'lost-request') {
      return {kind: 'unknown', reason: 'connection-lost', message};
    }
    const leaving = fault === 'leaving';
    return {kind: 'answered', answer: answerTo(request.payload), leaving};
  }
}

export function answerTo(payload: string): string {
  return `answer to ${payload}`;
}

export type DispatchFault =
  | 'none'
  | 'unreachable'
  | 'lost-answer'
  /** Arrives twice; the outcome of the second message is returned. */
  | 'doubled'
  /** Arrives a second time when the test is over. */
  | 'doubled-late'
  /** Times out and arrives when the test is over. */
  | 'late'
  /** Repeated to a new incarnation of the daemon, whose outcome is returned. */
  | 'restarted'
  | 'answer-to-another'
  /** The home daemon does not have the minion in its VM list. */
  | 'minion-unknown';

export class FakePeers implements RequestPeers {
  faults: DispatchFault[] = [];
  readonly services = new Map<string, RequestService>();
  /** Creates a new incarnation of the daemon at the address. */
  restart: (address: string) => RequestService = () => {
    throw new Error('restart is not configured');
  };
  pause = NO_PAUSE;
  private readonly late: Array<() => Promise<Outcome>> = [];

  async dispatch(
    address: string,
    sent: Dispatch,
  ): Promise<Result<Outcome, CallError>> {
    const fault = this.faults.shift() ?? 'none';
    await this.pause(`dispatch ${sent.request.payload}`);
    const service = this.services.get(address);
    if (!service || fault === 'unreachable') return Result.err(UNREACHABLE);
    const received = dispatchSchema.parse(structuredClone(sent));
    if (fault === 'minion-unknown') received.minionId = trustedId('none');
    const deliver = () => service.dispatch(received);
    if (fault === 'late') {
      this.late.push(deliver);
      return Result.err(new TimeoutError('no answer', 'try again'));
    }
    const first = deliver();
    if (fault === 'doubled-late') this.late.push(deliver);
    if (fault === 'doubled') return Result.ok(await deliver());
    if (fault === 'restarted') {
      return Result.ok(await this.restart(address).dispatch(sent));
    }
    if (fault === 'lost-answer') return Result.err(ANSWER_LOST);
    const outcome = await first;
    await this.pause(`dispatched ${sent.request.payload}`);
    if (fault === 'answer-to-another') {
      return Result.ok({...outcome, requestId: trustedId('request-other')});
    }
    return Result.ok(outcome);
  }

  async deliverLate(): Promise<void> {
    await Promise.all(this.late.splice(0).map((deliver) => deliver()));
  }

  async claimOutcome(
    address: string,
    requestId: RequestId,
  ): Promise<Result<Outcome, CallError>> {
    await this.pause('claim outcome');
    const service = this.services.get(address);
    if (!service) return Result.err(UNREACHABLE);
    return Result.ok(service.claimOutcome(requestId));
  }
}

const UNREACHABLE = new UnavailableError('not reached', 'try again');
const ANSWER_LOST = new UnknownEffectError('answer lost', 'read back');

export class FakeDirectory extends RequestDirectory {
  override readonly availabilityZone = ZONE;

  constructor(
    override readonly daemonId: DaemonId,
    private readonly site: FakeSite,
  ) {
    super();
  }

  override configuration(): Configuration {
    return this.site.configuration;
  }

  override candidates(zone: AvailabilityZone): readonly MinionCandidate[] {
    return this.site.candidates
      .filter((c) => c.minion.availabilityZone === zone)
      .map((c) => ({...c}));
  }

  override otherZones(): readonly AvailabilityZone[] {
    return [trustedId<AvailabilityZone>('zone-b')];
  }

  override minion(minionId: VmId): MinionVm | undefined {
    return this.site.candidates.find((c) => c.minion.vmId === minionId)?.minion;
  }

  override daemonAddress(daemonId: DaemonId): string | undefined {
    return this.site.peers.services.has(daemonId) ? daemonId : undefined;
  }
}

/** Daemons that share one store; the address of a daemon equals its id. */
export class FakeSite {
  readonly clock = new FakeClock();
  readonly store = new FakeStore();
  readonly minions = new FakeMinions();
  readonly peers = new FakePeers();
  configuration: Configuration = siteConfiguration([CUSTOMER_ID]);
  candidates: MinionCandidate[] = [];
  private restarts = 0;

  constructor() {
    this.peers.restart = (address) => {
      this.restarts += 1;
      const service = this.service(`${address}-run-${this.restarts}`);
      this.peers.services.set(address, service);
      return service;
    };
  }

  /** Adds a home daemon with one minion for each number of slots. */
  addDaemon(name: string, ...slots: number[]): RequestService {
    const service = this.service(name);
    this.peers.services.set(name, service);
    for (const [index, count] of slots.entries()) {
      this.candidates.push(candidate(`${name}-minion-${index}`, name, count));
    }
    return service;
  }

  private service(name: string): RequestService {
    return new RequestService({
      directory: new FakeDirectory(trustedId<DaemonId>(name), this),
      clock: this.clock,
      random: new SeededRandom(7),
      store: this.store,
      minions: this.minions,
      peers: this.peers,
      claimRetentionMs: RETENTION_MS,
    });
  }
}

export function candidate(
  name: string,
  home: string,
  slots: number,
  zone: AvailabilityZone = ZONE,
): MinionCandidate {
  const minion: MinionVm = {
    role: 'minion',
    vmId: trustedId(name),
    availabilityZone: zone,
    address: '127.0.0.1:1',
    state: 'live',
    slots,
    connections: 64,
  };
  return {
    minion,
    home: {daemonId: trustedId<DaemonId>(home), address: home},
    suspect: false,
  };
}

export function siteConfiguration(
  customers: readonly CustomerId[],
  requestLimits = {requestsPerSecond: 1e6, burst: 1e6, concurrency: 1e6},
): Configuration {
  const workClass = (
    customerId: CustomerId,
    repeatable: boolean,
  ): WorkClass => ({
    kind: 'request',
    id: trustedId(repeatable ? 'check' : 'scan'),
    customerId,
    repeatable,
    deadlineMs: 10_000,
  });
  return {
    version: 1,
    customers: customers.map((id) => ({
      id,
      name: id,
      guarantees: [],
      acceleratorCeiling: 0,
      weight: 1,
      requestLimits,
    })),
    workClasses: customers.flatMap((id) => [
      workClass(id, true),
      workClass(id, false),
    ]),
    power: {supply: 'grid'},
  };
}

export function submission(
  workClass: 'check' | 'scan',
  payload: string,
  key?: string,
): RequestSubmission {
  return {
    customerId: CUSTOMER_ID,
    workClassId: trustedId(workClass),
    payload,
    ...(key === undefined ? {} : {key: trustedId<CallerKey>(key)}),
  };
}
