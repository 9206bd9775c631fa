/**
 * Serves an emulated site to real daemons over the platform's protocol: the
 * store, one address per worker's VM, and the VM service. Each daemon gets its
 * own store address, so that the store can fail for a single daemon.
 */

import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';
import {z} from 'zod';
import {BodyReader} from '../src/daemon/request_body.js';
import type {CleanupScope} from '../src/lifecycle/cleanup_scope.js';
import type {RandomSource} from '../src/lifecycle/random.js';
import {trustedId} from '../src/model/ids.js';
import type {VmId} from '../src/model/ids.js';
import type {
  StoreEvent,
  StoredItem,
} from '../src/interfaces/coordination_store.js';
import type {
  LeaseRenewalOutcome,
  OrderOutcome,
  WorkerEntry,
} from '../src/interfaces/task_worker.js';
import {listenUntilClosed} from '../src/standins/listen_until_closed.js';
import {parseJson} from '../src/transport/http_call.js';
import {noStoreListenerFaults} from './faults.js';
import type {StoreListenerFaults} from './faults.js';
import type {EmulatedSiteOptions} from './site.js';
import {EmulatedSite, pause} from './site.js';
import type {EmulatedWorker} from './worker_state.js';

const HOST = '127.0.0.1';
const CONFIGURATION_KEY = 'op/config';
const WORKER_PREFIX = 'servers/';
const MAXIMUM_BODY_BYTES = 1_048_576;
const MAXIMUM_WATCH_WAIT_MS = 30_000;
const MAXIMUM_RENEWAL_WAIT_MS = 2_000;
const POLL_INTERVAL_MS = 10;

/** An unresponsive store closes a connection after this time. */
const UNRESPONSIVE_MS = 60_000;

const TRANSACTION_ROUTE = 'POST /v1/kv-txn';

export interface StoreListener {
  readonly address: string;
  readonly faults: StoreListenerFaults;
}

interface Answer {
  readonly status: number;
  readonly body?: object;
}

/** Returns `undefined` to close the connection without an answer. */
type Handler = (
  body: unknown,
  request: IncomingMessage & {
    readonly params: Readonly<Record<string, string>>;
    readonly query: Readonly<Record<string, string>>;
  },
) => Answer | undefined | Promise<Answer | undefined>;

const transactionSchema = z.object({
  expected: z
    .array(z.object({key: z.string(), revision: z.number()}))
    .default([]),
  puts: z
    .array(
      z.object({
        key: z.string(),
        value: z.string(),
        lease: z.number().optional(),
      }),
    )
    .default([]),
  remove: z.array(z.string()).default([]),
});

const leaseSchema = z.object({ttlMs: z.number()});

const startSchema = z.object({
  task: z.string(),
  runId: z.number(),
  spec: z.string(),
  deadlineMs: z.number().default(0),
  fence: z.number().default(0),
  checkpoint: z.string().default(''),
  ticket: z.string().optional(),
});
const stopSchema = startSchema.pick({task: true, runId: true, fence: true});
const paceSchema = stopSchema.extend({percent: z.number()});
const leaseRenewalSchema = z.object({
  fence: z.number().default(0),
  observed: z.number().default(0),
  deadlineMs: z.number().optional(),
  waitMs: z.number().default(0),
});
const moveSchema = z.object({machine: z.string(), pool: z.string()});
const maintainSchema = z.object({machine: z.string(), wave: z.number()});

export class HttpPlatform {
  private constructor(
    readonly site: EmulatedSite,
    private readonly random: RandomSource,
    private readonly scope: CleanupScope,
  ) {}

  /**
   * Opens the workers' listeners, then starts the site. `publishAddress` maps
   * the address of a listener to the one in the worker's directory entry, which
   * may be that of a fault link.
   */
  static async start(
    options: EmulatedSiteOptions,
    random: RandomSource,
    scope: CleanupScope,
    publishAddress: (vmId: VmId, address: string) => Promise<string>,
  ): Promise<HttpPlatform> {
    const addresses = new Map<VmId, string>();
    const started: {site?: EmulatedSite} = {};
    for (let rack = 0; rack < options.racks; rack += 1) {
      for (let index = 0; index < options.workersPerRack; index += 1) {
        const vmId = trustedId<VmId>(`vm-${rack}-${index}`);
        const address = await listen(
          scope,
          workerRoutes(() => {
            return started.site?.workerOn(vmId);
          }),
        );
        addresses.set(vmId, await publishAddress(vmId, address));
      }
    }
    const site = new EmulatedSite({
      ...options,
      addressOf: (vmId) => addresses.get(vmId) ?? '',
      registrationOf: (entry) => ({
        key: `${WORKER_PREFIX}${entry.workerId}`,
        value: JSON.stringify(encodeEntry(entry)),
      }),
    });
    scope.add(() => site.close());
    started.site = site;
    return new HttpPlatform(site, random, scope);
  }

  /** Writes a configuration, as operators do. */
  configure(configuration: object): void {
    this.site.store.put(CONFIGURATION_KEY, JSON.stringify(configuration));
  }

  /** Opens a store address for one daemon. */
  async openStore(): Promise<StoreListener> {
    const faults = noStoreListenerFaults();
    const address = await listen(this.scope, this.storeRoutes(faults));
    return {address, faults};
  }

  /** Opens the address of the VM service. */
  openVmService(): Promise<string> {
    const {vms} = this.site;
    const authority = (request: IncomingMessage) => ({
      holder: trustedId<VmId>(
        String(request.headers['bramleystep-duty-holder'] ?? ''),
      ),
      term: Number(request.headers['bramleystep-fencing-token'] ?? 0),
    });
    return listen(this.scope, {
      'GET /v1/machines': () => ({
        status: 200,
        body: {
          machines: vms.list().map((vm) => ({
            machine: vm.vmId,
            pool: vm.poolId,
            state: vm.state === 'maintenance' ? 'upkeep' : vm.state,
            zone: vm.zone,
            id: vm.workerId ?? null,
          })),
          nextToken: null,
        },
      }),
      'POST /v1/machine-move': (body, request) => {
        const {machine, pool} = moveSchema.parse(body);
        return encodeVmOutcome(
          vms.move(trustedId(machine), trustedId(pool), authority(request)),
        );
      },
      'POST /v1/machine-upkeep': (body, request) => {
        const {machine, wave} = maintainSchema.parse(body);
        return encodeVmOutcome(
          vms.maintain(trustedId(machine), wave, authority(request)),
        );
      },
    });
  }

  private storeRoutes(faults: StoreListenerFaults): Routes {
    const {store} = this.site;
    const routes: Routes = {
      'GET /v1/kv-key': (_body, {query}) => {
        const item = store.get(query['key'] ?? '');
        return item === undefined
          ? {status: 404}
          : {status: 200, body: encodeItem(item)};
      },
      'GET /v1/kv-range': (_body, {query}) => {
        const listing = store.list(query['pathPrefix'] ?? '');
        const after = query['after'] ?? '';
        const items = listing.items.filter(({key}) => key > after);
        return {
          status: 200,
          body: {
            items: items.slice(0, ITEMS_PER_PAGE).map(encodeItem),
            truncated: items.length > ITEMS_PER_PAGE,
            asOf: listing.revision,
          },
        };
      },
      'GET /v1/kv-watch': (_body, {query}) => this.watch(query),
      [TRANSACTION_ROUTE]: (body) => this.transact(body),
      'POST /v1/kv-lease': (body) => {
        const {ttlMs} = leaseSchema.parse(body);
        const lease = store.grantLease(ttlMs, Date.now());
        return {status: 200, body: {lease, ttlMs}};
      },
      'POST /v1/kv-keep/:lease': (_body, {params}) => {
        const isRenewed = store.renewLease(Number(params['lease']), Date.now());
        return isRenewed ? {status: 200, body: {}} : {status: 404};
      },
      'DELETE /v1/kv-lease-end/:lease': (_body, {params}) => {
        store.endLease(Number(params['lease']));
        return {status: 200, body: {}};
      },
    };
    return Object.fromEntries(
      Object.entries(routes).map(([route, handler]) => [
        route,
        this.withFaults(faults, route, handler),
      ]),
    );
  }

  private withFaults(
    faults: StoreListenerFaults,
    route: string,
    handler: Handler,
  ): Handler {
    const isWrite = !route.startsWith('GET');
    return async (body, request) => {
      const {heldTransactions} = faults;
      if (heldTransactions !== undefined && route === TRANSACTION_ROUTE) {
        await new Promise<void>((release) => heldTransactions.push(release));
      }
      if (faults.slowMs > 0) await pause(faults.slowMs);
      if (faults.isUnresponsive) {
        await pause(UNRESPONSIVE_MS);
        return undefined;
      }
      if (faults.status !== undefined) return {status: faults.status};
      if (isWrite && this.random.next() < faults.lostAnswers) {
        setTimeout(() => void handler(body, request), faults.lateMs);
        return undefined;
      }
      return handler(body, request);
    };
  }

  private async watch(
    query: Readonly<Record<string, string>>,
  ): Promise<Answer> {
    const {store} = this.site;
    const prefix = query['pathPrefix'] ?? '';
    const after = Number(query['after']);
    const endsAt =
      Date.now() + Math.min(Number(query['waitMs']), MAXIMUM_WATCH_WAIT_MS);
    for (;;) {
      const answer = store.eventsAfter(prefix, after);
      if (answer.kind === 'historyLost') return {status: 410};
      if (answer.events.length > 0 || Date.now() >= endsAt) {
        return {
          status: 200,
          body: {
            events: answer.events.map(encodeEvent),
            asOf: answer.revision,
          },
        };
      }
      await pause(POLL_INTERVAL_MS);
    }
  }

  private transact(body: unknown): Answer {
    const {expected, puts, remove} = transactionSchema.parse(body);
    const outcome = this.site.store.transact({
      conditions: expected,
      puts: puts.map(({key, value, lease}) => ({
        key,
        value: Buffer.from(value, 'base64').toString('utf8'),
        ...(lease === undefined ? {} : {lease}),
      })),
      removals: remove,
    });
    switch (outcome.kind) {
      case 'committed':
        return {status: 200, body: {revision: outcome.revision}};
      case 'conflict':
        return {status: 412, body: {items: outcome.items.map(encodeItem)}};
      case 'noSuchLease':
        return {status: 404};
    }
  }
}

/** Close to the page size of the real platform. */
const ITEMS_PER_PAGE = 500;

type Routes = Readonly<Record<string, Handler>>;

function workerRoutes(findWorker: () => EmulatedWorker | undefined): Routes {
  const forExpectedWorker = (
    handle: (
      worker: EmulatedWorker,
      body: unknown,
    ) => Answer | Promise<Answer | undefined>,
  ): Handler => {
    return (body, request) => {
      const worker = findWorker();
      if (worker === undefined || !worker.isUp) return undefined;
      const expected = request.headers['bramleystep-expect-instance'];
      if (expected !== worker.entry.workerId) return {status: 421};
      return handle(worker, body);
    };
  };
  return {
    'POST /v1/run-start': forExpectedWorker((worker, body) => {
      const order = startSchema.parse(body);
      return encodeOutcome(
        worker.start(
          {
            task: order.task,
            run: order.runId,
            specification: order.spec,
            checkpoint: order.checkpoint,
            leaseUntilMs: order.deadlineMs,
            fence: order.fence,
          },
          Date.now(),
        ),
      );
    }),
    'POST /v1/run-stop': forExpectedWorker((worker, body) => {
      const {task, runId, fence} = stopSchema.parse(body);
      return encodeOutcome(worker.stop({task, run: runId}, fence, Date.now()));
    }),
    'POST /v1/pace': forExpectedWorker((worker, body) => {
      const {task, runId, percent, fence} = paceSchema.parse(body);
      return encodeOutcome(
        worker.pace({task, run: runId, percent, fence}, Date.now()),
      );
    }),
    'POST /v1/hold': forExpectedWorker(handleLeaseRenewal),
  };
}

/** Renews the lease; waits up to the caller's limit for a run to end. */
async function handleLeaseRenewal(
  worker: EmulatedWorker,
  body: unknown,
): Promise<Answer | undefined> {
  const {fence, observed, deadlineMs, waitMs} = leaseRenewalSchema.parse(body);
  const endsAt = Date.now() + Math.min(waitMs, MAXIMUM_RENEWAL_WAIT_MS);
  const {incarnation: initial} = worker.entry;
  for (;;) {
    // A crash ends pending calls: sequence numbers belong to one incarnation.
    if (worker.entry.incarnation !== initial || !worker.isUp) return undefined;
    const outcome = worker.renewLease(
      {
        fence,
        acknowledgedSequence: observed,
        leaseUntilMs: deadlineMs,
        waitMs,
      },
      Date.now(),
    );
    const hasUpdate = outcome.kind !== 'seen' || outcome.ended.length > 0;
    if (hasUpdate || Date.now() >= endsAt) return encodeLeaseRenewal(outcome);
    await pause(POLL_INTERVAL_MS);
  }
}

async function listen(scope: CleanupScope, routes: Routes): Promise<string> {
  const server = createServer();
  const router = polka();
  const bodies = new BodyReader();
  for (const [route, handler] of Object.entries(routes)) {
    const [method = '', path = ''] = route.split(' ');
    router.add(method as 'GET', path, (request, response) => {
      void respond(bodies, handler, request as never, response);
    });
  }
  server.on('request', (request, response) => {
    router.handler(request as Parameters<typeof router.handler>[0], response);
  });
  return listenUntilClosed(server, scope, HOST, 0, () => {
    server.closeAllConnections();
    server.close();
  });
}

async function respond(
  bodies: BodyReader,
  handler: Handler,
  request: Parameters<Handler>[1],
  response: ServerResponse,
): Promise<void> {
  const read = await bodies.read(request, MAXIMUM_BODY_BYTES);
  const body = read.isOk ? parseJson(Buffer.from(read.value)) : undefined;
  let answer: Answer | undefined;
  try {
    answer = await handler(body, request);
  } catch (error) {
    if (!(error instanceof z.ZodError)) throw error;
    answer = {status: 400, body: {error: error.message}};
  }
  if (answer === undefined) {
    response.destroy();
    return;
  }
  response.writeHead(answer.status, {'content-type': 'application/json'});
  response.end(JSON.stringify(answer.body ?? {}));
}

// Encoders; the matching decoders are in the platform folder.

function encodeItem({key, value, revision}: StoredItem): object {
  return {key, value: Buffer.from(value).toString('base64'), revision};
}

function encodeEvent(event: StoreEvent): object {
  if (event.kind === 'written') return encodeItem(event.item);
  return {key: event.key, revision: event.revision, tombstone: true};
}

function encodeEntry(entry: WorkerEntry): object {
  const {capacity} = entry;
  return {
    service: entry.serviceId,
    address: entry.address,
    zone: entry.zone,
    state: entry.isDraining ? 'draining' : 'ready',
    capacity: {
      cpu: capacity.processorMillicores,
      memMb: capacity.memoryMegabytes,
      gpu: capacity.accelerators,
    },
    labels: [...entry.labels],
    born: entry.incarnation,
    machine: entry.vmId,
    ...(entry.remainingMs === undefined
      ? {}
      : {remainingMs: entry.remainingMs}),
    coldRemainingMs: entry.warmInMs ?? 0,
  };
}

const REFUSALS: Readonly<Partial<Record<OrderOutcome['kind'], string>>> = {
  superseded: 'fence',
  outdated: 'old',
  leasePassed: 'late',
  noRoom: 'room',
  notAdmitted: 'ticket',
};

function encodeOutcome(outcome: OrderOutcome): Answer {
  const clockMs = 'clockMs' in outcome ? outcome.clockMs : 1;
  const reason = REFUSALS[outcome.kind];
  return reason === undefined
    ? {status: 200, body: {clockMs}}
    : {status: 409, body: {clockMs, reason}};
}

function encodeVmOutcome({kind}: {kind: string}): Answer {
  switch (kind) {
    case 'done':
      return {status: 200, body: {}};
    case 'impossible':
      return {status: 400};
    case 'superseded':
      return {status: 409, body: {reason: 'fence'}};
    case 'notRequested':
      return {status: 409, body: {reason: 'wave'}};
    default:
      return {status: 409, body: {reason: 'busy'}};
  }
}

function encodeLeaseRenewal(outcome: LeaseRenewalOutcome): Answer {
  if (outcome.kind !== 'seen') {
    return {status: 409, body: {clockMs: 1, reason: 'fence'}};
  }
  const {clockMs, incarnation, running, ended} = outcome;
  return {
    status: 200,
    body: {
      clockMs,
      born: incarnation,
      running: running.map((run) => [
        run.task,
        run.run,
        run.checkpoint,
        run.percent,
        run.recentMetric ?? 0,
      ]),
      finished: ended.map((end) => [
        end.sequence,
        end.task,
        end.run,
        end.ending,
        end.checkpoint,
      ]),
    },
  };
}
