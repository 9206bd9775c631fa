/**
 * Configuration of a hosted site: queues that callers submit to, customers
 * with their keys and guarantees, and limits of the interface.
 */

import type {CustomerId, QueueId, ServiceId} from './ids.js';

/** How the advisor of a queue decides which workers may run a step. */
export interface AdvisorSettings {
  /** Time that a call takes, plus the time for each worker that it names. */
  readonly decideMs: number;
  readonly perWorkerMs: number;
  /** How long a ticket holds. */
  readonly validMs: number;
}

export interface Queue {
  readonly queueId: QueueId;
  readonly host: string;
  readonly pathPrefix: string;
  /** Calls need no key. */
  readonly isPublic: boolean;
  readonly serviceId: ServiceId;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Failed runs of one task after which its job has failed. */
  readonly maximumAttempts: number;
  /** A job should end within this many times its longest chain of work. */
  readonly objectiveFactor: number;
  readonly targetLatencyMs: number;
  /** Undefined if any worker with the right label may run a step. */
  readonly advice?: AdvisorSettings | undefined;
}

export interface HostedCustomer {
  readonly customerId: CustomerId;
  readonly keys: readonly string[];
  /** Accelerators that the customer's most urgent jobs can always have. */
  readonly guaranteedAccelerators: number;
}

export interface CallerLimits {
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A configuration is immutable; a change has a higher version. */
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
    /** Pools whose VMs are off, and cost nothing, until they are moved. */
    readonly standbyPools: ReadonlySet<ServiceId> = new Set(),
  ) {
    for (const queue of queues) this.addQueue(queue);
    for (const customer of customers) {
      this.customerById.set(customer.customerId, customer);
      for (const key of customer.keys) this.customerByKey.set(key, customer);
    }
  }

  /** Returns the queue with the longest prefix that the path begins with. */
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

  /** Accelerators that all customers together may claim at any time. */
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
    queues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    this.queuesByHost.set(host, queues);
  }
}
