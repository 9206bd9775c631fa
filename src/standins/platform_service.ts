/**
 * Stand-in for the platform. It serves the key-value store and the VM list on
 * one port, each with its own faults.
 */

import {z} from 'zod';
import type {CleanupScope} from '../lifecycle/cleanup_scope.js';
import {RefusedError} from '../model/errors.js';
import {vmIdSchema} from '../model/ids.js';
import {vmSchema} from '../interfaces/vm_list.js';
import {KeyValueState} from './key_value_state.js';
import type {RunLog} from './run_log.js';
import {listenOptionsSchema} from './standin_process.js';
import type {StandinAddresses} from './standin_process.js';
import type {ReceivedCall} from './standin_server.js';
import {
  ChangeSignal,
  FaultInjector,
  StandinServer,
  parseBody,
  parseParameters,
  parseQuery,
  serverFaultsSchema,
} from './standin_server.js';
import {VmListState} from './vm_list_state.js';

const DEFAULT_HISTORY_EVENTS = 1_000;

export const platformOptionsSchema = listenOptionsSchema.extend({
  /** Number of events that the store's history keeps for watches. */
  historyEvents: z.int().min(1).default(DEFAULT_HISTORY_EVENTS),
  /** Rate limits of the store, none if left out. */
  readsPerSecond: z.number().positive().optional(),
  writesPerSecond: z.number().positive().optional(),
  /** Delay until a change of the VM list becomes visible. */
  vmListLagMs: z.number().min(0).default(0),
  vms: z.array(vmSchema).default([]),
});
export type PlatformOptions = z.infer<typeof platformOptionsSchema>;

/** Body of `POST /admin/limits`. A limit that is left out is removed. */
export const limitsSchema = platformOptionsSchema.pick({
  readsPerSecond: true,
  writesPerSecond: true,
});

/** Counters since the start or the last reset. */
export const platformCountersSchema = z.object({
  reads: z.int(),
  writes: z.int(),
  /** Watch calls, each counted once when it starts. */
  watches: z.int(),
  /** Calls refused by a rate limit. No other counter includes them. */
  rateLimited: z.int(),
  /** Bytes in the bodies of store writes. */
  writtenBytes: z.int(),
  /** Watch calls to the VM list. */
  vmListCalls: z.int(),
  /** Store watches that are waiting for a change now. */
  waitingWatches: z.int(),
});
export type PlatformCounters = z.infer<typeof platformCountersSchema>;

const keyQuerySchema = z.object({key: z.string().min(1)});
const writeQuerySchema = keyQuerySchema.extend({
  expectedRevision: z.coerce.number().int().min(0),
});
const prefixQuerySchema = z.object({prefix: z.string()});
const watchQuerySchema = prefixQuerySchema.extend({
  afterRevision: z.coerce.number().int().min(0),
  waitMs: z.coerce.number().min(0),
});
const vmWatchQuerySchema = z.object({
  afterVersion: z.coerce.number().int().min(0),
  waitMs: z.coerce.number().min(0),
});

const vmParametersSchema = z.object({vmId: vmIdSchema});

/** Token bucket that allows bursts of up to one second. */
class TokenBucket {
  private tokens: number;
  private refilledAt: number;

  constructor(private readonly tokensPerSecond: number | undefined) {
    this.tokens = tokensPerSecond ?? 0;
    this.refilledAt = performance.now();
  }

  /** Takes a token. Returns false if there is none. */
  tryTake(): boolean {
    if (this.tokensPerSecond === undefined) return true;
    const now = performance.now();
    const refill = ((now - this.refilledAt) / 1_000) * this.tokensPerSecond;
    const capacity = Math.max(1, this.tokensPerSecond);
    this.tokens = Math.min(capacity, this.tokens + refill);
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

export class PlatformService {
  private readonly server = new StandinServer();
  private readonly adminServer = new StandinServer();
  private readonly storeFaultInjector = new FaultInjector();
  private readonly vmListFaultInjector = new FaultInjector();
  private readonly store: KeyValueState;
  private readonly vmList = new VmListState();
  private readonly storeChanged = new ChangeSignal();
  private readonly vmListChanged = new ChangeSignal();
  private readLimit: TokenBucket;
  private writeLimit: TokenBucket;
  private vmListLagMs: number;
  private counters = zeroCounters();

  constructor(
    private readonly scope: CleanupScope,
    private readonly options: PlatformOptions,
    private readonly log: RunLog,
  ) {
    this.store = new KeyValueState(options.historyEvents);
    this.readLimit = new TokenBucket(options.readsPerSecond);
    this.writeLimit = new TokenBucket(options.writesPerSecond);
    this.vmListLagMs = options.vmListLagMs;
    for (const vm of options.vms) this.vmList.set(vm);
  }

  async start(): Promise<StandinAddresses> {
    this.addStoreRoutes();
    this.addVmListRoutes();
    this.addStoreAdminRoutes();
    this.addVmListAdminRoutes();
    const {host, port, adminPort} = this.options;
    return {
      listening: await this.server.listen(this.scope, host, port),
      admin: await this.adminServer.listen(this.scope, host, adminPort),
    };
  }

  private addStoreRoutes(): void {
    const {server, storeFaultInjector: injector} = this;
    server.addReadRoute(
      'GET',
      '/store/entry',
      (call) => this.get(call),
      injector,
    );
    server.addReadRoute(
      'GET',
      '/store/entries',
      (call) => this.list(call),
      injector,
    );
    server.addReadRoute(
      'GET',
      '/store/watch',
      (call) => this.watch(call),
      injector,
    );
    server.addWriteRoute(
      'PUT',
      '/store/entry',
      (call) => this.put(call),
      injector,
    );
    server.addWriteRoute(
      'DELETE',
      '/store/entry',
      (call) => this.delete(call),
      injector,
    );
  }

  private get(call: ReceivedCall): unknown {
    const {key} = parseQuery(call, keyQuerySchema);
    this.countRead();
    return {entry: this.store.get(key)};
  }

  private list(call: ReceivedCall): unknown {
    const {prefix} = parseQuery(call, prefixQuerySchema);
    this.countRead();
    return this.store.list(prefix);
  }

  private async watch(call: ReceivedCall): Promise<unknown> {
    const {prefix, afterRevision, waitMs} = parseQuery(call, watchQuerySchema);
    this.checkRateLimit(this.readLimit);
    this.counters.watches += 1;
    const changes = await this.storeChanged.poll(
      () => this.store.changesAfter(prefix, afterRevision),
      waitMs,
      call.signal,
    );
    return changes ?? this.store.unchangedBatch();
  }

  private put(call: ReceivedCall): unknown {
    const {key, expectedRevision} = parseQuery(call, writeQuerySchema);
    this.countWrite(call);
    const value = call.body.toString('utf8');
    const revision = this.store.put(key, value, expectedRevision);
    this.log.record({event: 'written', at: Date.now(), key, revision});
    this.storeChanged.notify();
    return {revision};
  }

  private delete(call: ReceivedCall): unknown {
    const {key, expectedRevision} = parseQuery(call, writeQuerySchema);
    this.countWrite(call);
    const revision = this.store.delete(key, expectedRevision);
    this.log.record({event: 'deleted', at: Date.now(), key, revision});
    this.storeChanged.notify();
    return {revision};
  }

  private countRead(): void {
    this.checkRateLimit(this.readLimit);
    this.counters.reads += 1;
  }

  private countWrite(call: ReceivedCall): void {
    this.checkRateLimit(this.writeLimit);
    this.counters.writes += 1;
    this.counters.writtenBytes += call.body.length;
  }

  private checkRateLimit(limit: TokenBucket): void {
    if (limit.tryTake()) return;
    this.counters.rateLimited += 1;
    throw new RefusedError('the rate limit is reached', 'send fewer calls');
  }

  private addVmListRoutes(): void {
    this.server.addReadRoute(
      'GET',
      '/vms/watch',
      async (call) => {
        const query = parseQuery(call, vmWatchQuerySchema);
        this.counters.vmListCalls += 1;
        const changes = await this.vmListChanged.poll(
          () => this.vmList.changesAfter(query.afterVersion),
          query.waitMs,
          call.signal,
        );
        return changes ?? this.vmList.unchangedBatch();
      },
      this.vmListFaultInjector,
    );
  }

  private addStoreAdminRoutes(): void {
    const {adminServer} = this;
    adminServer.addWriteRoute('POST', '/admin/faults/store', (call) => {
      this.storeFaultInjector.faults = parseBody(call, serverFaultsSchema);
    });
    adminServer.addWriteRoute('POST', '/admin/limits', (call) => {
      const limits = parseBody(call, limitsSchema);
      this.readLimit = new TokenBucket(limits.readsPerSecond);
      this.writeLimit = new TokenBucket(limits.writesPerSecond);
    });
    adminServer.addWriteRoute('POST', '/admin/compact', () =>
      this.store.compact(),
    );
    adminServer.addReadRoute('GET', '/admin/store', () => this.store.list(''));
    adminServer.addReadRoute('GET', '/admin/counters', () => ({
      ...this.counters,
      waitingWatches: this.storeChanged.waiterCount,
    }));
    adminServer.addWriteRoute('DELETE', '/admin/counters', () => {
      this.counters = zeroCounters();
    });
  }

  private addVmListAdminRoutes(): void {
    const {adminServer} = this;
    adminServer.addWriteRoute('POST', '/admin/faults/vms', (call) => {
      this.vmListFaultInjector.faults = parseBody(call, serverFaultsSchema);
    });
    adminServer.addWriteRoute('POST', '/admin/lag', (call) => {
      const {lagMs} = parseBody(call, z.object({lagMs: z.number().min(0)}));
      this.vmListLagMs = lagMs;
    });
    adminServer.addWriteRoute('PUT', '/admin/vms', (call) => {
      const vm = parseBody(call, vmSchema);
      this.changeVmList(() => this.vmList.set(vm));
    });
    adminServer.addWriteRoute('DELETE', '/admin/vms/:vmId', (call) => {
      const {vmId} = parseParameters(call, vmParametersSchema);
      this.changeVmList(() => this.vmList.remove(vmId));
    });
  }

  /** Applies a change of the VM list after the configured lag. */
  private changeVmList(change: () => void): void {
    const apply = () => {
      change();
      this.vmListChanged.notify();
    };
    if (this.vmListLagMs === 0) {
      apply();
      return;
    }
    const timer = setTimeout(apply, this.vmListLagMs);
    this.scope.add(() => clearTimeout(timer));
  }
}

function zeroCounters(): Omit<PlatformCounters, 'waitingWatches'> {
  return {
    reads: 0,
    writes: 0,
    watches: 0,
    rateLimited: 0,
    writtenBytes: 0,
    vmListCalls: 0,
  };
}
