/**
 * Other daemons as a way to the store. A leader that the store turns away asks
 * one that it serves to end its lease, so that the next leader need not wait
 * for the lease to run out.
 */

export abstract class StoreProxy {
  /** Returns a daemon that reaches the store, or undefined. */
  abstract findDaemonWithStoreAccess(): Promise<string | undefined>;

  /** Has the daemon end a lease; false if it could not. */
  abstract endLease(address: string, lease: number): Promise<boolean>;
}
