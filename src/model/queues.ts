/**
 * Configuration of a hosted site: queues that callers submit to, customers
 * with their API keys and guarantees, and limits of the caller API.
 */

import type {CustomerId, QueueId, ServiceId} from './ids.js';

/** Timing of a queue's advisor, which decides on workers for a step. */
export interface AdvisorSettings {
  /** Duration of a call, without the time per worker that it names. */
  readonly decideMs: number;
  readonly perWorkerMs: number;
  /** How long a ticket of the advisor is valid. */
  readonly validMs: number;
}

export interface Queue {
  readonly queueId: QueueId;
  readonly host: string;
  readonly pathPrefix: string;
  /** True if calls need no API key. */
  readonly isPublic: boolean;
  readonly serviceId: ServiceId;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of failed runs of one task after which its job fails. */
  readonly maximumAttempts: number;
  /** Target job duration as a multiple of the job's critical path. */
  readonly objectiveFactor: number;
  readonly targetLatencyMs: number;
  /** Undefined if every worker with the required label may run a step. */
  readonly advice?: AdvisorSettings | undefined;
}

export interface HostedCustomer {
  readonly customerId: CustomerId;
  readonly keys: readonly string[];
  /** Accelerators that the customer's most urgent jobs can always claim. */
  readonly guaranteedAccelerators: number;
}

export interface CallerLimits {
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** An immutable configuration; every change creates a higher version. */
export class HostedConfiguration {
  private readonly customerByKey = new Map<string, HostedCustomer>();
  private readonly queuesByHost = new Map<string, Queue[]>();
  private readonly queueById = new Map<QueueId, Queue>();
  private readonly customerById = new Map<CustomerId, HostedCustomer>();

  constructor(
    readonly version: number,
    queues: readonly Queue[],
    customers: readonly HostedCustomer[],
    readonly limits: CallerLimits,
    /** Pools whose VMs are off, at no cost, until they move to another pool. */
    readonly standbyPools: ReadonlySet<ServiceId> = new Set(),
  ) {
    for (const queue of queues) this.addQueue(queue);
    for (const sameHost of this.queuesByHost.values()) {
      sameHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const customer of customers) {
      this.customerById.set(customer.customerId, customer);
      for (const key of customer.keys) this.customerByKey.set(key, customer);
    }
  }

  /** Returns the host's queue whose path prefix is the longest match. */
  queueFor(host: string, path: string): Queue | undefined {
    return this.queuesByHost
      .get(host.toLowerCase())
      ?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  queue(queueId: QueueId): Queue | undefined {
    return this.queueById.get(queueId);
  }

  customerWithKey(key: string): HostedCustomer | undefined {
    return this.customerByKey.get(key);
  }

  customer(customerId: CustomerId): HostedCustomer | undefined {
    return this.customerById.get(customerId);
  }

  /** Sum of the accelerators that are guaranteed to all customers. */
  get guaranteedAccelerators(): number {
    let sum = 0;
    for (const customer of this.customerById.values()) {
      sum += customer.guaranteedAccelerators;
    }
    return sum;
  }

  private addQueue(queue: Queue): void {
    this.queueById.set(queue.queueId, queue);
    const host = queue.host.toLowerCase();
    const queues = this.queuesByHost.get(host) ?? [];
    queues.push(queue);
    this.queuesByHost.set(host, queues);
  }
}
